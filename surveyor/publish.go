package surveyor

import (
	"slices"
	"time"

	"burdocklink/cataloger"
)

// EngineHoldings is what one engine holds according to the control group, whose
// data is newer than the platform's list.
type EngineHoldings struct {
	Upstream    string
	Incarnation string
	// Holds excludes models that are about to be unloaded.
	Holds []HeldModel
	// ValidUntil is when the list takes precedence again.
	ValidUntil time.Time
}

// publishedUpstream is the published state of one upstream.
type publishedUpstream struct {
	upstream cataloger.Upstream
	holds    []HeldModel
}

// appendChanges appends the differences between the published and the current state
// of one upstream, and marks them as published. The mutex must be held.
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

// samePlacement reports whether two upstreams have the same placement.
func (p publishedUpstream) samePlacement(other publishedUpstream) bool {
	return p.upstream.Service == other.upstream.Service &&
		p.upstream.Incarnation == other.upstream.Incarnation && slices.EqualFunc(p.holds, other.holds, sameHeld)
}

func sameHeld(a, b HeldModel) bool {
	return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// publishAll publishes the changes of all upstreams. The mutex must be held.
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

// publish notifies of changes, if there are any. The mutex must be held.
func (s *Surveyor) publish(changes []cataloger.Change) {
	if len(changes) > 0 {
		s.settings.Notify(changes)
	}
}

// catalogUpstream converts an upstream to its form in the catalog.
func (s *Surveyor) catalogUpstream(upstream Upstream) cataloger.Upstream {
	described := cataloger.Upstream{
		Name:             upstream.Name,
		Incarnation:      upstream.Incarnation,
		Address:          upstream.Address,
		AvailabilityZone: upstream.AvailabilityZone,
		Service:          upstream.Service,
		Software:         upstream.Software,
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

// currentHoldings returns what an upstream holds: the control group's data if it is
// valid and about this incarnation, otherwise the list's.
func (s *Surveyor) currentHoldings(upstream Upstream) []HeldModel {
	holdings, known := s.holdings[upstream.Name]
	if known && holdings.Incarnation == upstream.Incarnation && time.Now().Before(holdings.ValidUntil) {
		return holdings.Holds
	}
	return upstream.Holds
}

// scheduleExpiry brings holdingsExpireAt forward to until. A zero until never takes
// effect while another time is set. The mutex must be held.
func (s *Surveyor) scheduleExpiry(until time.Time) {
	if s.holdingsExpireAt.IsZero() || (!until.IsZero() && until.Before(s.holdingsExpireAt)) {
		s.holdingsExpireAt = until
	}
}

// expireHoldings makes the list take precedence over expired holdings. Expired
// holdings stay stored. The mutex must be held.
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
