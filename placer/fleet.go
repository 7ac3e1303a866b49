package placer

import (
	"maps"
	"slices"

	"burdocklink/cataloger"
	"burdocklink/orderer"
)

// defaultSlots is assumed for an engine that does not report its batch slots.
const defaultSlots = 8

// engine is a live engine in the working state of a plan.
type engine struct {
	upstream cataloger.Upstream
	slots    float64
	// free is the unclaimed memory in bytes.
	free int64
	// busy is set while an order is unsettled or planned.
	busy bool
	// held are the confirmed copies that are not being unloaded.
	held map[string]bool
	// incoming are the copies being loaded or for which others are being
	// evicted.
	incoming map[string]bool
}

// fleet is the working state of a plan. Planned moves update it.
type fleet struct {
	input   *Input
	state   *State
	engines []*engine
	// copies counts the confirmed copies on live engines that are not being
	// unloaded.
	copies map[string]int
	// adaptersOf lists the adapters of each model in ascending order.
	adaptersOf map[string][]string
	moves      []Move
	// loadPlanned is set by the first load of the plan.
	loadsInTransit    int
	adaptersInTransit int
	loadPlanned       bool
}

func newFleet(input *Input, state *State) *fleet {
	f := &fleet{input: input, state: state, copies: map[string]int{}, adaptersOf: map[string][]string{}}
	for _, name := range slices.Sorted(maps.Keys(input.Catalog.Adapters)) {
		model := input.Catalog.Adapters[name].Model
		f.adaptersOf[model] = append(f.adaptersOf[model], name)
	}
	for _, name := range slices.Sorted(maps.Keys(input.Catalog.Upstreams)) {
		upstream := input.Catalog.Upstreams[name]
		if upstream.Kind == cataloger.EngineUpstream && f.acceptsWork(upstream) {
			f.engines = append(f.engines, f.engine(upstream))
		}
	}
	f.countInTransit()
	for _, e := range f.engines {
		for name := range e.held {
			f.copies[name]++
		}
	}
	return f
}

// acceptsWork reports whether an upstream is live and not leaving.
func (f *fleet) acceptsWork(upstream cataloger.Upstream) bool {
	report, ok := f.input.Reports[upstream.Name]
	leaving := ok && report.Incarnation == upstream.Incarnation && report.Leaving
	return upstream.State == cataloger.UpstreamLive && !leaving
}

func (f *fleet) engine(upstream cataloger.Upstream) *engine {
	e := &engine{upstream: upstream, slots: float64(upstream.Slots), held: map[string]bool{}, incoming: map[string]bool{}}
	if e.slots <= 0 {
		e.slots = defaultSlots
	}
	used := f.input.Reserved[upstream.Name]
	placement := f.input.Catalog.Placements[upstream.Name]
	if placement.Incarnation == upstream.Incarnation {
		for _, name := range slices.Concat(placement.Models, placement.Adapters) {
			e.held[name] = true
			used += f.memory(name)
		}
	}
	for _, order := range f.input.Unsettled {
		if order.Upstream == upstream.Name && order.Incarnation == upstream.Incarnation {
			used += f.addUnsettled(e, order.Work)
		}
	}
	report, ok := f.input.Reports[upstream.Name]
	if ok && report.Incarnation == upstream.Incarnation {
		used = max(used, report.UsedBytes)
	}
	e.free = upstream.MemoryBytes - used
	return e
}

// addUnsettled counts an unsettled order and returns the memory it may still
// take.
func (f *fleet) addUnsettled(e *engine, work orderer.Work) int64 {
	e.busy = true
	switch work := work.(type) {
	case orderer.LoadModel:
		e.incoming[work.Model] = true
		return work.MemoryBytes
	case orderer.LoadAdapter:
		e.incoming[work.Adapter] = true
		return work.MemoryBytes
	case orderer.UnloadModel:
		return f.markUnloading(e, work.Model)
	case orderer.UnloadAdapter:
		return f.markUnloading(e, work.Adapter)
	}
	return 0
}

// markUnloading removes a copy that is being unloaded. Its memory still counts:
// it returns the bytes if the placement no longer includes them.
func (f *fleet) markUnloading(e *engine, name string) int64 {
	if e.held[name] {
		delete(e.held, name)
		return 0
	}
	return f.memory(name)
}

func (f *fleet) countInTransit() {
	for _, order := range f.input.Unsettled {
		switch kindOf(order.Work) {
		case modelLoad:
			f.loadsInTransit++
		case adapterLoad:
			f.loadsInTransit++
			f.adaptersInTransit++
		case anyUnload, otherKind:
		}
	}
}

// memory returns the bytes of a model or adapter; zero if it is unknown.
func (f *fleet) memory(name string) int64 {
	if model, ok := f.input.Catalog.Models[name]; ok {
		return model.MemoryBytes
	}
	return f.input.Catalog.Adapters[name].MemoryBytes
}

// baseModel returns the model of an adapter, which must be on the same engine.
// It returns false for a model.
func (f *fleet) baseModel(name string) (string, bool) {
	adapter, ok := f.input.Catalog.Adapters[name]
	return adapter.Model, ok
}

// compatible reports whether an engine can hold a model or adapter at all.
func (f *fleet) compatible(e *engine, name string) bool {
	if base, adapter := f.baseModel(name); adapter {
		name = base
	}
	model, ok := f.input.Catalog.Models[name]
	return ok && (model.Service == "" || model.Service == e.upstream.Service)
}

// canLoad reports whether the store's limits admit another load now.
func (f *fleet) canLoad(adapter bool) bool {
	limits := f.input.Limits
	if f.loadPlanned || f.input.Now.Before(f.input.NextLoad) || f.loadsInTransit >= limits.LoadsAtOnce {
		return false
	}
	return !adapter || f.adaptersInTransit < limits.AdaptersInTransit
}

// load plans a load. It returns false if it is not possible now.
func (f *fleet) load(e *engine, name string, reason Reason) bool {
	base, adapter := f.baseModel(name)
	if e.busy || e.free < f.memory(name) || !f.canLoad(adapter) {
		return false
	}
	if adapter && !e.held[base] {
		return false
	}
	var work orderer.Work = orderer.LoadModel{
		Model: name, Version: f.input.Catalog.Models[name].Version, MemoryBytes: f.memory(name),
	}
	if adapter {
		work = orderer.LoadAdapter{
			Adapter: name, Model: base, Version: f.input.Catalog.Adapters[name].Version, MemoryBytes: f.memory(name),
		}
		f.adaptersInTransit++
	}
	f.addMove(e, work, reason)
	f.loadsInTransit++
	f.loadPlanned = true
	e.free -= f.memory(name)
	e.incoming[name] = true
	return true
}

// unload plans to unload a copy that is not the last one. It returns false if
// that is not possible now.
func (f *fleet) unload(e *engine, name string) bool {
	if e.busy || !e.held[name] || f.copies[name] < 2 {
		return false
	}
	_, adapter := f.baseModel(name)
	if adapter {
		f.addMove(e, orderer.UnloadAdapter{Adapter: name}, ReasonRoom)
	} else {
		if len(f.adaptersOn(e, name)) > 0 {
			return false
		}
		f.addMove(e, orderer.UnloadModel{Model: name}, ReasonRoom)
	}
	delete(e.held, name)
	f.copies[name]--
	return true
}

// adaptersOn returns the adapters of a model that an engine holds or is
// loading.
func (f *fleet) adaptersOn(e *engine, model string) []string {
	var names []string
	for _, name := range f.adaptersOf[model] {
		if e.held[name] || e.incoming[name] {
			names = append(names, name)
		}
	}
	return names
}

func (f *fleet) addMove(e *engine, work orderer.Work, reason Reason) {
	e.busy = true
	f.moves = append(f.moves, Move{
		Upstream:    e.upstream.Name,
		Incarnation: e.upstream.Incarnation,
		Work:        work,
		Reason:      reason,
	})
}
