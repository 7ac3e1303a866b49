package prover

import "strings"

// checkAnswers finds answers that belong to another request, and truncated
// answers that look complete.
func (h *history) checkAnswers() []Violation {
	var found []Violation
	for _, answer := range h.answers {
		if answer.Refused {
			continue
		}
		switch {
		case !strings.HasPrefix(answer.Want, answer.Text):
			found = append(found, WrongAnswer{Answer: answer, Reason: "not the request's own"})
		case answer.Complete && answer.Text != answer.Want:
			found = append(found, WrongAnswer{Answer: answer, Reason: "not whole"})
		}
	}
	return found
}

// checkOutcomes finds outcomes that contradict the runs: "not-run" for a request
// that ran, or whose key ran before the answer ended, and "ran" for one that did
// not run.
func (h *history) checkOutcomes() []Violation {
	var found []Violation
	for _, answer := range h.answers {
		runs := h.relatedRuns(answer)
		switch {
		case answer.Outcome == OutcomeNotRun && len(runs) > 0:
			found = append(found, FalseOutcome{Answer: answer, Runs: runs})
		case answer.Outcome == OutcomeRan && len(runs) == 0:
			found = append(found, FalseOutcome{Answer: answer})
		}
	}
	return found
}

// relatedRuns returns the runs that an answer's outcome refers to: those of its
// request, and those with its idempotency key before the answer ended.
func (h *history) relatedRuns(answer Answer) []Run {
	var runs []Run
	for _, run := range h.runs {
		sameKey := answer.Key != "" && run.Key == answer.Key && run.Subscriber == answer.Subscriber
		if run.Request == answer.Request || sameKey && run.At.Before(answer.Ended) {
			runs = append(runs, run)
		}
	}
	return runs
}

// runKey identifies a request that must not run twice: by subscriber and
// idempotency key, or by request ID when it has no key.
type runKey struct{ subscriber, key, request string }

// checkRepeats finds non-repeatable requests that ran more than once.
func (h *history) checkRepeats() []Violation {
	runs := map[runKey][]Run{}
	var order []runKey
	for _, run := range h.runs {
		if !run.RepeatForbidden {
			continue
		}
		key := runKey{subscriber: run.Subscriber, key: run.Key}
		if run.Key == "" {
			key = runKey{request: run.Request}
		}
		if len(runs[key]) == 0 {
			order = append(order, key)
		}
		runs[key] = append(runs[key], run)
	}
	var found []Violation
	for _, key := range order {
		if len(runs[key]) > 1 {
			found = append(found, RepeatedRun{Runs: runs[key]})
		}
	}
	return found
}

// checkShutdowns finds requests that were in flight at an entry when it was
// asked to stop and were then neither completed nor refused.
func (h *history) checkShutdowns() []Violation {
	var found []Violation
	for _, shutdown := range h.shutdowns {
		for _, answer := range h.answers {
			inFlight := answer.Entry == shutdown.Entry &&
				answer.Sent.Before(shutdown.At) &&
				answer.Ended.After(shutdown.At)
			if inFlight && !answer.Complete && !answer.Refused {
				found = append(found, CutByShutdown{Shutdown: shutdown, Answer: answer})
			}
		}
	}
	return found
}
