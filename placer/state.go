package placer

import (
	"maps"
	"slices"
	"time"

	"burdocklink/orderer"
)

// State is passed from one plan to the next. Its maps are never modified in
// place. A new leader starts with an empty state and measures again.
type State struct {
	// PlannedAt is when the plan was made.
	PlannedAt time.Time
	// Start is when the first plan of this state was made.
	Start time.Time
	// EntryTotals are by entry, as of this plan.
	EntryTotals map[string]EntryTotals
	// Demand is by model or adapter.
	Demand map[string]SmoothedDemand
	// EverHeld are the models and adapters that have had a copy.
	EverHeld map[string]bool
	// Evictions are by engine.
	Evictions map[string]Eviction
	// Cooldowns are the times before which a model or adapter is not moved for
	// demand again.
	Cooldowns map[string]time.Time
	// Pending are the unsettled orders by ID.
	Pending map[uint64]Pending
	// LoadTime, AdapterTime and UnloadTime are the mean durations of loading a
	// model, loading an adapter and any unload; zero before the first.
	LoadTime    time.Duration
	AdapterTime time.Duration
	UnloadTime  time.Duration
}

// EntryTotals is an entry's cumulative demand by model or adapter.
type EntryTotals struct {
	Since  time.Time
	Totals map[string]Count
}

// Eviction is freeing memory on an engine for a load.
type Eviction struct {
	// Name is the model or adapter to load.
	Name   string
	Reason Reason
	// Victims are still to be unloaded, in this order.
	Victims []string
	// Deadline is when the eviction is given up.
	Deadline time.Time
}

// Pending is an unsettled order.
type Pending struct {
	// Seen is when the order was first seen.
	Seen time.Time
	Kind kind
}

// kind groups orders by expected duration.
type kind int

const (
	otherKind kind = iota
	modelLoad
	adapterLoad
	anyUnload
)

// Durations of orders before the first measurement, and the weight of a new
// measurement.
const (
	initialLoadTime    = 15 * time.Second
	initialAdapterTime = 2 * time.Second
	initialUnloadTime  = 10 * time.Second
	durationWeight     = 0.3
)

// loadTime returns the expected duration of a load.
func (s *State) loadTime(adapter bool) time.Duration {
	if adapter {
		return orDefault(s.AdapterTime, initialAdapterTime)
	}
	return orDefault(s.LoadTime, initialLoadTime)
}

// unloadTime returns the expected duration of an unload.
func (s *State) unloadTime() time.Duration { return orDefault(s.UnloadTime, initialUnloadTime) }

func orDefault(measured, fallback time.Duration) time.Duration {
	if measured == 0 {
		return fallback
	}
	return measured
}

// measureOrders updates the durations from orders that have settled.
func (s *State) measureOrders(input *Input) {
	pending := map[uint64]Pending{}
	for _, order := range input.Unsettled {
		seen := input.Now
		if before, known := s.Pending[order.ID]; known {
			seen = before.Seen
		}
		pending[order.ID] = Pending{Seen: seen, Kind: kindOf(order.Work)}
	}
	for _, id := range slices.Sorted(maps.Keys(s.Pending)) {
		before := s.Pending[id]
		if _, unsettled := pending[id]; !unsettled {
			s.recordDuration(before.Kind, input.Now.Sub(before.Seen))
		}
	}
	s.Pending = pending
}

func (s *State) recordDuration(kind kind, duration time.Duration) {
	switch kind {
	case modelLoad:
		s.LoadTime = smoothDuration(s.LoadTime, duration)
	case adapterLoad:
		s.AdapterTime = smoothDuration(s.AdapterTime, duration)
	case anyUnload:
		s.UnloadTime = smoothDuration(s.UnloadTime, duration)
	case otherKind:
	}
}

func kindOf(work orderer.Work) kind {
	switch work.(type) {
	case orderer.LoadModel:
		return modelLoad
	case orderer.LoadAdapter:
		return adapterLoad
	case orderer.UnloadModel, orderer.UnloadAdapter:
		return anyUnload
	default:
		return otherKind
	}
}

func smoothDuration(before, duration time.Duration) time.Duration {
	if before == 0 {
		return duration
	}
	return before + time.Duration(durationWeight*float64(duration-before))
}

// update records which names have copies and removes expired cooldowns.
func (s *State) update(input *Input) {
	held := maps.Clone(s.EverHeld)
	if held == nil {
		held = map[string]bool{}
	}
	for name, holders := range input.Catalog.Holders {
		if len(holders) > 0 {
			held[name] = true
		}
	}
	s.EverHeld = held
	cooldowns := map[string]time.Time{}
	for name, until := range s.Cooldowns {
		if until.After(input.Now) {
			cooldowns[name] = until
		}
	}
	s.Cooldowns = cooldowns
}
