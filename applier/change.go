package applier

import (
	"burdocklink/cataloger"
)

// change carries out an operator's change: a resend gets the first answer, a
// change based on a revision before another operator's conflicts, and all
// steps come into force together or none does.
//
// A change conflicts only with other operators' changes. Placements, upstreams
// and weights move by themselves all the time; a change that contradicts them
// is found by its own check.
func (s *State) change(command Change) Applied {
	if reason := command.fault(); reason != "" {
		return Applied{Result: Invalid{Reason: reason}, Delta: s.commit(nil)}
	}
	if first, resent := s.operators.find(command); resent {
		return Applied{Result: first, Delta: s.commit(nil)}
	}
	result, delta := s.decide(command)
	s.operators.add(Remembered{
		Operator: command.Operator,
		Request:  command.Request,
		Based:    command.Based,
		At:       s.stamp,
		Changes:  command.Changes,
		Result:   result,
	})
	return Applied{Result: result, Delta: delta}
}

// fault says what is wrong with the command itself. Such a command is not
// remembered, since it has no number to remember it by or is too large.
func (c Change) fault() string {
	switch {
	case c.Operator == "":
		return "empty operator"
	case c.Request == "":
		return "empty request number"
	case len(c.Operator) > MaxNameBytes || len(c.Request) > MaxNameBytes:
		return "operator or request number too long"
	case len(c.Changes) == 0:
		return "no changes"
	case len(c.Changes) > MaxSteps:
		return "too many changes at once"
	default:
		return ""
	}
}

func (s *State) decide(command Change) (Result, cataloger.Delta) {
	current := s.catalog.Revision
	if command.Based != AnyRevision {
		if command.Based > current {
			return Invalid{Reason: "based on a revision that does not exist"}, s.commit(nil)
		}
		if command.Based < s.operators.revision {
			return Conflict{Current: current}, s.commit(nil)
		}
	}
	for _, step := range command.Changes {
		if !forOperators(step) {
			return Invalid{Reason: "operators change classes, models and adapters only"}, s.commit(nil)
		}
	}
	if reason := checkAll(s.catalog, command.Changes); reason != "" {
		return Invalid{Reason: reason}, s.commit(nil)
	}
	delta := s.commit(command.Changes)
	return Accepted{Revision: delta.To}, delta
}

func forOperators(step cataloger.Change) bool {
	switch step.(type) {
	case cataloger.PutClass, cataloger.RemoveClass, cataloger.PutModel, cataloger.RemoveModel,
		cataloger.PutAdapter, cataloger.RemoveAdapter:
		return true
	default:
		return false
	}
}
