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

// pictured is what the picture says of one upstream.
type pictured struct {
	upstream cataloger.Upstream
	holds    []Held
}

// renew adds to changes what became different for one upstream since it was
// published. The mutex is held.
func (s *Surveyor) renew(changes []cataloger.Change, name string) []cataloger.Change {
	before, known := s.pictured[name]
	upstream, listed := s.listed[name]
	if !listed {
		if !known {
			return changes
		}
		delete(s.pictured, name)
		return append(changes, cataloger.RemoveUpstream{Name: name})
	}
	now := pictured{upstream: s.describe(upstream), holds: s.holds(upstream)}
	if !known || before.upstream != now.upstream {
		changes = append(changes, cataloger.PutUpstream{Upstream: now.upstream})
	}
	if !before.placedAs(now) {
		changes = append(changes, cataloger.PutPlacement{Placement: placement(upstream, now.holds)})
	}
	s.pictured[name] = now
	return changes
}

// placedAs says whether two upstreams have the same placement.
func (p pictured) placedAs(other pictured) bool {
	return p.upstream.Service == other.upstream.Service &&
		p.upstream.Incarnation == other.upstream.Incarnation && slices.EqualFunc(p.holds, other.holds, sameHeld)
}

func sameHeld(a, b Held) bool {
	return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// renewAll publishes what became different for any upstream. The mutex is held.
func (s *Surveyor) renewAll() {
	var changes []cataloger.Change
	for name := range s.listed {
		changes = s.renew(changes, name)
	}
	for name := range s.pictured {
		if _, listed := s.listed[name]; !listed {
			changes = s.renew(changes, name)
		}
	}
	s.publish(changes)
}

// publish tells what became different. The mutex is held.
func (s *Surveyor) publish(changes []cataloger.Change) {
	if len(changes) > 0 {
		s.settings.Notify(changes)
	}
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
