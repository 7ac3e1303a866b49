package applier

import (
	"burdocklink/cataloger"
)

// applyChange applies an operator's change atomically. A resend returns the
// first result. A change whose base revision precedes the last operator's
// change conflicts.
//
// A change conflicts only with other operators' changes. Placements, upstreams
// and weights change continually without an operator; validateChanges finds a
// change that contradicts them.
func (s *State) applyChange(command Change) Applied {
	if reason := command.validate(); reason != "" {
		return Applied{Result: Invalid{Reason: reason}, Delta: s.commit(nil)}
	}
	if result, resent := s.journal.find(command); resent {
		return Applied{Result: result, Delta: s.commit(nil)}
	}
	result, delta := s.evaluate(command)
	s.journal.add(JournalEntry{
		Operator:     command.Operator,
		RequestID:    command.RequestID,
		BaseRevision: command.BaseRevision,
		At:           s.stamp,
		Changes:      command.Changes,
		Result:       result,
	})
	return Applied{Result: result, Delta: delta}
}

// validate returns why the command is malformed, or an empty string. A
// malformed command is not added to the journal, since it has no request ID to
// store it under or is too large.
func (c Change) validate() string {
	switch {
	case c.Operator == "":
		return "empty operator"
	case c.RequestID == "":
		return "empty request number"
	case len(c.Operator) > MaxNameBytes || len(c.RequestID) > MaxNameBytes:
		return "operator or request number too long"
	case len(c.Changes) == 0:
		return "no changes"
	case len(c.Changes) > MaxSteps:
		return "too many changes at once"
	default:
		return ""
	}
}

func (s *State) evaluate(command Change) (Result, cataloger.Delta) {
	current := s.catalog.Revision
	if command.BaseRevision != AnyRevision {
		if command.BaseRevision > current {
			return Invalid{Reason: "based on a revision that does not exist"}, s.commit(nil)
		}
		if command.BaseRevision < s.journal.revision {
			return Conflict{Current: current}, s.commit(nil)
		}
	}
	for _, step := range command.Changes {
		if !allowedForOperators(step) {
			return Invalid{Reason: "operators change classes, models and adapters only"}, s.commit(nil)
		}
	}
	if reason := validateChanges(s.catalog, command.Changes); reason != "" {
		return Invalid{Reason: reason}, s.commit(nil)
	}
	delta := s.commit(command.Changes)
	return Accepted{Revision: delta.To}, delta
}

func allowedForOperators(step cataloger.Change) bool {
	switch step.(type) {
	case cataloger.PutClass, cataloger.RemoveClass, cataloger.PutModel, cataloger.RemoveModel,
		cataloger.PutAdapter, cataloger.RemoveAdapter:
		return true
	default:
		return false
	}
}
