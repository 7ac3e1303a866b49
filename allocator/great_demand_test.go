package allocator_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/allocator"
)

// Load answered: demand shifts to a model, within a second, that needs a fifth of a large
// fleet. Guards against a model in great demand that gets no further copies once it has
// eight holders, while most engines are idle.
func TestAModelInGreatDemandGetsCopiesUntilItIsServed(t *testing.T) {
	const engines, demand = 112, 20
	f := newFleet("hot", "spare-1", "spare-2")
	for i := range engines {
		engine := f.engine(fmt.Sprintf("e%03d", i), "spare-1", "spare-2")
		if i < 8 {
			delete(engine.Copies, "spare-2")
			engine.Copies["hot"] = &allocator.Copy{Adapters: map[string]time.Time{}, Since: now.Add(-time.Minute)}
		}
	}
	f.setDemand("hot", demand)
	f.setDemand("spare-1", 1)
	f.setDemand("spare-2", 1)
	for range 10 {
		f.StoreLoads = 16
		for _, move := range allocator.Plan(f.View) {
			switch move := move.(type) {
			case allocator.Drain:
				delete(f.Engines[move.Engine].Copies, move.Model)
				f.Engines[move.Engine].Copies[move.For] = &allocator.Copy{Adapters: map[string]time.Time{}, Since: f.Now}
			case allocator.Load:
				f.Engines[move.Engine].Copies[move.Model] = &allocator.Copy{Adapters: map[string]time.Time{}, Since: f.Now}
			}
		}
		f.Now = f.Now.Add(500 * time.Millisecond)
	}
	copies := 0
	for _, engine := range f.Engines {
		if engine.Copies["hot"] != nil {
			copies++
		}
	}
	assert.Assert(t, copies >= demand, "%d copies", copies)
	// holders utilised less than that are not overloaded
	const minUtilisation = 0.4
	assert.Assert(t, copies <= demand/minUtilisation, "%d copies", copies)
}
