package relayer

import "strconv"

// InterruptedError reports an answer that was interrupted repeatedly without
// progress. Sent is the number of events sent to the caller.
type InterruptedError struct{ Sent uint64 }

// Error describes the failure.
func (e *InterruptedError) Error() string {
	return "the answer broke after event " + strconv.FormatUint(e.Sent, 10)
}

// NotContinuableError reports an interrupted answer that another engine cannot
// continue, because it is not a single text. Sent is the number of events sent to
// the caller.
type NotContinuableError struct{ Sent uint64 }

// Error describes the failure.
func (e *NotContinuableError) Error() string {
	return "the answer cannot be continued after event " + strconv.FormatUint(e.Sent, 10)
}

// UnknownStreamError reports that an engine does not know the stream to resume.
type UnknownStreamError struct{}

// Error describes the failure.
func (e *UnknownStreamError) Error() string { return "the engine does not know the stream" }

// LineTooLongError reports a line of a stream with more than Limit bytes.
type LineTooLongError struct{ Limit int }

// Error describes the failure.
func (e *LineTooLongError) Error() string {
	return "a line of the stream has more than " + strconv.Itoa(e.Limit) + " bytes"
}

// EventTooLongError reports an event of a stream with more than Limit bytes.
type EventTooLongError struct{ Limit int }

// Error describes the failure.
func (e *EventTooLongError) Error() string {
	return "an event of the stream has more than " + strconv.Itoa(e.Limit) + " bytes"
}

// CallerError reports that the answer could not be sent to the caller.
type CallerError struct{ Cause error }

// Error describes the failure.
func (e *CallerError) Error() string { return "the caller is gone: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CallerError) Unwrap() error { return e.Cause }
