package quarantiner

import (
	"strings"
	"time"
)

// QuarantinedError reports that a request was not sent, because it or the parts of its
// prompt crash upstreams.
type QuarantinedError struct {
	// Suspects are the request's fingerprint and parts that may be the cause.
	Suspects []string
	// RetryAt is when they are tried again.
	RetryAt time.Time
}

// Error names the suspects.
func (e *QuarantinedError) Error() string {
	return "upstreams crash when they answer requests with " + strings.Join(e.Suspects, ", ")
}

// TrialPendingError reports that a request was not sent in time, because another one
// with the same suspects had not shown whether they crash upstreams.
type TrialPendingError struct {
	// RetryAt is when that may be known.
	RetryAt time.Time
}

// Error describes the refusal.
func (e *TrialPendingError) Error() string {
	return "waiting for another request with the same suspects"
}
