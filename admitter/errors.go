package admitter

import "time"

// TargetMissedError reports that a request was refused because it could no longer
// meet its target. It was not run.
type TargetMissedError struct {
	// RetryAt is the earliest useful time for another attempt.
	RetryAt time.Time
}

// Error implements error.
func (e *TargetMissedError) Error() string { return "target can no longer be met" }

// OverloadError reports that a request was refused because the queue is full. It
// was not run.
type OverloadError struct {
	// RetryAt is the earliest useful time for another attempt.
	RetryAt time.Time
}

// Error implements error.
func (e *OverloadError) Error() string { return "queue is full" }

// RetryBudgetError reports that the retry budget is spent.
type RetryBudgetError struct{}

// Error implements error.
func (e *RetryBudgetError) Error() string { return "retry budget is spent" }

// StoppedError reports that the admitter has stopped. The request was not run.
type StoppedError struct{}

// Error implements error.
func (e *StoppedError) Error() string { return "admitter has stopped" }
