package proposer

// UnconfirmedError says that the outcome of a proposal was not learned.
type UnconfirmedError struct{ Cause error }

// Error describes the uncertainty.
func (e *UnconfirmedError) Error() string { return "no control member confirmed the command in time" }

// Unwrap returns the last member's failure, which may be nil.
func (e *UnconfirmedError) Unwrap() error { return e.Cause }

// RefusedError says that a member refused the command for good.
type RefusedError struct{ Cause error }

// Error describes the refusal.
func (e *RefusedError) Error() string { return "refused: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

// UnexpectedResultError says that a member answered with a result of another command.
type UnexpectedResultError struct{}

// Error describes the answer.
func (e *UnexpectedResultError) Error() string { return "the answer belongs to another command" }
