package applier

import "burdocklink/cataloger"

// watch carries out what the platform and the weight store say. Steps that
// change nothing are left out, and so is what is known to be outdated: an
// incarnation that was replaced does not come back, and one that was leaving
// stays so. Where a step contradicts the catalog or two steps are about the
// same thing, none comes into force.
func (s *State) watch(command Watch) Applied {
	if reason := watchFault(command); reason != "" {
		return Applied{Result: Invalid{Reason: reason}, Delta: s.commit(nil)}
	}
	if s.outdated(command) {
		return Applied{Result: Nothing{}, Delta: s.commit(nil)}
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
	s.orders.UpstreamsListed(s.catalog)
	return Applied{Result: Accepted{Revision: delta.To}, Delta: delta}
}

// watchFault says what is wrong with the command itself.
func watchFault(command Watch) string {
	for _, step := range command.Changes {
		if !forWatchers(step) {
			return "watchers change upstreams, models and adapters only"
		}
	}
	if repeats(command.Changes) {
		return "two steps are about the same thing"
	}
	return ""
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
	departed := s.departed.find(upstream)
	if departed.Replaced {
		return nil
	}
	if departed.Leaving {
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

// depart notes the incarnations that the steps remove or replace.
func (s *State) depart(steps []cataloger.Change) {
	for _, step := range steps {
		switch step := step.(type) {
		case cataloger.RemoveUpstream:
			before, listed := s.catalog.Upstreams[step.Name]
			if !listed {
				continue
			}
			s.departed.add(Departure{
				Upstream:    before.Name,
				Incarnation: before.Incarnation,
				Leaving:     before.State == cataloger.UpstreamLeaving,
			})
		case cataloger.PutUpstream:
			s.departed.replace(step.Upstream.Name, step.Upstream.Incarnation)
		}
	}
}

// outdated reports whether a later reading was applied before, and notes this
// one where not.
func (s *State) outdated(command Watch) bool {
	if command.Term == 0 && command.Sequence == 0 {
		return false
	}
	earlier := command.Term < s.watched.Term ||
		command.Term == s.watched.Term && command.Sequence <= s.watched.Sequence
	if !earlier {
		s.watched = Reading{Term: command.Term, Sequence: command.Sequence}
	}
	return earlier
}

// repeats reports whether two steps are about the same thing.
func repeats(steps []cataloger.Change) bool {
	seen := map[string]bool{}
	for _, step := range steps {
		about := subject(step)
		if seen[about] {
			return true
		}
		seen[about] = true
	}
	return false
}

// subject names what a step is about.
func subject(step cataloger.Change) string {
	switch step := step.(type) {
	case cataloger.PutUpstream:
		return "upstream " + step.Upstream.Name
	case cataloger.RemoveUpstream:
		return "upstream " + step.Name
	case cataloger.PutModel:
		return "weights " + step.Model.Name
	case cataloger.RemoveModel:
		return "weights " + step.Name
	case cataloger.PutAdapter:
		return "weights " + step.Adapter.Name
	case cataloger.RemoveAdapter:
		return "weights " + step.Name
	default:
		return ""
	}
}
