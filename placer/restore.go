package placer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// roomTime is how long memory is kept being freed for a load.
const roomTime = 3 * time.Minute

// restore gives each model and adapter without a copy one: lost ones first,
// then those that were never held, each in order of demand.
func (f *fleet) restore() {
	for _, name := range f.missing() {
		reason := ReasonFirst
		if f.state.Held[name] {
			reason = ReasonRestore
		}
		f.bring(name, reason)
	}
}

// missing returns the models and adapters that no live engine holds or is
// getting, models before their adapters.
func (f *fleet) missing() []string {
	coming := map[string]bool{}
	for _, e := range f.engines {
		for name := range e.coming {
			coming[name] = true
		}
	}
	var missing []string
	for _, name := range f.names() {
		if f.copies[name] == 0 && !coming[name] {
			missing = append(missing, name)
		}
	}
	slices.SortStableFunc(missing, f.byNeed)
	return missing
}

// names returns all models and adapters in ascending order, models first.
func (f *fleet) names() []string {
	return slices.Concat(
		slices.Sorted(maps.Keys(f.input.Catalog.Models)),
		slices.Sorted(maps.Keys(f.input.Catalog.Adapters)),
	)
}

// byNeed puts lost names first, then models, then those with more demand.
func (f *fleet) byNeed(a, b string) int {
	if lostA, lostB := f.state.Held[a], f.state.Held[b]; lostA != lostB {
		return first(lostA)
	}
	_, adapterA := f.base(a)
	_, adapterB := f.base(b)
	if adapterA != adapterB {
		return first(!adapterA)
	}
	return cmp.Compare(f.familyDemand(b), f.familyDemand(a))
}

func first(isFirst bool) int {
	if isFirst {
		return -1
	}
	return 1
}

// familyDemand is the demand for a name and, for a model, for its adapters.
func (f *fleet) familyDemand(name string) float64 {
	demand := f.state.Loads[name].standing()
	for _, child := range f.children[name] {
		demand += f.state.Loads[child].standing()
	}
	return demand
}

// bring loads a name on the engine with the most free memory that suits, or
// makes room for it. An adapter goes beside a copy of its model.
func (f *fleet) bring(name string, reason Reason) {
	best := f.roomiest(name)
	if best == nil {
		f.makeRoomAnywhere(name, reason)
		return
	}
	f.load(best, name, reason)
}

// roomiest returns the engine on which a name fits now with the most memory
// left, nil where it fits on none.
func (f *fleet) roomiest(name string) *engine {
	base, adapter := f.base(name)
	var best *engine
	for _, e := range f.engines {
		if e.busy || !f.suits(e, name) || e.free < f.bytes(name) || (adapter && !e.held[base]) {
			continue
		}
		if f.reserved(e, name) {
			continue
		}
		if best == nil || e.free > best.free {
			best = e
		}
	}
	return best
}

// reserved says whether room is being made on the engine for another name.
func (f *fleet) reserved(e *engine, name string) bool {
	room, ok := f.state.Rooms[e.about.Name]
	return ok && room.Name != name
}
