package prover

import (
	"slices"
	"time"
)

// checkMemory finds upstreams that used more memory than they have.
func (h *history) checkMemory() []Violation {
	var found []Violation
	for _, sample := range h.memory {
		if sample.UsedBytes > sample.MemoryBytes {
			found = append(found, MemoryOvercommitted{Memory: sample})
		}
	}
	return found
}

// checkCopies finds models and adapters that became unavailable, except for up
// to limits.Restore after the loss of an upstream that held them.
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

// unreachableReason returns why a sample without copies is a violation, or ""
// if it isn't.
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

// checkLeaving finds runs that began more than limits.Leave after the upstream
// announced that it leaves.
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
