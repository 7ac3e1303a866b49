package placer

import (
	"maps"
	"time"

	"burdocklink/orderer"
)

// State is what a plan hands to the next one. Its maps are never changed in
// place. A new leader starts with an empty one and learns again.
type State struct {
	// At is when the plan was made.
	At time.Time
	// Began is when the first plan of this state was made.
	Began time.Time
	// Readings are the last totals by entry.
	Readings map[string]Reading
	// Loads are the smoothed demands by model or adapter.
	Loads map[string]Load
	// Held are the models and adapters that had a copy at some time.
	Held map[string]bool
	// Rooms are the engines on which memory is being freed for a load.
	Rooms map[string]Room
	// Rests are the models and adapters that are not moved again for demand
	// before a time.
	Rests map[string]time.Time
	// Loading are the unsettled loads by order.
	Loading map[uint64]Loading
	// LoadTime is the measured time of a model's load, AdapterTime that of an
	// adapter's; zero before the first.
	LoadTime    time.Duration
	AdapterTime time.Duration
}

// Reading is one entry's totals at a time.
type Reading struct {
	Since  time.Time
	Totals map[string]Count
}

// Room is memory being freed on an engine.
type Room struct {
	// Name is the model or adapter to be loaded.
	Name   string
	Reason Reason
	// Until is when the try is given up.
	Until time.Time
}

// Loading is a load that has not settled.
type Loading struct {
	// Seen is when the order was first seen.
	Seen    time.Time
	Name    string
	Adapter bool
}

// Load times before any was measured, and the weight of a new measurement.
const (
	firstLoadTime    = 15 * time.Second
	firstAdapterTime = 2 * time.Second
	timeWeight       = 0.3
)

// loadTime returns the expected time of a load.
func (s *State) loadTime(adapter bool) time.Duration {
	known, first := s.LoadTime, firstLoadTime
	if adapter {
		known, first = s.AdapterTime, firstAdapterTime
	}
	if known == 0 {
		return first
	}
	return known
}

// measure learns load times from the orders that have settled.
func (s *State) measure(input *Input) {
	loading := map[uint64]Loading{}
	for _, order := range input.Unsettled {
		name, adapter, ok := loads(order.Work)
		if !ok {
			continue
		}
		seen := input.Now
		if before, known := s.Loading[order.ID]; known {
			seen = before.Seen
		}
		loading[order.ID] = Loading{Seen: seen, Name: name, Adapter: adapter}
	}
	for id, before := range s.Loading {
		if _, unsettled := loading[id]; unsettled {
			continue
		}
		took := input.Now.Sub(before.Seen)
		if before.Adapter {
			s.AdapterTime = blend(s.AdapterTime, took)
		} else {
			s.LoadTime = blend(s.LoadTime, took)
		}
	}
	s.Loading = loading
}

func blend(known, took time.Duration) time.Duration {
	if known == 0 {
		return took
	}
	return known + time.Duration(timeWeight*float64(took-known))
}

// remember notes which names have copies, and forgets rests that are over.
func (s *State) remember(input *Input) {
	held := maps.Clone(s.Held)
	if held == nil {
		held = map[string]bool{}
	}
	for name, holders := range input.Catalog.Holders {
		if len(holders) > 0 {
			held[name] = true
		}
	}
	s.Held = held
	rests := map[string]time.Time{}
	for name, until := range s.Rests {
		if until.After(input.Now) {
			rests[name] = until
		}
	}
	s.Rests = rests
}

// loads returns what an order loads; ok is false for other work.
func loads(work orderer.Work) (name string, adapter, ok bool) {
	switch work := work.(type) {
	case orderer.LoadModel:
		return work.Model, false, true
	case orderer.LoadAdapter:
		return work.Adapter, true, true
	default:
		return "", false, false
	}
}
