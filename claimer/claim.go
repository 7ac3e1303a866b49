// Package claimer implements the claim table, which ensures that a
// non-idempotent request runs at most once. The table is deterministic: its
// results depend only on the events and their replicated stamps.
package claimer

import "time"

// Key identifies a request that must run at most once.
type Key struct {
	Subscriber string
	// Name is the caller's idempotency key.
	Name string
}

// Answer is a complete response, stored for resends of the request.
type Answer struct {
	Status int
	// Header holds the response header fields to store.
	Header map[string][]string
	Body   []byte
}

// Event changes a claim. It is an Open, Finish, Release, MarkUnknown or Expire.
type Event interface{ event() }

// Open requests the exclusive right to dispatch a request once.
type Open struct {
	Key Key
	// Digest is a hash of the request's method, path and body.
	Digest [32]byte
	// Attempt is unique for each call; only the attempt that holds the claim may
	// dispatch.
	Attempt string
	// Entry is the name of the entry that dispatches the request.
	Entry string
	// Deadline is when the holder must have dispatched and reported the outcome.
	Deadline time.Time
	// Issued is when the caller first made the request, as stated by the caller;
	// zero if unknown.
	Issued time.Time
}

// Finish records the complete answer to a dispatched request.
type Finish struct {
	Key     Key
	Attempt string
	Answer  Answer
}

// Release reports that the holder has not dispatched and never will.
type Release struct {
	Key     Key
	Attempt string
}

// MarkUnknown reports that the holder dispatched and cannot learn the outcome.
type MarkUnknown struct {
	Key     Key
	Attempt string
}

// Expire only applies the expiries that are due at the stamp.
type Expire struct{}

func (Open) event()        {}
func (Finish) event()      {}
func (Release) event()     {}
func (MarkUnknown) event() {}
func (Expire) event()      {}

// Result is the table's response to an event.
type Result interface{ result() }

// Granted allows the attempt to dispatch once before Deadline.
type Granted struct{ Deadline time.Time }

// Pending means that another attempt holds the claim until Deadline.
type Pending struct{ Deadline time.Time }

// Answered returns the stored answer.
type Answered struct{ Answer Answer }

// Unknown means that the request may have run and is not run again.
type Unknown struct{}

// AnswerDropped means that the request ran and that its answer is not stored, or
// no longer.
type AnswerDropped struct{}

// Mismatch means that the key belongs to a request with another digest.
type Mismatch struct{}

// TooOld means that the request was issued before Horizon. The table may have
// dropped claims of such requests.
type TooOld struct{ Horizon time.Time }

// Recorded acknowledges Finish, Release, MarkUnknown or Expire.
type Recorded struct{}

// Stale means that the event's attempt does not hold the claim.
type Stale struct{}

func (Granted) result()       {}
func (Pending) result()       {}
func (Answered) result()      {}
func (Unknown) result()       {}
func (AnswerDropped) result() {}
func (Mismatch) result()      {}
func (TooOld) result()        {}
func (Recorded) result()      {}
func (Stale) result()         {}

// Invalid refuses a malformed event. Nothing was claimed.
type Invalid struct{ Reason string }

// Overdue refuses an Open that was applied after its own deadline. Nothing was
// claimed and the attempt is never granted.
type Overdue struct{}

// Full refuses a new claim while the table is full, or an attempt while the key
// has too many released ones. Nothing was claimed; Retry is when a record or a
// released attempt next expires.
type Full struct{ Retry time.Time }

func (Invalid) result() {}
func (Overdue) result() {}
func (Full) result()    {}
