package receiver

import (
	"errors"
	"net/http"
	"os"
	"strconv"
	"time"

	"burdocklink/authenticator"
	"burdocklink/budgeter"
)

// ShutdownError reports that requests in flight were cut at the shutdown deadline.
type ShutdownError struct{ Cause error }

// Error describes the failure.
func (e *ShutdownError) Error() string {
	return "requests were cut at the deadline: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ShutdownError) Unwrap() error { return e.Cause }

// DrainingError reports that the entry is shutting down.
type DrainingError struct{}

// Error describes the state.
func (e *DrainingError) Error() string { return "the entry is stopping" }

// NoCatalogError reports that no catalog is in force yet.
type NoCatalogError struct{}

// Error describes the state.
func (e *NoCatalogError) Error() string { return "no configuration is in force yet" }

// NotReadyError reports that the entry currently accepts no requests.
type NotReadyError struct{ Cause error }

// Error describes the refusal.
func (e *NotReadyError) Error() string { return "not ready: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotReadyError) Unwrap() error { return e.Cause }

// WrongRoleError reports that a known key does not have the required role.
type WrongRoleError struct{ Required authenticator.Role }

// Error describes the refusal.
func (e *WrongRoleError) Error() string { return "a key of a " + e.Required.String() + " is needed" }

// UnknownPathError reports that the API has no such path.
type UnknownPathError struct{ Path string }

// Error describes the refusal.
func (e *UnknownPathError) Error() string { return "no such path: " + strconv.Quote(e.Path) }

// MethodNotAllowedError reports that a path does not allow a method.
type MethodNotAllowedError struct{ Method string }

// Error describes the refusal.
func (e *MethodNotAllowedError) Error() string { return "the path does not take " + e.Method }

// UnknownClassError reports that there is no class with the name.
type UnknownClassError struct{ Name string }

// Error describes the refusal.
func (e *UnknownClassError) Error() string { return "no such class: " + strconv.Quote(e.Name) }

// UnknownModelError reports that there is no model or adapter with the name.
type UnknownModelError struct{ Name string }

// Error describes the refusal.
func (e *UnknownModelError) Error() string { return "no such model: " + strconv.Quote(e.Name) }

// UnknownServiceError reports that there is no service with the name.
type UnknownServiceError struct{ Name string }

// Error describes the refusal.
func (e *UnknownServiceError) Error() string { return "no such service: " + strconv.Quote(e.Name) }

// MalformedHeaderError reports that a header field does not have the expected form.
type MalformedHeaderError struct{ Name, Expected string }

// Error describes the refusal.
func (e *MalformedHeaderError) Error() string { return "header " + e.Name + " needs " + e.Expected }

// BodyTooLargeError reports that a request body has more bytes than the limit.
type BodyTooLargeError struct{ Limit int64 }

// Error describes the refusal.
func (e *BodyTooLargeError) Error() string {
	return "the body has more than " + strconv.FormatInt(e.Limit, 10) + " bytes"
}

// BodyTimeoutError reports that a request body did not arrive in time.
type BodyTimeoutError struct{}

// Error describes the refusal.
func (e *BodyTimeoutError) Error() string { return "the body did not arrive in time" }

// BodyMemoryError reports that there is no memory for a request body, or that it arrived too
// slowly while others needed the memory.
type BodyMemoryError struct {
	Cause   error
	RetryAt time.Time
}

// Error describes the refusal.
func (e *BodyMemoryError) Error() string { return "the body was not read: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BodyMemoryError) Unwrap() error { return e.Cause }

// DeadlinePassedError reports that the request's deadline has passed.
type DeadlinePassedError struct{}

// Error describes the refusal.
func (e *DeadlinePassedError) Error() string { return "the deadline has passed" }

// StreamNotPossibleError reports that a stream was requested in a class that forbids
// repeats.
type StreamNotPossibleError struct{ Class string }

// Error describes the refusal.
func (e *StreamNotPossibleError) Error() string {
	return "class " + strconv.Quote(e.Class) + " forbids repeats and takes no streams"
}

// ClaimsUnreachableError reports that a claim could not be confirmed.
type ClaimsUnreachableError struct{ Cause error }

// Error describes the refusal.
func (e *ClaimsUnreachableError) Error() string {
	return "the claim could not be confirmed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ClaimsUnreachableError) Unwrap() error { return e.Cause }

// KeyMismatchError reports that an idempotency key was used for another request.
type KeyMismatchError struct{}

// Error describes the refusal.
func (e *KeyMismatchError) Error() string { return "the idempotency key belongs to another request" }

// InProgressError reports that an earlier attempt has not ended yet.
type InProgressError struct{ RetryAt time.Time }

// Error describes the refusal.
func (e *InProgressError) Error() string { return "an earlier attempt has not ended yet" }

// OutcomeUnknownError reports that the request may or may not have run and will not
// be run again.
type OutcomeUnknownError struct{ Cause error }

// Error describes the state.
func (e *OutcomeUnknownError) Error() string {
	if e.Cause == nil {
		return "an earlier attempt may or may not have run"
	}
	return "the request may or may not have run: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// AnswerDroppedError reports that the request ran and that its answer is not stored.
type AnswerDroppedError struct{}

// Error describes the state.
func (e *AnswerDroppedError) Error() string { return "the request ran, its answer is no longer kept" }

// TooOldError reports that the request was issued before Horizon. Claims of such
// requests may have been dropped.
type TooOldError struct{ Horizon time.Time }

// Error describes the refusal.
func (e *TooOldError) Error() string {
	return "requests issued before " + e.Horizon.Format(time.RFC3339) + " are no longer remembered"
}

// UpstreamRefusedError reports that an upstream refused the request and stated that
// it did not run it.
type UpstreamRefusedError struct{ Status int }

// Error describes the refusal.
func (e *UpstreamRefusedError) Error() string {
	return "the upstream refused the request with status " + strconv.Itoa(e.Status)
}

// UpstreamStatusError reports that an upstream answered with a status that is not
// passed on to the caller.
type UpstreamStatusError struct{ Status int }

// Error describes the failure.
func (e *UpstreamStatusError) Error() string {
	return "the upstream answered with status " + strconv.Itoa(e.Status)
}

// callerGoneError reports that the caller disconnected or stopped reading.
type callerGoneError struct{ Cause error }

func (e *callerGoneError) Error() string { return "the caller is gone: " + e.Cause.Error() }

func (e *callerGoneError) Unwrap() error { return e.Cause }

// bodyError returns the typed error for a failure to read a request body.
func bodyError(err error, limit int64) error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return &BodyTooLargeError{Limit: limit}
	}
	var full *budgeter.FullError
	var evicted *budgeter.EvictedError
	if errors.As(err, &full) || errors.As(err, &evicted) {
		return &BodyMemoryError{Cause: err, RetryAt: time.Now().Add(shortRetryDelay)}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &BodyTimeoutError{}
	}
	return &callerGoneError{Cause: err}
}

// ClaimsFullError reports that the claim table is full. The request was not
// dispatched.
type ClaimsFullError struct{ RetryAt time.Time }

// Error describes the refusal.
func (e *ClaimsFullError) Error() string { return "too many requests are remembered at present" }
