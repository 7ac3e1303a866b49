package prover

// checkInForce finds ready entries that lack a change long after it was
// accepted.
func (h *history) checkInForce(limits Limits) []Violation {
	var found []Violation
	for _, accepted := range h.accepted {
		for _, seen := range h.revisions {
			if seen.At.Sub(accepted.At) > limits.InForce && seen.Revision < accepted.Revision {
				found = append(found, NotInForce{Accepted: accepted, Seen: seen})
			}
		}
	}
	return found
}

// checkReverts finds entries whose revision went back, also over restarts.
func (h *history) checkReverts() []Violation {
	var found []Violation
	last := map[string]Revision{}
	for _, seen := range h.revisions {
		before, known := last[seen.Entry]
		if known && seen.Revision < before.Revision {
			found = append(found, Reverted{Before: before, After: seen})
		}
		last[seen.Entry] = seen
	}
	return found
}

// checkAccepts finds two changes that won on one revision or took the same
// one, and resends that were accepted as new.
func (h *history) checkAccepts() []Violation {
	var found []Violation
	for i, second := range h.accepted {
		for _, first := range h.accepted[:i] {
			if clash(first, second) {
				found = append(found, DoublyAccepted{First: first, Second: second})
			}
		}
	}
	return found
}

// clash says whether two accepted changes exclude each other.
func clash(first, second Accepted) bool {
	resent := first.Operator == second.Operator && first.Request == second.Request
	if resent {
		return first.Revision != second.Revision
	}
	sameBase := first.Based == second.Based && first.Based != Unbased
	return sameBase || first.Revision == second.Revision
}
