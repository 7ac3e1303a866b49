package claimer

import (
	"time"
)

// Phase is how far a claim has come.
type Phase int

const (
	// PhaseHeld means that an attempt may dispatch until the deadline.
	PhaseHeld Phase = iota + 1
	// PhaseReleased means that no attempt has dispatched or ever will.
	PhaseReleased
	// PhaseFinished means that the request ran and its outcome is known.
	PhaseFinished
	// PhaseUnknown means that the request may have run.
	PhaseUnknown
)

// ReleasedAttempt is an attempt that released its claim. It is remembered until its
// deadline so that a late repeat of its Open is not granted.
type ReleasedAttempt struct {
	Attempt  string
	Deadline time.Time
}

// Record is all that the table knows of one key.
type Record struct {
	Key     Key
	Digest  [32]byte
	Phase   Phase
	Attempt string
	Entry   string
	// Deadline is when a held claim becomes lost.
	Deadline time.Time
	// AnswerStored is true while Answer is stored; KeepUntil is its end.
	AnswerStored    bool
	Answer          Answer
	AnswerExpiresAt time.Time
	// Serial orders kept answers by the time they finished.
	Serial uint64
	// ExpiresAt is when the table drops the record.
	ExpiresAt time.Time
	Released  []ReleasedAttempt
}

// nextTransition is when the record changes by itself.
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

// dropExpiredReleases drops released attempts whose Open can no longer be granted.
func (r *Record) dropExpiredReleases(now time.Time) {
	remaining := r.Released[:0]
	for _, released := range r.Released {
		if now.Before(released.Deadline) {
			remaining = append(remaining, released)
		}
	}
	r.Released = remaining
}

// Size is the number of bytes that an answer counts for.
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
