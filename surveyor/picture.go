package surveyor

import (
	"slices"
	"time"

	"burdocklink/cataloger"
)

// EngineHoldings is what the control group says that one engine holds. It is newer than
// the platform's list, which lags.
type EngineHoldings struct {
	Upstream    string
	Incarnation string
	// Holds leaves out what is about to be dropped.
	Holds []HeldModel
	// ValidUntil is when the word is too old to go before the list's.
	ValidUntil time.Time
}

// publishedUpstream is what the picture says of one upstream.
type publishedUpstream struct {
	upstream cataloger.Upstream
	holds    []HeldModel
}

// appendChanges adds to changes what became different for one upstream since it was
// published. The mutex is held.
func (s *Surveyor) appendChanges(changes []cataloger.Change, name string) []cataloger.Change {
	before, known := s.published[name]
	upstream, listed := s.listed[name]
	if !listed {
		if !known {
			return changes
		}
		delete(s.published, name)
		return append(changes, cataloger.RemoveUpstream{Name: name})
	}
	current := publishedUpstream{upstream: s.catalogUpstream(upstream), holds: s.currentHoldings(upstream)}
	if !known || before.upstream != current.upstream {
		changes = append(changes, cataloger.PutUpstream{Upstream: current.upstream})
	}
	if !before.samePlacement(current) {
		changes = append(changes, cataloger.PutPlacement{Placement: placement(upstream, current.holds)})
	}
	s.published[name] = current
	return changes
}

// samePlacement says whether two upstreams have the same placement.
func (p publishedUpstream) samePlacement(other publishedUpstream) bool {
	return p.upstream.Service == other.upstream.Service &&
		p.upstream.Incarnation == other.upstream.Incarnation && slices.EqualFunc(p.holds, other.holds, sameHeld)
}

func sameHeld(a, b HeldModel) bool {
	return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// publishAll publishes what became different for any upstream. The mutex is held.
func (s *Surveyor) publishAll() {
	var changes []cataloger.Change
	for name := range s.listed {
		changes = s.appendChanges(changes, name)
	}
	for name := range s.published {
		if _, listed := s.listed[name]; !listed {
			changes = s.appendChanges(changes, name)
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

// catalogUpstream gives an upstream in the catalog's terms.
func (s *Surveyor) catalogUpstream(upstream Upstream) cataloger.Upstream {
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

// currentHoldings returns what an upstream holds, from the control group where its word
// is about this incarnation and fresh.
func (s *Surveyor) currentHoldings(upstream Upstream) []HeldModel {
	holdings, known := s.holdings[upstream.Name]
	if known && holdings.Incarnation == upstream.Incarnation && time.Now().Before(holdings.ValidUntil) {
		return holdings.Holds
	}
	return upstream.Holds
}

// scheduleExpiry notes that a word may be too old from a time on; one without a time
// never counts. The mutex is held.
func (s *Surveyor) scheduleExpiry(until time.Time) {
	if s.holdingsExpireAt.IsZero() || (!until.IsZero() && until.Before(s.holdingsExpireAt)) {
		s.holdingsExpireAt = until
	}
}

// expireHoldings lets words that have grown too old give way to the list. It looks at
// all of them once one may have. They are kept, since the control group may say
// that they stand. The mutex is held.
func (s *Surveyor) expireHoldings(now time.Time) {
	if s.holdingsExpireAt.IsZero() || now.Before(s.holdingsExpireAt) {
		return
	}
	s.holdingsExpireAt = time.Time{}
	for _, holdings := range s.holdings {
		if now.Before(holdings.ValidUntil) {
			s.scheduleExpiry(holdings.ValidUntil)
		}
	}
	s.publishAll()
}

func placement(upstream Upstream, holds []HeldModel) cataloger.Placement {
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
