package admitter

import "time"

// TargetMissedError says that a request could no longer meet its target and was
// given up on. It was not run.
type TargetMissedError struct {
	// RetryAt is when a new try makes sense.
	RetryAt time.Time
}

// Error describes the refusal.
func (e *TargetMissedError) Error() string { return "target can no longer be met" }

// OverloadError says that the queue is full and that the request had to give
// way. It was not run.
type OverloadError struct {
	// RetryAt is when a new try makes sense.
	RetryAt time.Time
}

// Error describes the refusal.
func (e *OverloadError) Error() string { return "queue is full" }

// RetryBudgetError says that no retry is left in the budget.
type RetryBudgetError struct{}

// Error describes the refusal.
func (e *RetryBudgetError) Error() string { return "retry budget is spent" }

// StoppedError says that the admitter has stopped. The request was not run.
type StoppedError struct{}

// Error describes the refusal.
func (e *StoppedError) Error() string { return "admitter has stopped" }
