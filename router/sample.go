package router

import (
	"time"

	"burdocklink/estimator"
)

// Outcome is how a dispatched request ended.
type Outcome int

const (
	// OutcomeFinished means that the whole answer arrived.
	OutcomeFinished Outcome = iota + 1
	// OutcomeFailed means that the upstream answered with a failure or broke off.
	OutcomeFailed
	// OutcomeUnreachable means that no connection could be made, or that a new one
	// showed no sign of life.
	OutcomeUnreachable
	// OutcomeRefused means that the upstream refused the request without running it.
	OutcomeRefused
	// OutcomeCancelled means that the caller gave up.
	OutcomeCancelled
)

// Sample holds the measurements of one dispatched request.
type Sample struct {
	Started time.Time
	// FirstToken is zero if there was none.
	FirstToken time.Time
	Ended      time.Time
	// Size is the request's size for the estimator.
	Size estimator.RequestSize
	// BaseModel is the base model that the request was for.
	BaseModel string
	// AnswerTokens is the length of the answer.
	AnswerTokens int
	Outcome      Outcome
	// FirstTokenTarget and BetweenTokensTarget are the targets of the request's class;
	// zero for none.
	FirstTokenTarget    time.Duration
	BetweenTokensTarget time.Duration
}

// TimeBetweenTokens returns the mean time between two tokens; zero if unknown.
func (s Sample) TimeBetweenTokens() time.Duration {
	if s.FirstToken.IsZero() || s.AnswerTokens < 2 {
		return 0
	}
	return s.Ended.Sub(s.FirstToken) / time.Duration(s.AnswerTokens-1)
}
