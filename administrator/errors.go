package administrator

import (
	"strconv"

	"burdocklink/linker"
)

// ConflictError reports that the change is not based on the current revision.
type ConflictError struct {
	// Current is the current revision.
	Current uint64
}

// Error describes the conflict and what to do next.
func (e *ConflictError) Error() string {
	return "another change came first; look at revision " + strconv.FormatUint(e.Current, 10) + " and try again"
}

// InvalidError reports that the change is invalid.
type InvalidError struct{ Reason string }

// Error gives the reason.
func (e *InvalidError) Error() string { return "refused: " + e.Reason }

// RefusedError reports that the members refuse the operator's calls.
type RefusedError struct{ Cause error }

// Error describes the refusal.
func (e *RefusedError) Error() string {
	return "refused; check --key and the certificates: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

// NoAnswerError reports that no leader answered in time. A change may or may not
// have been accepted; it is safe to retry it under the same request ID.
type NoAnswerError struct{ Cause error }

// Error describes the failure and what to do next.
func (e *NoAnswerError) Error() string {
	text := "no leading control member answered; the same request may be sent again"
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the last error of a call, which may be nil.
func (e *NoAnswerError) Unwrap() error { return e.Cause }

// finalError returns a *RefusedError for errors that persist with other members and
// retries, and nil for all others.
func finalError(err error) error {
	if linker.IsFinal(err) {
		return &RefusedError{Cause: err}
	}
	return nil
}
