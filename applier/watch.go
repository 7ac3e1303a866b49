package applier

import "burdocklink/cataloger"

// applyWatch applies changes in the platform's list and in the weight store.
// Steps without effect are skipped, and outdated ones are corrected: a replaced
// incarnation is not listed again, and a leaving one stays leaving. If a step
// contradicts the catalog, or two steps have the same subject, no step is
// applied.
func (s *State) applyWatch(command Watch) Applied {
	if reason := validateWatch(command); reason != "" {
		return Applied{Result: Invalid{Reason: reason}, Delta: s.commit(nil)}
	}
	if s.outdated(command) {
		return Applied{Result: Nothing{}, Delta: s.commit(nil)}
	}
	steps := s.effectiveSteps(command.Changes)
	if reason := validateChanges(s.catalog, steps); reason != "" {
		return Applied{Result: Invalid{Reason: reason}, Delta: s.commit(nil)}
	}
	if len(steps) == 0 {
		return Applied{Result: Nothing{}, Delta: s.commit(nil)}
	}
	s.recordDepartures(steps)
	delta := s.commit(steps)
	s.orders.UpstreamsListed(s.catalog)
	return Applied{Result: Accepted{Revision: delta.To}, Delta: delta}
}

// validateWatch returns why the command is malformed, or an empty string.
func validateWatch(command Watch) string {
	for _, step := range command.Changes {
		if !allowedForWatchers(step) {
			return "watchers change upstreams, models and adapters only"
		}
	}
	if hasDuplicateSubjects(command.Changes) {
		return "two steps are about the same thing"
	}
	return ""
}

func allowedForWatchers(step cataloger.Change) bool {
	switch step.(type) {
	case cataloger.PutUpstream, cataloger.RemoveUpstream, cataloger.PutModel, cataloger.RemoveModel,
		cataloger.PutAdapter, cataloger.RemoveAdapter, cataloger.PutRelease, cataloger.RemoveRelease:
		return true
	default:
		return false
	}
}

// effectiveSteps returns the steps that change the catalog.
func (s *State) effectiveSteps(changes []cataloger.Change) []cataloger.Change {
	var steps []cataloger.Change
	for _, change := range changes {
		steps = append(steps, s.effectiveStep(change)...)
	}
	return steps
}

func (s *State) effectiveStep(change cataloger.Change) []cataloger.Change {
	switch change := change.(type) {
	case cataloger.PutUpstream:
		return s.effectiveUpstream(change.Upstream)
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
	case cataloger.PutRelease:
		if current, known := s.catalog.Releases[change.Release.ReleaseKey]; known && current.GoneAt.Equal(change.Release.GoneAt) {
			return nil
		}
	case cataloger.RemoveRelease:
		if _, known := s.catalog.Releases[change.ReleaseKey]; !known {
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

func (s *State) effectiveUpstream(upstream cataloger.Upstream) []cataloger.Change {
	departed := s.departures.find(upstream)
	if departed.Replaced {
		return nil
	}
	if departed.Leaving {
		upstream.State = cataloger.UpstreamLeaving
	}
	current, listed := s.catalog.Upstreams[upstream.Name]
	if !listed {
		return []cataloger.Change{cataloger.PutUpstream{Upstream: upstream}}
	}
	if current.Incarnation != upstream.Incarnation {
		return []cataloger.Change{
			cataloger.RemoveUpstream{Name: upstream.Name},
			cataloger.PutUpstream{Upstream: upstream},
		}
	}
	if current.State == cataloger.UpstreamLeaving {
		upstream.State = cataloger.UpstreamLeaving
	}
	if current == upstream {
		return nil
	}
	return []cataloger.Change{cataloger.PutUpstream{Upstream: upstream}}
}

// recordDepartures records the incarnations that the steps remove or replace.
func (s *State) recordDepartures(steps []cataloger.Change) {
	for _, step := range steps {
		switch step := step.(type) {
		case cataloger.RemoveUpstream:
			current, listed := s.catalog.Upstreams[step.Name]
			if !listed {
				continue
			}
			s.departures.add(Departure{
				Upstream:    current.Name,
				Incarnation: current.Incarnation,
				Leaving:     current.State == cataloger.UpstreamLeaving,
			})
		case cataloger.PutUpstream:
			s.departures.markReplaced(step.Upstream.Name, step.Upstream.Incarnation)
		}
	}
}

// outdated reports whether this or a later reading was already applied. If not,
// it records this one as the last.
func (s *State) outdated(command Watch) bool {
	if command.Term == 0 && command.Sequence == 0 {
		return false
	}
	outdated := command.Term < s.lastWatch.Term ||
		command.Term == s.lastWatch.Term && command.Sequence <= s.lastWatch.Sequence
	if !outdated {
		s.lastWatch = WatchPosition{Term: command.Term, Sequence: command.Sequence}
	}
	return outdated
}

// hasDuplicateSubjects reports whether two steps have the same subject.
func hasDuplicateSubjects(steps []cataloger.Change) bool {
	seen := map[string]bool{}
	for _, step := range steps {
		key := subject(step)
		if seen[key] {
			return true
		}
		seen[key] = true
	}
	return false
}

// subject returns a key for what a step changes. Models and adapters share one
// namespace.
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
	case cataloger.PutRelease:
		return "release " + step.Release.Service + " " + step.Release.Software
	case cataloger.RemoveRelease:
		return "release " + step.ReleaseKey.Service + " " + step.ReleaseKey.Software
	default:
		return ""
	}
}
