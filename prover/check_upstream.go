package prover

import (
	"slices"
	"time"
)

// checkMemory finds memory use beyond what an upstream has.
func (h *history) checkMemory() []Violation {
	var found []Violation
	for _, sample := range h.memory {
		if sample.UsedBytes > sample.MemoryBytes {
			found = append(found, MemoryOvercommitted{Memory: sample})
		}
	}
	return found
}

// checkCopies finds names that were reachable and then were not, unless their
// upstream was lost and they came back in time.
func (h *history) checkCopies(limits Limits) []Violation {
	var found []Violation
	had := map[string]bool{}
	for _, sample := range h.copies {
		if sample.Count > 0 {
			had[sample.Name] = true
			continue
		}
		if !had[sample.Name] {
			continue
		}
		if reason := h.unreachableReason(sample, limits.Restore); reason != "" {
			found = append(found, Unreachable{Copies: sample, Reason: reason})
		}
	}
	return found
}

// unreachableReason says what is wrong with a sample without copies, or nothing.
func (h *history) unreachableReason(sample Copies, restore time.Duration) string {
	reason := "never lost with an upstream"
	for _, lost := range h.lost {
		if lost.At.After(sample.At) || !slices.Contains(lost.Held, sample.Name) {
			continue
		}
		if sample.At.Sub(lost.At) <= restore {
			return ""
		}
		reason = "not restored in time"
	}
	return reason
}

// checkLeaving finds runs that began long after the upstream said it leaves.
func (h *history) checkLeaving(limits Limits) []Violation {
	var found []Violation
	for _, leaving := range h.leaving {
		for _, run := range h.runs {
			same := run.Upstream == leaving.Upstream && run.Incarnation == leaving.Incarnation
			if same && run.At.Sub(leaving.At) > limits.Leave {
				found = append(found, LateDispatch{Leaving: leaving, Ran: run})
			}
		}
	}
	return found
}
