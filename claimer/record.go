package claimer

import (
	"time"
)

// Phase is the state of a claim.
type Phase int

const (
	// PhaseHeld means that an attempt may dispatch until the deadline.
	PhaseHeld Phase = iota + 1
	// PhaseReleased means that no attempt so far has dispatched or ever will.
	PhaseReleased
	// PhaseFinished means that the request ran and its outcome is known.
	PhaseFinished
	// PhaseUnknown means that the request may have run.
	PhaseUnknown
)

// ReleasedAttempt is an attempt that released its claim. It is stored until its
// deadline so that a late duplicate of its Open is not granted.
type ReleasedAttempt struct {
	Attempt  string
	Deadline time.Time
}

// Record is the state of one key.
type Record struct {
	Key     Key
	Digest  [32]byte
	Phase   Phase
	Attempt string
	Entry   string
	// Deadline is when the outcome of a held claim becomes unknown.
	Deadline time.Time
	// AnswerStored reports whether Answer is stored, which it is until
	// AnswerExpiresAt.
	AnswerStored    bool
	Answer          Answer
	AnswerExpiresAt time.Time
	// Serial orders stored answers from oldest to newest.
	Serial uint64
	// ExpiresAt is when the table drops a record that is not held.
	ExpiresAt time.Time
	Released  []ReleasedAttempt
}

// nextTransition returns when the record next changes without an event.
func (r *Record) nextTransition() time.Time {
	switch {
	case r.Phase == PhaseHeld:
		return r.Deadline
	case r.AnswerStored && r.AnswerExpiresAt.Before(r.ExpiresAt):
		return r.AnswerExpiresAt
	default:
		return r.ExpiresAt
	}
}

func (r *Record) hasReleased(attempt string) bool {
	for _, released := range r.Released {
		if released.Attempt == attempt {
			return true
		}
	}
	return false
}

// dropExpiredReleases drops released attempts whose Open can no longer be
// granted.
func (r *Record) dropExpiredReleases(now time.Time) {
	remaining := r.Released[:0]
	for _, released := range r.Released {
		if now.Before(released.Deadline) {
			remaining = append(remaining, released)
		}
	}
	r.Released = remaining
}

// Size returns the number of bytes that the answer counts towards the limits.
func (a Answer) Size() int {
	size := len(a.Body)
	for name, values := range a.Header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}
