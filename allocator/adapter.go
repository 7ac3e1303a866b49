package allocator

import (
	"maps"
	"slices"
	"time"
)

// AdapterPlacement is where an adapter can be loaded.
type AdapterPlacement struct {
	Engine string
	// Evict is an adapter, of EvictModel, that makes way first; empty where
	// there is room.
	EvictModel, Evict string
}

// minAdapterIdleTime is how long an adapter must not have been asked for before it
// may make way: longer than a request with it runs.
const minAdapterIdleTime = 1500 * time.Millisecond

// PlaceAdapter returns the engine that should load an adapter of a model: the
// one with the least in flight among those that hold the model and have room,
// or else one where an adapter that was not asked for lately makes way.
func PlaceAdapter(view *View, model string) (AdapterPlacement, bool) {
	best, found, bestCost := AdapterPlacement{}, false, 0
	for _, name := range slices.Sorted(maps.Keys(view.Engines)) {
		engine := view.Engines[name]
		if !engine.serves(model) {
			continue
		}
		place := AdapterPlacement{Engine: name}
		cost := engine.InFlight + engine.adapters()
		if !engine.canLoadAdapter(view, model) {
			evictModel, evict, idle := engine.leastRecentAdapter(view.Now)
			if !idle {
				continue
			}
			place.EvictModel, place.Evict = evictModel, evict
			cost += adapterEvictionCost
		}
		if !found || cost < bestCost {
			best, found, bestCost = place, true, cost
		}
	}
	return best, found
}

// adapterEvictionCost is how many more requests in flight an engine may have that needs
// no other adapter to make way.
const adapterEvictionCost = 16

func (e *Engine) canLoadAdapter(view *View, model string) bool {
	info := view.Models[model]
	return info != nil && e.adapters() < e.AdapterSlots && e.freeMemory(view.Models) >= info.AdapterMemoryBytes
}

// leastRecentAdapter returns the adapter that was not asked for the longest.
func (e *Engine) leastRecentAdapter(now time.Time) (model, adapter string, found bool) {
	oldest := now.Add(-minAdapterIdleTime)
	for _, name := range slices.Sorted(maps.Keys(e.Copies)) {
		held := e.Copies[name]
		for _, adapterName := range slices.Sorted(maps.Keys(held.Adapters)) {
			if held.Adapters[adapterName].Before(oldest) {
				model, adapter, found = name, adapterName, true
				oldest = held.Adapters[adapterName]
			}
		}
	}
	return model, adapter, found
}
