package quarantiner

import (
	"strings"
	"time"
)

// QuarantinedError reports that a request was not sent, because the parts of its prompt
// crash upstreams.
type QuarantinedError struct {
	Parts []string
	// RetryAt is when the parts are tried again.
	RetryAt time.Time
}

// Error names the parts.
func (e *QuarantinedError) Error() string {
	return "upstreams crash when they answer prompts with " + strings.Join(e.Parts, ", ")
}

// TrialPendingError reports that a request was not sent in time, because another one
// with the same suspected parts had not shown whether they crash upstreams.
type TrialPendingError struct {
	// RetryAt is when that may be known.
	RetryAt time.Time
}

// Error describes the refusal.
func (e *TrialPendingError) Error() string { return "waiting for another request with suspected parts" }
