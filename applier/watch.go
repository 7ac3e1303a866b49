package applier

import "burdocklink/cataloger"

// watch carries out what the platform and the weight store say. Steps that
// change nothing are left out, and so is what is known to be outdated: an
// incarnation that was replaced does not come back, and one that was leaving
// stays so. Where a step contradicts the catalog, none comes into force.
func (s *State) watch(command Watch) Applied {
	for _, step := range command.Changes {
		if !forWatchers(step) {
			return Applied{Result: Invalid{Reason: "watchers change upstreams, models and adapters only"}, Delta: s.commit(nil)}
		}
	}
	steps := s.news(command.Changes)
	if reason := checkAll(s.catalog, steps); reason != "" {
		return Applied{Result: Invalid{Reason: reason}, Delta: s.commit(nil)}
	}
	if len(steps) == 0 {
		return Applied{Result: Nothing{}, Delta: s.commit(nil)}
	}
	s.depart(steps)
	delta := s.commit(steps)
	s.orders.Renewed(s.catalog)
	return Applied{Result: Accepted{Revision: delta.To}, Delta: delta}
}

func forWatchers(step cataloger.Change) bool {
	switch step.(type) {
	case cataloger.PutUpstream, cataloger.RemoveUpstream, cataloger.PutModel, cataloger.RemoveModel,
		cataloger.PutAdapter, cataloger.RemoveAdapter:
		return true
	default:
		return false
	}
}

// news returns the steps that say something new.
func (s *State) news(changes []cataloger.Change) []cataloger.Change {
	var steps []cataloger.Change
	for _, change := range changes {
		steps = append(steps, s.newStep(change)...)
	}
	return steps
}

func (s *State) newStep(change cataloger.Change) []cataloger.Change {
	switch change := change.(type) {
	case cataloger.PutUpstream:
		return s.newUpstream(change.Upstream)
	case cataloger.RemoveUpstream:
		if _, listed := s.catalog.Upstreams[change.Name]; !listed {
			return nil
		}
	case cataloger.PutModel:
		if s.catalog.Models[change.Model.Name] == change.Model {
			return nil
		}
	case cataloger.PutAdapter:
		if s.catalog.Adapters[change.Adapter.Name] == change.Adapter {
			return nil
		}
	case cataloger.RemoveModel:
		if _, listed := s.catalog.Models[change.Name]; !listed {
			return nil
		}
	case cataloger.RemoveAdapter:
		if _, listed := s.catalog.Adapters[change.Name]; !listed {
			return nil
		}
	}
	return []cataloger.Change{change}
}

func (s *State) newUpstream(upstream cataloger.Upstream) []cataloger.Change {
	replaced, departed := s.departed.find(upstream)
	if replaced {
		return nil
	}
	if departed {
		upstream.State = cataloger.UpstreamLeaving
	}
	before, listed := s.catalog.Upstreams[upstream.Name]
	if !listed {
		return []cataloger.Change{cataloger.PutUpstream{Upstream: upstream}}
	}
	if before.Incarnation != upstream.Incarnation {
		return []cataloger.Change{
			cataloger.RemoveUpstream{Name: upstream.Name},
			cataloger.PutUpstream{Upstream: upstream},
		}
	}
	if before.State == cataloger.UpstreamLeaving {
		upstream.State = cataloger.UpstreamLeaving
	}
	if before == upstream {
		return nil
	}
	return []cataloger.Change{cataloger.PutUpstream{Upstream: upstream}}
}

// depart notes the incarnations that the steps replace or remove.
func (s *State) depart(steps []cataloger.Change) {
	puts := map[string]string{}
	for _, step := range steps {
		if put, ok := step.(cataloger.PutUpstream); ok {
			puts[put.Upstream.Name] = put.Upstream.Incarnation
		}
	}
	for _, step := range steps {
		remove, ok := step.(cataloger.RemoveUpstream)
		if !ok {
			continue
		}
		before, listed := s.catalog.Upstreams[remove.Name]
		if !listed {
			continue
		}
		next, again := puts[remove.Name]
		replaced := again && next != before.Incarnation
		if replaced || before.State == cataloger.UpstreamLeaving {
			s.departed.add(Departure{Upstream: before.Name, Incarnation: before.Incarnation, Replaced: replaced})
		}
	}
}
