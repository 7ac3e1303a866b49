package receiver

import (
	"errors"
	"net/http"
	"os"
	"strconv"
	"time"

	"burdocklink/authenticator"
)

// ShutdownError says that requests in flight were cut at the deadline of a stop.
type ShutdownError struct{ Cause error }

// Error describes the failure.
func (e *ShutdownError) Error() string {
	return "requests were cut at the deadline: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ShutdownError) Unwrap() error { return e.Cause }

// DrainingError says that the process is about to stop.
type DrainingError struct{}

// Error describes the state.
func (e *DrainingError) Error() string { return "the entry is stopping" }

// NoCatalogError says that no catalog is in force yet.
type NoCatalogError struct{}

// Error describes the state.
func (e *NoCatalogError) Error() string { return "no configuration is in force yet" }

// NotReadyError says that the entry takes no requests for now.
type NotReadyError struct{ Cause error }

// Error describes the refusal.
func (e *NotReadyError) Error() string { return "not ready: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotReadyError) Unwrap() error { return e.Cause }

// WrongRoleError says that a key is known and may not do what it is used for.
type WrongRoleError struct{ Required authenticator.Role }

// Error describes the refusal.
func (e *WrongRoleError) Error() string { return "a key of a " + e.Required.String() + " is needed" }

// UnknownPathError says that the API has no such path.
type UnknownPathError struct{ Path string }

// Error describes the refusal.
func (e *UnknownPathError) Error() string { return "no such path: " + strconv.Quote(e.Path) }

// MethodNotAllowedError says that a path does not take a method.
type MethodNotAllowedError struct{ Method string }

// Error describes the refusal.
func (e *MethodNotAllowedError) Error() string { return "the path does not take " + e.Method }

// UnknownClassError says that no class has the name.
type UnknownClassError struct{ Name string }

// Error describes the refusal.
func (e *UnknownClassError) Error() string { return "no such class: " + strconv.Quote(e.Name) }

// UnknownModelError says that no model or adapter has the name.
type UnknownModelError struct{ Name string }

// Error describes the refusal.
func (e *UnknownModelError) Error() string { return "no such model: " + strconv.Quote(e.Name) }

// UnknownServiceError says that no service has the name.
type UnknownServiceError struct{ Name string }

// Error describes the refusal.
func (e *UnknownServiceError) Error() string { return "no such service: " + strconv.Quote(e.Name) }

// MalformedHeaderError says what a header field needs.
type MalformedHeaderError struct{ Name, Expected string }

// Error describes the refusal.
func (e *MalformedHeaderError) Error() string { return "header " + e.Name + " needs " + e.Expected }

// BodyTooLargeError says that a request body has more bytes than the limit.
type BodyTooLargeError struct{ Limit int64 }

// Error describes the refusal.
func (e *BodyTooLargeError) Error() string {
	return "the body has more than " + strconv.FormatInt(e.Limit, 10) + " bytes"
}

// BodyTimeoutError says that a request body did not arrive in time.
type BodyTimeoutError struct{}

// Error describes the refusal.
func (e *BodyTimeoutError) Error() string { return "the body did not arrive in time" }

// DeadlinePassedError says that the request's deadline is over.
type DeadlinePassedError struct{}

// Error describes the refusal.
func (e *DeadlinePassedError) Error() string { return "the deadline has passed" }

// StreamNotPossibleError says that a class without repeats takes no streams.
type StreamNotPossibleError struct{ Class string }

// Error describes the refusal.
func (e *StreamNotPossibleError) Error() string {
	return "class " + strconv.Quote(e.Class) + " forbids repeats and takes no streams"
}

// ClaimsUnreachableError says that a claim could not be confirmed.
type ClaimsUnreachableError struct{ Cause error }

// Error describes the refusal.
func (e *ClaimsUnreachableError) Error() string {
	return "the claim could not be confirmed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ClaimsUnreachableError) Unwrap() error { return e.Cause }

// KeyMismatchError says that an idempotency key was used for another request.
type KeyMismatchError struct{}

// Error describes the refusal.
func (e *KeyMismatchError) Error() string { return "the idempotency key belongs to another request" }

// InProgressError says that an earlier attempt has not ended yet.
type InProgressError struct{ RetryAt time.Time }

// Error describes the refusal.
func (e *InProgressError) Error() string { return "an earlier attempt has not ended yet" }

// OutcomeUnknownError says that the request may or may not have run and will
// not be run again.
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

// AnswerDroppedError says that the request ran and its answer is not kept.
type AnswerDroppedError struct{}

// Error describes the state.
func (e *AnswerDroppedError) Error() string { return "the request ran, its answer is no longer kept" }

// TooOldError says that the request was issued before the time that claims
// are remembered.
type TooOldError struct{ Horizon time.Time }

// Error describes the refusal.
func (e *TooOldError) Error() string {
	return "requests issued before " + e.Horizon.Format(time.RFC3339) + " are no longer remembered"
}

// UpstreamRefusedError says that an upstream promised not to have run the request.
type UpstreamRefusedError struct{ Status int }

// Error describes the refusal.
func (e *UpstreamRefusedError) Error() string {
	return "the upstream refused the request with status " + strconv.Itoa(e.Status)
}

// UpstreamStatusError says that an engine did not take a request.
type UpstreamStatusError struct{ Status int }

// Error describes the failure.
func (e *UpstreamStatusError) Error() string {
	return "the upstream answered with status " + strconv.Itoa(e.Status)
}

// callerGoneError says that the caller cannot take an answer any more.
type callerGoneError struct{ Cause error }

func (e *callerGoneError) Error() string { return "the caller is gone: " + e.Cause.Error() }

func (e *callerGoneError) Unwrap() error { return e.Cause }

// bodyError names why a body could not be read.
func bodyError(err error, limit int64) error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return &BodyTooLargeError{Limit: limit}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &BodyTimeoutError{}
	}
	return &callerGoneError{Cause: err}
}

// ClaimsFullError says that no more claims can be kept at present. The request
// was not dispatched.
type ClaimsFullError struct{ RetryAt time.Time }

// Error describes the refusal.
func (e *ClaimsFullError) Error() string { return "too many requests are remembered at present" }
