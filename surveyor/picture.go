package surveyor

import (
	"slices"
	"time"

	"burdocklink/cataloger"
)

// Told is what the control group says that one engine holds. It is newer than
// the platform's list, which lags.
type Told struct {
	Upstream    string
	Incarnation string
	// Holds leaves out what is about to be dropped.
	Holds []Held
	// Until is when the word is too old to go before the list's.
	Until time.Time
}

// catalog makes the picture of all upstreams. The mutex is held.
func (s *Surveyor) catalog() *cataloger.Catalog {
	var changes []cataloger.Change
	for _, upstream := range s.listed {
		changes = append(changes, cataloger.PutUpstream{Upstream: s.describe(upstream)})
		if holds := s.holds(upstream); len(holds) > 0 {
			changes = append(changes, cataloger.PutPlacement{Placement: placement(upstream, holds)})
		}
	}
	// a delta from revision zero always continues the empty catalog
	catalog, _ := cataloger.New().With(cataloger.Delta{To: 1, Changes: changes})
	return catalog
}

// describe gives an upstream in the catalog's terms.
func (s *Surveyor) describe(upstream Upstream) cataloger.Upstream {
	described := cataloger.Upstream{
		Name:             upstream.Name,
		Incarnation:      upstream.Incarnation,
		Address:          upstream.Address,
		AvailabilityZone: upstream.AvailabilityZone,
		Service:          upstream.Service,
		Kind:             cataloger.PlainUpstream,
		State:            cataloger.UpstreamLive,
		Slots:            upstream.Slots,
	}
	if upstream.State == Leaving {
		described.State = cataloger.UpstreamLeaving
	}
	if s.configuration == nil {
		return described
	}
	if engine := s.configuration.Services[upstream.Service].Engine; engine != nil {
		described.Kind = cataloger.EngineUpstream
		described.MemoryBytes = engine.MemoryBytes
		described.CacheTokens = engine.CacheTokens
		if engine.Slots > 0 {
			described.Slots = engine.Slots
		}
	}
	return described
}

// holds returns what an upstream holds, from the control group where its word
// is about this incarnation and fresh.
func (s *Surveyor) holds(upstream Upstream) []Held {
	told, known := s.told[upstream.Name]
	if known && told.Incarnation == upstream.Incarnation && time.Now().Before(told.Until) {
		return told.Holds
	}
	return upstream.Holds
}

func placement(upstream Upstream, holds []Held) cataloger.Placement {
	p := cataloger.Placement{Upstream: upstream.Name, Incarnation: upstream.Incarnation}
	for _, held := range holds {
		p.Models = append(p.Models, HeldName(upstream.Service, held.Model, ""))
		for _, adapter := range held.Adapters {
			p.Adapters = append(p.Adapters, HeldName(upstream.Service, held.Model, adapter))
		}
	}
	slices.Sort(p.Models)
	slices.Sort(p.Adapters)
	return p
}
