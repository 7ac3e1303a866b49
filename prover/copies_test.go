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

// copyPollInterval is the time between two looks at what engines hold.
const copyPollInterval = 50 * time.Millisecond

// copyCounter watches how many copies of all weights the engines hold.
type copyCounter struct {
	fleet *fleet
	stop  chan struct{}
	done  sync.WaitGroup
}

// startCopyCounter begins to watch.
func (f *fleet) startCopyCounter() *copyCounter {
	begun := &copyCounter{fleet: f, stop: make(chan struct{})}
	begun.done.Add(1)
	go begun.run()
	return begun
}

func (c *copyCounter) run() {
	defer c.done.Done()
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(copyPollInterval):
			c.recordCopies()
		}
	}
}

func (c *copyCounter) recordCopies() {
	at := time.Now()
	held := c.fleet.countCopies()
	for _, each := range c.fleet.weights {
		c.fleet.record(prover.Copies{At: at, Name: each.Name, Count: held[each.Name]})
	}
}

func (c *copyCounter) end() {
	close(c.stop)
	c.done.Wait()
}

// countCopies counts what all engines hold.
func (f *fleet) countCopies() map[string]int {
	held := map[string]int{}
	for _, engine := range f.listEngines() {
		for _, name := range engine.holds() {
			held[name]++
		}
	}
	return held
}

// listEngines is the engines at this moment.
func (f *fleet) listEngines() []*upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.engines)
}

// newModels are as many models of one size.
func newModels(count int, bytes int64) []encoder.Weights {
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

// awaitAllHeld waits until the engines hold a copy of everything.
func (f *fleet) awaitAllHeld(t *testing.T) {
	t.Helper()
	eventually(t, "everything is held", f.holdsAll)
}

// holdsAll says whether the engines hold a copy of everything.
func (f *fleet) holdsAll() bool {
	held := f.countCopies()
	for _, each := range f.weights {
		if held[each.Name] == 0 {
			return false
		}
	}
	return true
}
