package prover_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"burdocklink/encoder"
	"burdocklink/prover"
)

// copiesPause is the time between two looks at what engines hold.
const copiesPause = 50 * time.Millisecond

// counter watches how many copies of all weights the engines hold.
type counter struct {
	fleet *fleet
	stop  chan struct{}
	done  sync.WaitGroup
}

// startCounter begins to watch.
func (f *fleet) startCounter() *counter {
	begun := &counter{fleet: f, stop: make(chan struct{})}
	begun.done.Add(1)
	go begun.run()
	return begun
}

func (c *counter) run() {
	defer c.done.Done()
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(copiesPause):
			c.look()
		}
	}
}

func (c *counter) look() {
	at := time.Now()
	held := c.fleet.copies()
	for _, each := range c.fleet.weights {
		c.fleet.see(prover.Copies{At: at, Name: each.Name, Count: held[each.Name]})
	}
}

func (c *counter) end() {
	close(c.stop)
	c.done.Wait()
}

// copies counts what all engines hold.
func (f *fleet) copies() map[string]int {
	held := map[string]int{}
	for _, engine := range f.allEngines() {
		for _, name := range engine.holds() {
			held[name]++
		}
	}
	return held
}

// allEngines is the engines at this moment.
func (f *fleet) allEngines() []*upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.engines)
}

// manyModels are as many models of one size.
func manyModels(count int, bytes int64) []encoder.Weights {
	var all []encoder.Weights
	for i := range count {
		all = append(all, encoder.Weights{
			Name:        fmt.Sprintf("model-%d", i),
			Kind:        "model",
			Service:     "models",
			Version:     "1",
			MemoryBytes: bytes,
		})
	}
	return all
}

// allHeld waits until the engines hold a copy of everything.
func (f *fleet) allHeld(t *testing.T) {
	t.Helper()
	eventually(t, "everything is held", f.heldAll)
}

// heldAll says whether the engines hold a copy of everything.
func (f *fleet) heldAll() bool {
	held := f.copies()
	for _, each := range f.weights {
		if held[each.Name] == 0 {
			return false
		}
	}
	return true
}
