package dispatcher

import (
	"errors"
	"net"
	"strconv"
)

// NotSentError reports that no byte of the call was written.
type NotSentError struct {
	Address string
	Cause   error
}

// Error describes the failure.
func (e *NotSentError) Error() string {
	return "call to " + e.Address + " was not sent: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// DisallowedError reports that a call was no longer allowed once it had a connection.
type DisallowedError struct{}

// Error describes the failure.
func (e *DisallowedError) Error() string { return "the call is not allowed any more" }

// InterruptedError reports that the call was sent, at least in part, and has no
// complete answer. It may have run.
type InterruptedError struct {
	Address string
	Cause   error
}

// Error describes the failure.
func (e *InterruptedError) Error() string {
	return "call to " + e.Address + " was interrupted: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *InterruptedError) Unwrap() error { return e.Cause }

// ResetError reports that a connection failed while a call was written, so that the end of
// what arrived on it is not the end of the answer.
type ResetError struct{ Cause error }

// Error describes the failure.
func (e *ResetError) Error() string {
	return "the connection failed while the call was written: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ResetError) Unwrap() error { return e.Cause }

// StalledError reports that a connection made no progress for too long.
type StalledError struct{}

// Error describes the failure.
func (e *StalledError) Error() string { return "the connection went silent" }

// InvalidStatusError reports an answer with a status that HTTP does not define, or that no call
// allows.
type InvalidStatusError struct{ Status int }

// Error describes the failure.
func (e *InvalidStatusError) Error() string {
	return "the answer has the invalid status " + strconv.Itoa(e.Status)
}

// InvalidVersionError reports an answer of another version of HTTP than that of the call.
type InvalidVersionError struct{ Version string }

// Error describes the failure.
func (e *InvalidVersionError) Error() string {
	return "the answer has the invalid version " + strconv.Quote(e.Version)
}

// InvalidFieldError reports a field in the head of an answer whose name is not a token. Such a
// field may be the one that delimits the body.
type InvalidFieldError struct {
	// Name is the name up to its first invalid byte.
	Name string
}

// Error describes the failure.
func (e *InvalidFieldError) Error() string {
	return "the answer has a field with an invalid name: " + strconv.Quote(e.Name)
}

// AnswerTooLargeError reports that an answer has more bytes than the limit.
type AnswerTooLargeError struct{ Limit int64 }

// Error describes the failure.
func (e *AnswerTooLargeError) Error() string {
	return "the answer has more than " + strconv.FormatInt(e.Limit, 10) + " bytes"
}

// ForeignAnswersError reports that a connection carried only answers to other calls.
type ForeignAnswersError struct{}

// Error describes the failure.
func (e *ForeignAnswersError) Error() string { return "only answers to other calls arrived" }

// SecondDialError reports that a layer below a call that must not be repeated asked for
// a second connection.
type SecondDialError struct{}

// Error describes the failure.
func (e *SecondDialError) Error() string { return "a second connection for one call" }

// classifyError distinguishes a call that was never sent from one that may have
// arrived. Only a failed dial proves that nothing was written.
func classifyError(address string, err error) error {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return &NotSentError{Address: address, Cause: err}
	}
	return &InterruptedError{Address: address, Cause: err}
}
