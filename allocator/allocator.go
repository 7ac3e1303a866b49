// Package allocator decides which engine holds which model and adapter. It is
// pure: it takes a view of engines and demand and returns moves. It answers
// loads whose demand moves between models within seconds, on engines that hold
// few models at once and keep copies of others in their main memory and on
// their disks.
package allocator

import (
	"time"
)

// Model is a model that the engines of one service can hold.
type Model struct {
	Name               string
	MemoryBytes        int64
	AdapterMemoryBytes int64
	// LoadTime is from the weight store, DiskTime from an engine's disk and
	// WarmTime from its main memory.
	LoadTime time.Duration
	DiskTime time.Duration
	WarmTime time.Duration
	// Demand is the demand, in engines kept busy. Lasting follows it more slowly.
	Demand     float64
	SlowDemand float64
	// WaitingSince is from when on requests have waited for a holder; zero where
	// none do.
	WaitingSince time.Time
	// AdaptersWaitingSince is from when on requests have waited for adapters that none of
	// its holders can take; zero where none do.
	AdaptersWaitingSince time.Time
	// RequestedAt is when the model was last asked for; zero for never.
	RequestedAt time.Time
}

// hasWaiters says whether requests wait for a holder.
func (m *Model) hasWaiters() bool { return !m.WaitingSince.IsZero() }

// Copy is a model on an engine.
type Copy struct {
	// Adapters by name, with the time at which each was last asked for.
	Adapters map[string]time.Time
	// Draining is true where entries were told to send nothing more, and Dropped
	// from when on all of them know.
	Draining    bool
	DrainedFrom time.Time
	// InFlight is how many requests all entries have there for the model.
	InFlight int
	// Since is when the copy was first seen.
	Since time.Time
}

// Engine is one engine.
type Engine struct {
	Name         string
	MemoryBytes  int64
	AdapterSlots int
	// Copies are by model. A copy that is still loading is among them.
	Copies map[string]*Copy
	// Loading is the model whose load is under way; empty for none.
	Loading string
	// Planned is the model that is loaded once others have made way; empty for
	// none.
	Planned string
	// AcceptsOrders is true where an order may be given now.
	AcceptsOrders bool
	// Leaving engines are given nothing and count for nothing.
	Leaving bool
	// Warm and OnDisk are the models that the engine keeps copies of.
	Warm   map[string]bool
	OnDisk map[string]bool
	// InFlight is how many requests all entries have there.
	InFlight int
	// Capacity is the work that the engine takes where it limits its requests, in
	// engines kept busy; zero where it does not.
	Capacity float64
}

// View is what a plan depends on.
type View struct {
	Now     time.Time
	Models  map[string]*Model
	Engines map[string]*Engine
	// StoreLoads is how many loads from the weight store may begin now.
	StoreLoads int
}

// Move is one change. It is one of the types below.
type Move interface{ move() }

// Load has an engine load a model.
type Load struct {
	Engine, Model string
	// FromStore is true where the engine keeps no copy.
	FromStore bool
	Rationale Rationale
}

// Drain stops requests for a model at an engine, so that it can be unloaded.
type Drain struct {
	Engine, Model string
	// For is the model that is to be loaded in its place.
	For       string
	Rationale Rationale
}

// Rationale is what decided a move: the demand for the model that gets a copy, in
// engines kept busy, how many engines hold it, and the move's worth.
type Rationale struct {
	Reason  string
	Demand  float64
	Holders int
	Gain    float64
}

// Unload has an engine unload a model that gets no more requests.
type Unload struct{ Engine, Model string }

func (Load) move()   {}
func (Drain) move()  {}
func (Unload) move() {}

// utilisation is the part of an engine that some work keeps busy.
func (e *Engine) utilisation(demand float64) float64 {
	if e.Capacity <= 0 || e.Capacity >= 1 {
		return demand
	}
	return demand / e.Capacity
}

// freeMemory is the memory of an engine that nothing holds or is about to hold.
func (e *Engine) freeMemory(models map[string]*Model) int64 {
	free := e.MemoryBytes
	for name, held := range e.Copies {
		free -= held.memory(models[name])
	}
	return free
}

// unknownModelBytes stands for the size of a model that the configuration does not
// name: nothing may be put beside it.
const unknownModelBytes = int64(1) << 62

func (c *Copy) memory(model *Model) int64 {
	if model == nil {
		return unknownModelBytes
	}
	return model.MemoryBytes + int64(len(c.Adapters))*model.AdapterMemoryBytes
}

// adapters counts the adapters that an engine holds.
func (e *Engine) adapters() int {
	count := 0
	for _, held := range e.Copies {
		count += len(held.Adapters)
	}
	return count
}

// serves says whether requests for a model may go to the engine.
func (e *Engine) serves(model string) bool {
	held := e.Copies[model]
	return held != nil && !held.Draining && e.Loading != model && !e.Leaving
}

// LoadTime is how long an engine takes to load a model.
func (e *Engine) LoadTime(model *Model) time.Duration {
	switch {
	case e.Warm[model.Name]:
		return model.WarmTime
	case e.OnDisk[model.Name]:
		return model.DiskTime
	default:
		return model.LoadTime
	}
}

// loadsFromStore says whether a load of a model would come from the weight store.
func (e *Engine) loadsFromStore(model string) bool { return !e.Warm[model] && !e.OnDisk[model] }

// forEachCopy calls a function once with each model that the engine keeps a copy of
// or is about to load.
func (e *Engine) forEachCopy(visit func(model string)) {
	for model := range e.Copies {
		visit(model)
	}
	for model := range e.Warm {
		if e.Copies[model] == nil {
			visit(model)
		}
	}
	for model := range e.OnDisk {
		if e.Copies[model] == nil && !e.Warm[model] {
			visit(model)
		}
	}
	if e.Planned != "" && e.Copies[e.Planned] == nil && e.loadsFromStore(e.Planned) {
		visit(e.Planned)
	}
}

// holders lists the engines that serve each model or will soon, in the order
// given.
func (v *View) holders(engines []string) map[string][]string {
	holders := make(map[string][]string, len(v.Models))
	for _, name := range engines {
		engine := v.Engines[name]
		if engine.Leaving {
			continue
		}
		for model, held := range engine.Copies {
			if !held.Draining && v.Models[model] != nil && model != engine.Planned {
				holders[model] = append(holders[model], name)
			}
		}
		if v.Models[engine.Planned] != nil {
			holders[engine.Planned] = append(holders[engine.Planned], name)
		}
	}
	return holders
}

// draining is true while something is about to make way.
func (e *Engine) draining() bool {
	for _, held := range e.Copies {
		if held.Draining {
			return true
		}
	}
	return false
}
