// Package allocator decides which engine holds which model and adapter. It is
// pure: it takes a view of engines and demand and returns moves. It is built
// for demand that shifts between models within seconds, and for engines that
// hold few models at once and cache others in main memory and on disk.
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
	// Demand is in fully utilised engines. SlowDemand is averaged over a longer
	// time.
	Demand     float64
	SlowDemand float64
	// WaitingSince is when requests began to wait for a holder; zero if none
	// wait.
	WaitingSince time.Time
	// AdaptersWaitingSince is when requests began to wait for adapters that no
	// holder has room for; zero if none wait.
	AdaptersWaitingSince time.Time
	// SoftwareWaitingSince is when streams of a software version began to wait for a holder
	// that runs it, by version.
	SoftwareWaitingSince map[string]time.Time
	// RequestedAt is the time of the last request; zero if there was none.
	RequestedAt time.Time
}

// hasWaiters reports whether requests wait for a holder.
func (m *Model) hasWaiters() bool { return !m.WaitingSince.IsZero() }

// Copy is a model on an engine.
type Copy struct {
	// Adapters maps each adapter to the time of its last request.
	Adapters map[string]time.Time
	// Draining is set once it is announced to the entries that the copy takes
	// no more requests. All of them know from DrainStart on.
	Draining   bool
	DrainStart time.Time
	// InFlight is the number of in-flight requests for the model from all
	// entries.
	InFlight int
	// Since is when the copy was first seen.
	Since time.Time
}

// Engine is an engine and what it holds.
type Engine struct {
	Name string
	// Software is the version of the engine's software; empty if unknown.
	Software     string
	MemoryBytes  int64
	AdapterSlots int
	// Copies are by model and include one that is still loading.
	Copies map[string]*Copy
	// Loading is the model being loaded; empty if there is none.
	Loading string
	// Planned is the model to load once others are unloaded; empty if there is
	// none.
	Planned string
	// AcceptsOrders is set if an order may be given now.
	AcceptsOrders bool
	// Leaving engines get no copies, and theirs are not counted.
	Leaving bool
	// Warm and OnDisk are the models cached in main memory and on disk.
	Warm   map[string]bool
	OnDisk map[string]bool
	// InFlight is the number of in-flight requests from all entries.
	InFlight int
	// Capacity is the demand that the engine accepts under its rate limit, in
	// fully utilised engines; zero if it has no limit.
	Capacity float64
}

// View is the input of a plan.
type View struct {
	Now     time.Time
	Models  map[string]*Model
	Engines map[string]*Engine
	// StoreLoads is how many loads from the weight store may begin now.
	StoreLoads int
	// Review is set if a plan is to say what it found.
	Review bool
}

// Move is one of the types below.
type Move interface{ move() }

// Load has an engine load a model.
type Load struct {
	Engine, Model string
	// FromStore is set if the engine has no cached copy.
	FromStore bool
	Rationale Rationale
}

// Drain stops requests for a model at an engine, so that it can be unloaded.
type Drain struct {
	Engine, Model string
	// For is the model to load in its place.
	For       string
	Rationale Rationale
}

// Rationale is what decided a move: the demand for the model that gets a copy,
// in fully utilised engines, how many engines hold it, and the gain of the
// move.
type Rationale struct {
	Reason  string
	Demand  float64
	Holders int
	Gain    float64
}

// Unload has an engine unload a drained model.
type Unload struct{ Engine, Model string }

func (Load) move()   {}
func (Drain) move()  {}
func (Unload) move() {}

// utilisation returns how much of the engine a demand takes up.
func (e *Engine) utilisation(demand float64) float64 {
	if e.Capacity <= 0 || e.Capacity >= 1 {
		return demand
	}
	return demand / e.Capacity
}

// freeMemory returns the bytes that no copy takes up, loading ones included.
func (e *Engine) freeMemory(models map[string]*Model) int64 {
	free := e.MemoryBytes
	for name, held := range e.Copies {
		free -= held.memory(models[name])
	}
	return free
}

// unknownModelBytes is assumed for a model that the configuration does not
// name, so that nothing is loaded beside it.
const unknownModelBytes = int64(1) << 62

func (c *Copy) memory(model *Model) int64 {
	if model == nil {
		return unknownModelBytes
	}
	return model.MemoryBytes + int64(len(c.Adapters))*model.AdapterMemoryBytes
}

func (e *Engine) adapters() int {
	count := 0
	for _, held := range e.Copies {
		count += len(held.Adapters)
	}
	return count
}

// serves reports whether requests for a model may go to the engine.
func (e *Engine) serves(model string) bool {
	held := e.Copies[model]
	return held != nil && !held.Draining && e.Loading != model && !e.Leaving
}

// RestoresFor reports whether the engine can soon hold a model for streams of a software
// version: from its own memory or disk, or beside what it holds. They are too few to
// displace other models for as long as a load from the weight store takes.
func (e *Engine) RestoresFor(model *Model, software string, models map[string]*Model) bool {
	return e.Software == software && (!e.loadsFromStore(model.Name) || e.freeMemory(models) >= model.MemoryBytes)
}

// LoadTime returns how long the engine takes to load a model.
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

// loadsFromStore reports whether a load of the model would come from the weight
// store.
func (e *Engine) loadsFromStore(model string) bool { return !e.Warm[model] && !e.OnDisk[model] }

// forEachCopy visits each model once that the engine holds, has cached or is
// about to load.
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

// holders returns the engines that serve each model or soon will, in the order
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

// draining reports whether any copy is being drained.
func (e *Engine) draining() bool {
	for _, held := range e.Copies {
		if held.Draining {
			return true
		}
	}
	return false
}
