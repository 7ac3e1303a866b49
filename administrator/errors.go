package administrator

import (
	"strconv"

	"burdocklink/linker"
)

// ConflictError says that another change came first.
type ConflictError struct {
	// Current is the revision to look at before a new try.
	Current uint64
}

// Error says what to do next.
func (e *ConflictError) Error() string {
	return "another change came first; look at revision " + strconv.FormatUint(e.Current, 10) + " and try again"
}

// InvalidError says why the change can't be accepted.
type InvalidError struct{ Reason string }

// Error gives the reason.
func (e *InvalidError) Error() string { return "refused: " + e.Reason }

// RefusedError says that the members do not take the operator's call.
type RefusedError struct{ Cause error }

// Error describes the refusal.
func (e *RefusedError) Error() string {
	return "refused; check --key and the certificates: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

// NoAnswerError says that no leading member answered in time. A change may or
// may not be accepted; the same request number may be sent again.
type NoAnswerError struct{ Cause error }

// Error says what to do next.
func (e *NoAnswerError) Error() string {
	text := "no leading control member answered; the same request may be sent again"
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the last member's failure, which may be nil.
func (e *NoAnswerError) Unwrap() error { return e.Cause }

// finalError returns a *RefusedError for failures that another member or a repeat
// can't mend, else nil.
func finalError(err error) error {
	if linker.IsFinal(err) {
		return &RefusedError{Cause: err}
	}
	return nil
}
