package placer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// evictionTimeout bounds how long copies are evicted for a load.
const evictionTimeout = 3 * time.Minute

// restore adds a copy of each model and adapter without one: lost ones first,
// then those that were never held, each by demand.
func (f *fleet) restore() {
	for _, name := range f.missing() {
		reason := ReasonFirst
		if f.state.EverHeld[name] {
			reason = ReasonRestore
		}
		f.addCopy(name, reason)
	}
}

// missing returns the models and adapters that no live engine holds or is
// loading, in the order of compareNeed.
func (f *fleet) missing() []string {
	incoming := map[string]bool{}
	for _, e := range f.engines {
		for name := range e.incoming {
			incoming[name] = true
		}
	}
	var missing []string
	for _, name := range f.names() {
		if f.copies[name] == 0 && !incoming[name] {
			missing = append(missing, name)
		}
	}
	slices.SortStableFunc(missing, f.compareNeed)
	return missing
}

// names returns all models and adapters in ascending order, models first.
func (f *fleet) names() []string {
	return slices.Concat(
		slices.Sorted(maps.Keys(f.input.Catalog.Models)),
		slices.Sorted(maps.Keys(f.input.Catalog.Adapters)),
	)
}

// compareNeed orders lost names first, then models, then by demand.
func (f *fleet) compareNeed(a, b string) int {
	if lostA, lostB := f.state.EverHeld[a], f.state.EverHeld[b]; lostA != lostB {
		return precedence(lostA)
	}
	_, adapterA := f.baseModel(a)
	_, adapterB := f.baseModel(b)
	if adapterA != adapterB {
		return precedence(!adapterA)
	}
	return cmp.Compare(f.demandWithAdapters(b), f.demandWithAdapters(a))
}

func precedence(precedes bool) int {
	if precedes {
		return -1
	}
	return 1
}

// demandWithAdapters returns the demand for a name and, for a model, its
// adapters.
func (f *fleet) demandWithAdapters(name string) float64 {
	demand := f.state.Demand[name].concurrency()
	for _, adapter := range f.adaptersOf[name] {
		demand += f.state.Demand[adapter].concurrency()
	}
	return demand
}

// addCopy loads a name on the compatible engine with the most free memory, or
// evicts others for it. An adapter is loaded beside a copy of its model.
func (f *fleet) addCopy(name string, reason Reason) {
	best := f.mostFreeEngine(name)
	if best == nil {
		f.startCheapestEviction(name, reason)
		return
	}
	f.load(best, name, reason)
}

// mostFreeEngine returns the engine with the most free memory on which a name fits
// now; nil if there is none.
func (f *fleet) mostFreeEngine(name string) *engine {
	base, adapter := f.baseModel(name)
	var best *engine
	for _, e := range f.engines {
		if e.busy || !f.compatible(e, name) || e.free < f.memory(name) || (adapter && !e.held[base]) {
			continue
		}
		if f.reservedForOther(e, name) {
			continue
		}
		if best == nil || e.free > best.free {
			best = e
		}
	}
	return best
}

// reservedForOther reports whether copies are being evicted from the engine for
// another name.
func (f *fleet) reservedForOther(e *engine, name string) bool {
	eviction, ok := f.state.Evictions[e.upstream.Name]
	return ok && eviction.Name != name
}
