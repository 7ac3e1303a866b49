package relayer

import "strconv"

// InterruptedError says that an answer broke again and again without progress.
type InterruptedError struct{ Sent uint64 }

// Error describes the failure.
func (e *InterruptedError) Error() string {
	return "the answer broke after event " + strconv.FormatUint(e.Sent, 10)
}

// NotContinuableError says that an answer broke which another engine cannot
// continue, because it is more than one text.
type NotContinuableError struct{ Sent uint64 }

// Error describes the failure.
func (e *NotContinuableError) Error() string {
	return "the answer cannot be continued after event " + strconv.FormatUint(e.Sent, 10)
}

// UnknownStreamError says that an engine does not know the stream to resume.
type UnknownStreamError struct{}

// Error describes the failure.
func (e *UnknownStreamError) Error() string { return "the engine does not know the stream" }

// LineTooLongError says that a line of a stream has more bytes than the limit.
type LineTooLongError struct{ Limit int }

// Error describes the failure.
func (e *LineTooLongError) Error() string {
	return "a line of the stream has more than " + strconv.Itoa(e.Limit) + " bytes"
}

// EventTooLongError says that an event of a stream has more bytes than the limit.
type EventTooLongError struct{ Limit int }

// Error describes the failure.
func (e *EventTooLongError) Error() string {
	return "an event of the stream has more than " + strconv.Itoa(e.Limit) + " bytes"
}

// CallerError says that the caller could not take the answer.
type CallerError struct{ Cause error }

// Error describes the failure.
func (e *CallerError) Error() string { return "the caller is gone: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CallerError) Unwrap() error { return e.Cause }
