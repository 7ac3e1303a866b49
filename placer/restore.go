package placer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// evictionTimeout is how long memory is kept being freed for a load.
const evictionTimeout = 3 * time.Minute

// restore gives each model and adapter without a copy one: lost ones first,
// then those that were never held, each in order of demand.
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
// getting, models before their adapters.
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

// compareNeed puts lost names first, then models, then those with more demand.
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

// demandWithAdapters is the demand for a name and, for a model, for its adapters.
func (f *fleet) demandWithAdapters(name string) float64 {
	demand := f.state.Loads[name].concurrency()
	for _, adapter := range f.adaptersOf[name] {
		demand += f.state.Loads[adapter].concurrency()
	}
	return demand
}

// addCopy loads a name on the engine with the most free memory that suits, or
// makes room for it. An adapter goes beside a copy of its model.
func (f *fleet) addCopy(name string, reason Reason) {
	best := f.roomiest(name)
	if best == nil {
		f.startCheapestEviction(name, reason)
		return
	}
	f.load(best, name, reason)
}

// roomiest returns the engine on which a name fits now with the most memory
// left, nil where it fits on none.
func (f *fleet) roomiest(name string) *engine {
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

// reservedForOther says whether room is being made on the engine for another name.
func (f *fleet) reservedForOther(e *engine, name string) bool {
	eviction, ok := f.state.Evictions[e.upstream.Name]
	return ok && eviction.Name != name
}
