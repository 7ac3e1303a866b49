package placer

import (
	"maps"
	"slices"

	"burdocklink/cataloger"
	"burdocklink/orderer"
)

// defaultSlots of an engine that does not say how many requests it batches.
const defaultSlots = 8

// engine is one live engine in the working state of a plan.
type engine struct {
	about cataloger.Upstream
	slots float64
	// free is the memory that nothing can claim, in bytes.
	free int64
	// busy is true while an order is unsettled or planned.
	busy bool
	// held is what is confirmed and not being unloaded.
	held map[string]bool
	// coming is what is being loaded or has room made for it.
	coming map[string]bool
}

// fleet is the working state of a plan. Each planned move changes it.
type fleet struct {
	input   *Input
	state   *State
	engines []*engine
	// copies counts confirmed copies on live engines that stay.
	copies map[string]int
	// children are the adapters by model, in ascending order.
	children map[string][]string
	moves    []Move
	// loads and adapters are in transit.
	loads    int
	adapters int
	loaded   bool
}

func newFleet(input *Input, state *State) *fleet {
	f := &fleet{input: input, state: state, copies: map[string]int{}, children: map[string][]string{}}
	for _, name := range slices.Sorted(maps.Keys(input.Catalog.Adapters)) {
		model := input.Catalog.Adapters[name].Model
		f.children[model] = append(f.children[model], name)
	}
	for _, name := range slices.Sorted(maps.Keys(input.Catalog.Upstreams)) {
		about := input.Catalog.Upstreams[name]
		if about.Kind == cataloger.EngineUpstream && f.live(about) {
			f.engines = append(f.engines, f.engine(about))
		}
	}
	f.countTransit()
	for _, e := range f.engines {
		for name := range e.held {
			f.copies[name]++
		}
	}
	return f
}

// live says whether an engine takes new work.
func (f *fleet) live(about cataloger.Upstream) bool {
	report, ok := f.input.Reports[about.Name]
	leaving := ok && report.Incarnation == about.Incarnation && report.Leaving
	return about.State == cataloger.UpstreamLive && !leaving
}

func (f *fleet) engine(about cataloger.Upstream) *engine {
	e := &engine{about: about, slots: float64(about.Slots), held: map[string]bool{}, coming: map[string]bool{}}
	if e.slots <= 0 {
		e.slots = defaultSlots
	}
	used := f.input.Reserved[about.Name]
	placement := f.input.Catalog.Placements[about.Name]
	if placement.Incarnation == about.Incarnation {
		for _, name := range slices.Concat(placement.Models, placement.Adapters) {
			e.held[name] = true
			used += f.bytes(name)
		}
	}
	for _, order := range f.input.Unsettled {
		if order.Upstream == about.Name && order.Incarnation == about.Incarnation {
			used += f.pending(e, order.Work)
		}
	}
	report, ok := f.input.Reports[about.Name]
	if ok && report.Incarnation == about.Incarnation {
		used = max(used, report.UsedBytes)
	}
	e.free = about.MemoryBytes - used
	return e
}

// pending counts an unsettled order and returns the memory it may still take.
func (f *fleet) pending(e *engine, work orderer.Work) int64 {
	e.busy = true
	switch work := work.(type) {
	case orderer.LoadModel:
		e.coming[work.Model] = true
		return work.MemoryBytes
	case orderer.LoadAdapter:
		e.coming[work.Adapter] = true
		return work.MemoryBytes
	case orderer.UnloadModel:
		return f.leave(e, work.Model)
	case orderer.UnloadAdapter:
		return f.leave(e, work.Adapter)
	}
	return 0
}

// leave drops a copy that is being unloaded. Its memory stays counted: it
// returns the bytes where the placement no longer shows them.
func (f *fleet) leave(e *engine, name string) int64 {
	if e.held[name] {
		delete(e.held, name)
		return 0
	}
	return f.bytes(name)
}

func (f *fleet) countTransit() {
	for _, order := range f.input.Unsettled {
		switch kindOf(order.Work) {
		case modelLoad:
			f.loads++
		case adapterLoad:
			f.loads++
			f.adapters++
		case anyUnload, otherKind:
		}
	}
}

// bytes returns the memory of a model or adapter, zero where it is unknown.
func (f *fleet) bytes(name string) int64 {
	if model, ok := f.input.Catalog.Models[name]; ok {
		return model.MemoryBytes
	}
	return f.input.Catalog.Adapters[name].MemoryBytes
}

// base returns the model that must be on the same engine, and false for a
// model itself.
func (f *fleet) base(name string) (string, bool) {
	adapter, ok := f.input.Catalog.Adapters[name]
	return adapter.Model, ok
}

// suits says whether an engine may ever hold a model or adapter.
func (f *fleet) suits(e *engine, name string) bool {
	if base, adapter := f.base(name); adapter {
		name = base
	}
	model, ok := f.input.Catalog.Models[name]
	return ok && (model.Service == "" || model.Service == e.about.Service)
}

// mayLoad says whether the store's limits allow one more load now.
func (f *fleet) mayLoad(adapter bool) bool {
	limits := f.input.Limits
	if f.loaded || f.input.Now.Before(f.input.NextLoad) || f.loads >= limits.LoadsAtOnce {
		return false
	}
	return !adapter || f.adapters < limits.AdaptersInTransit
}

// load plans a load. It returns false if it can't be given now.
func (f *fleet) load(e *engine, name string, reason Reason) bool {
	base, adapter := f.base(name)
	if e.busy || e.free < f.bytes(name) || !f.mayLoad(adapter) {
		return false
	}
	if adapter && !e.held[base] {
		return false
	}
	var work orderer.Work = orderer.LoadModel{
		Model: name, Version: f.input.Catalog.Models[name].Version, MemoryBytes: f.bytes(name),
	}
	if adapter {
		work = orderer.LoadAdapter{
			Adapter: name, Model: base, Version: f.input.Catalog.Adapters[name].Version, MemoryBytes: f.bytes(name),
		}
		f.adapters++
	}
	f.move(e, work, reason)
	f.loads++
	f.loaded = true
	e.free -= f.bytes(name)
	e.coming[name] = true
	return true
}

// unload plans an unload of a copy that is not the last one. It returns false
// if it can't be given now.
func (f *fleet) unload(e *engine, name string) bool {
	if e.busy || !e.held[name] || f.copies[name] < 2 {
		return false
	}
	_, adapter := f.base(name)
	if adapter {
		f.move(e, orderer.UnloadAdapter{Adapter: name}, ReasonRoom)
	} else {
		if len(f.on(e, name)) > 0 {
			return false
		}
		f.move(e, orderer.UnloadModel{Model: name}, ReasonRoom)
	}
	delete(e.held, name)
	f.copies[name]--
	return true
}

// on returns the adapters of a model that an engine holds or is getting.
func (f *fleet) on(e *engine, model string) []string {
	var on []string
	for _, name := range f.children[model] {
		if e.held[name] || e.coming[name] {
			on = append(on, name)
		}
	}
	return on
}

func (f *fleet) move(e *engine, work orderer.Work, reason Reason) {
	e.busy = true
	f.moves = append(f.moves, Move{
		Upstream:    e.about.Name,
		Incarnation: e.about.Incarnation,
		Work:        work,
		Reason:      reason,
	})
}
