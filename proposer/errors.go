package proposer

// UnconfirmedError reports that the outcome of a proposal is unknown. The
// command may or may not be committed.
type UnconfirmedError struct{ Cause error }

// Error describes the uncertainty.
func (e *UnconfirmedError) Error() string { return "no control member confirmed the command in time" }

// Unwrap returns the error of the last attempt, which may be nil.
func (e *UnconfirmedError) Unwrap() error { return e.Cause }

// RefusedError reports that a member refused the command permanently.
type RefusedError struct{ Cause error }

// Error describes the refusal.
func (e *RefusedError) Error() string { return "refused: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

// UnexpectedResultError reports a reply with the result of another kind of
// command.
type UnexpectedResultError struct{}

// Error describes the result.
func (e *UnexpectedResultError) Error() string { return "the answer belongs to another command" }
