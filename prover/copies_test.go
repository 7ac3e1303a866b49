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

// copyPollInterval is the time between two samples of the engines' holdings.
const copyPollInterval = 50 * time.Millisecond

// copyCounter records periodically how many engines hold each model and adapter.
type copyCounter struct {
	fleet *fleet
	stop  chan struct{}
	done  sync.WaitGroup
}

func (f *fleet) startCopyCounter() *copyCounter {
	started := &copyCounter{fleet: f, stop: make(chan struct{})}
	started.done.Add(1)
	go started.run()
	return started
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

// countCopies returns the number of engines that hold each model and adapter.
func (f *fleet) countCopies() map[string]int {
	held := map[string]int{}
	for _, engine := range f.listEngines() {
		for _, name := range engine.holds() {
			held[name]++
		}
	}
	return held
}

// listEngines returns a copy of the list of engines.
func (f *fleet) listEngines() []*upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.engines)
}

// newModels returns models that need the given bytes of memory each.
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

// awaitAllHeld waits until holdsAll reports true.
func (f *fleet) awaitAllHeld(t *testing.T) {
	t.Helper()
	eventually(t, "all models and adapters are held", f.holdsAll)
}

// holdsAll reports whether the engines hold a copy of every model and adapter.
func (f *fleet) holdsAll() bool {
	held := f.countCopies()
	for _, each := range f.weights {
		if held[each.Name] == 0 {
			return false
		}
	}
	return true
}
