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
	// PhaseLost means that the request may have run.
	PhaseLost
)

// Attempted is an attempt that released its claim. It is remembered until its
// deadline so that a late repeat of its Open is not granted.
type Attempted struct {
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
	// Kept is true while Answer is stored; KeepUntil is its end.
	Kept      bool
	Answer    Answer
	KeepUntil time.Time
	// Serial orders kept answers by the time they finished.
	Serial uint64
	// ForgetAt is when the table drops the record.
	ForgetAt time.Time
	Released []Attempted
}

// due is when the record changes by itself.
func (r *Record) due() time.Time {
	switch {
	case r.Phase == PhaseHeld:
		return r.Deadline
	case r.Kept && r.KeepUntil.Before(r.ForgetAt):
		return r.KeepUntil
	default:
		return r.ForgetAt
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

// forgetReleased drops released attempts whose Open can no longer be granted.
func (r *Record) forgetReleased(now time.Time) {
	kept := r.Released[:0]
	for _, released := range r.Released {
		if now.Before(released.Deadline) {
			kept = append(kept, released)
		}
	}
	r.Released = kept
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
