package allocator

import (
	"maps"
	"slices"
	"time"
)

// AdapterPlacement names the engine that should load an adapter.
type AdapterPlacement struct {
	Engine string
	// Evict is the adapter, of EvictModel, to unload first; empty if there is
	// room.
	EvictModel, Evict string
}

// minAdapterIdleTime is how long an adapter must not have been requested before
// it may be evicted. It exceeds the duration of a request that uses the
// adapter.
const minAdapterIdleTime = 1500 * time.Millisecond

// PlaceAdapter returns the engine that should load an adapter of a model: the
// least loaded one that holds the model and has room, or else one that can
// evict an adapter which has not been requested recently.
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

// adapterEvictionCost is how many more in-flight requests an engine with room
// may have and still be preferred to one that must evict an adapter.
const adapterEvictionCost = 16

func (e *Engine) canLoadAdapter(view *View, model string) bool {
	info := view.Models[model]
	return info != nil && e.adapters() < e.AdapterSlots && e.freeMemory(view.Models) >= info.AdapterMemoryBytes
}

// leastRecentAdapter returns the least recently requested adapter that is idle.
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
