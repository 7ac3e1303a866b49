package allocator

import (
	"maps"
	"slices"
	"time"
)

// AdapterPlace is where an adapter can be loaded.
type AdapterPlace struct {
	Engine string
	// Evict is an adapter, of EvictModel, that makes way first; empty where
	// there is room.
	EvictModel, Evict string
}

// idleAdapterTime is how long an adapter must not have been asked for before it
// may make way: longer than a request with it runs.
const idleAdapterTime = 1500 * time.Millisecond

// PlaceAdapter returns the engine that should load an adapter of a model: the
// one with the least in flight among those that hold the model and have room,
// or else one where an adapter that was not asked for lately makes way.
func PlaceAdapter(view *View, model string) (AdapterPlace, bool) {
	best, found, bestCost := AdapterPlace{}, false, 0
	for _, name := range slices.Sorted(maps.Keys(view.Engines)) {
		engine := view.Engines[name]
		if !engine.serves(model) {
			continue
		}
		place := AdapterPlace{Engine: name}
		cost := engine.InFlight + engine.adapters()
		if !engine.takesAdapter(view, model) {
			evictModel, evict, idle := engine.idlest(view.Now)
			if !idle {
				continue
			}
			place.EvictModel, place.Evict = evictModel, evict
			cost += evictCost
		}
		if !found || cost < bestCost {
			best, found, bestCost = place, true, cost
		}
	}
	return best, found
}

// evictCost is how many more requests in flight an engine may have that needs
// no other adapter to make way.
const evictCost = 16

func (e *Engine) takesAdapter(view *View, model string) bool {
	known := view.Models[model]
	return known != nil && e.adapters() < e.AdapterSlots && e.free(view.Models) >= known.AdapterMemoryBytes
}

// idlest returns the adapter that was not asked for the longest.
func (e *Engine) idlest(now time.Time) (model, adapter string, found bool) {
	oldest := now.Add(-idleAdapterTime)
	for _, name := range slices.Sorted(maps.Keys(e.Copies)) {
		held := e.Copies[name]
		for _, one := range slices.Sorted(maps.Keys(held.Adapters)) {
			if held.Adapters[one].Before(oldest) {
				model, adapter, found = name, one, true
				oldest = held.Adapters[one]
			}
		}
	}
	return model, adapter, found
}
