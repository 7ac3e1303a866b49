package prover

// checkInForce finds ready entries that still lack a change limits.InForce after
// it was accepted.
func (h *history) checkInForce(limits Limits) []Violation {
	var found []Violation
	for _, accepted := range h.accepted {
		for _, seen := range h.revisions {
			late := seen.At.Sub(accepted.At) > limits.InForce
			if late && seen.Lacks > 0 && seen.Lacks <= accepted.Revision {
				found = append(found, NotInForce{Accepted: accepted, Seen: seen})
			}
		}
	}
	return found
}

// checkReverts finds entries that lack a change that they had in force before,
// including across restarts.
func (h *history) checkReverts() []Violation {
	var found []Violation
	highest := map[string]Revision{}
	for _, seen := range h.revisions {
		before := highest[seen.Entry]
		if seen.Lacks > 0 && seen.Lacks <= before.Revision {
			found = append(found, Reverted{Before: before, After: seen})
		}
		if seen.Revision > before.Revision {
			highest[seen.Entry] = seen
		}
	}
	return found
}

// checkAccepts finds changes that were accepted on the same base revision or as
// the same revision, and resent changes that were accepted as new ones.
func (h *history) checkAccepts() []Violation {
	var found []Violation
	for i, second := range h.accepted {
		for _, first := range h.accepted[:i] {
			if conflict(first, second) {
				found = append(found, DoublyAccepted{First: first, Second: second})
			}
		}
	}
	return found
}

// conflict reports whether two accepted changes exclude each other.
func conflict(first, second Accepted) bool {
	resent := first.Operator == second.Operator && first.Request == second.Request
	if resent {
		return first.Revision != second.Revision
	}
	sameBase := first.Based == second.Based && first.Based != Unbased
	return sameBase || first.Revision == second.Revision
}
