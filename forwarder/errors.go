package forwarder

import (
	"net/http"
	"strconv"
	"time"
)

// MalformedError says that a request lacks a header field, or that it can't be
// read.
type MalformedError struct{ Field string }

// Error names the field.
func (e *MalformedError) Error() string { return "header field " + e.Field + " is missing or unusable" }

// NoRouteError says that the configuration has no route for a request.
type NoRouteError struct{}

// Error describes the miss.
func (e *NoRouteError) Error() string { return "no route matches" }

// NoConfigurationError says that the process knows no configuration yet.
type NoConfigurationError struct{}

// Error describes the state.
func (e *NoConfigurationError) Error() string { return "no configuration is in force yet" }

// BodyTooLargeError says that a request's body exceeds the limit.
type BodyTooLargeError struct{ Limit int64 }

// Error describes the excess.
func (e *BodyTooLargeError) Error() string {
	return "the body has more than " + strconv.FormatInt(e.Limit, 10) + " bytes"
}

// BodyError says that a request's body could not be read.
type BodyError struct{ Cause error }

// Error describes the failure.
func (e *BodyError) Error() string { return "the body can't be read: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error { return e.Cause }

// NotRunError says that no upstream ran the request, though it was sent.
type NotRunError struct {
	// RetryAt is when a new try makes sense.
	RetryAt time.Time
}

// Error describes the outcome.
func (e *NotRunError) Error() string { return "no upstream ran the request" }

// LostError says that the request may have run and that its answer is lost.
type LostError struct{ Cause error }

// Error describes the loss.
func (e *LostError) Error() string { return "the answer is lost: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// TimeoutError says that the time for an answer is over.
type TimeoutError struct{}

// Error describes the end.
func (e *TimeoutError) Error() string { return "the time for an answer is over" }

// WrongAnswerError says that an answer belongs to another request.
type WrongAnswerError struct{ RequestID string }

// Error names the request.
func (e *WrongAnswerError) Error() string { return "the answer belongs to request " + e.RequestID }

// BrokenStreamError says that a stream ended before its end.
type BrokenStreamError struct{ Cause error }

// Error describes the break.
func (e *BrokenStreamError) Error() string { return "the stream broke: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BrokenStreamError) Unwrap() error { return e.Cause }

// PartialEventError says that a stream ended in the middle of an event.
type PartialEventError struct{}

// Error describes the end.
func (e *PartialEventError) Error() string { return "the stream ended in the middle of an event" }

// EventOrderError says that an event is not the one after the last.
type EventOrderError struct{ Want, Got uint64 }

// Error names the events.
func (e *EventOrderError) Error() string {
	return "event " + strconv.FormatUint(e.Got, 10) + " came in place of " + strconv.FormatUint(e.Want, 10)
}

// StatusError carries a failure that an upstream gave as its answer.
type StatusError struct{ Status int }

// Error names the status.
func (e *StatusError) Error() string { return "the upstream answered " + strconv.Itoa(e.Status) }

// statuses that keep a promise: the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable,
		http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}
