package forwarder

import (
	"net/http"
	"strconv"
	"time"
)

// MalformedError is returned if a header field of a request is missing or can't be
// parsed.
type MalformedError struct{ Field string }

// Error returns the field.
func (e *MalformedError) Error() string { return "header field " + e.Field + " is missing or unusable" }

// NoRouteError is returned if no route of the configuration matches a request.
type NoRouteError struct{}

// Error implements error.
func (e *NoRouteError) Error() string { return "no route matches" }

// NoConfigurationError is returned until the process has received a configuration.
type NoConfigurationError struct{}

// Error implements error.
func (e *NoConfigurationError) Error() string { return "no configuration is in force yet" }

// BodyTooLargeError is returned if a body exceeds Limit, in bytes.
type BodyTooLargeError struct{ Limit int64 }

// Error returns the limit.
func (e *BodyTooLargeError) Error() string {
	return "the body has more than " + strconv.FormatInt(e.Limit, 10) + " bytes"
}

// BodyError is returned if the body of a request can't be read.
type BodyError struct{ Cause error }

// Error returns the cause.
func (e *BodyError) Error() string { return "the body can't be read: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error { return e.Cause }

// NotRunError is returned if a request was sent but no upstream ran it.
type NotRunError struct {
	// RetryAt is the earliest useful time for a retry.
	RetryAt time.Time
}

// Error implements error.
func (e *NotRunError) Error() string { return "no upstream ran the request" }

// LostError is returned if a request may have run but its answer was not received.
type LostError struct{ Cause error }

// Error returns the cause.
func (e *LostError) Error() string { return "the answer is lost: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// TimeoutError is returned if the deadline of a request has passed.
type TimeoutError struct{}

// Error implements error.
func (e *TimeoutError) Error() string { return "the time for an answer is over" }

// WrongAnswerError is returned if an answer belongs to another request.
type WrongAnswerError struct{ RequestID string }

// Error returns the ID of the other request.
func (e *WrongAnswerError) Error() string { return "the answer belongs to request " + e.RequestID }

// BrokenStreamError is returned if a stream failed before it was complete.
type BrokenStreamError struct{ Cause error }

// Error returns the cause.
func (e *BrokenStreamError) Error() string { return "the stream broke: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BrokenStreamError) Unwrap() error { return e.Cause }

// PartialEventError is returned if a stream ended in the middle of an event.
type PartialEventError struct{}

// Error implements error.
func (e *PartialEventError) Error() string { return "the stream ended in the middle of an event" }

// IncarnationError is returned if another incarnation of an upstream answers than the one
// that was chosen.
type IncarnationError struct{ Want, Got string }

// Error returns both incarnations.
func (e *IncarnationError) Error() string { return e.Got + " answers in place of " + e.Want }

// EmptyStreamError is returned if a connection ended after the header of a stream, and
// nothing shows that the stream was complete.
type EmptyStreamError struct{}

// Error implements error.
func (e *EmptyStreamError) Error() string { return "the connection ended before the first event" }

// EventOrderError is returned if the ID of an event does not follow the previous one.
type EventOrderError struct{ Want, Got uint64 }

// Error returns both event IDs.
func (e *EventOrderError) Error() string {
	return "event " + strconv.FormatUint(e.Got, 10) + " came in place of " + strconv.FormatUint(e.Want, 10)
}

// UnnumberedEventError is returned if something without an ID has no known place in a stream that
// goes on after an event, such as the text of an error.
type UnnumberedEventError struct{ After uint64 }

// Error returns the ID of the event before.
func (e *UnnumberedEventError) Error() string {
	return "event without an ID came in a stream that goes on after event " + strconv.FormatUint(e.After, 10)
}

// StatusError is returned if an upstream answered with an unusable status.
type StatusError struct{ Status int }

// Error returns the status.
func (e *StatusError) Error() string { return "the upstream answered " + strconv.Itoa(e.Status) }

// promisesNotRun reports whether the status tells a caller that the request has not
// run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable,
		http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}
