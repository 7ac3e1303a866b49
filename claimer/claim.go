// Package claimer is the table of claims that lets a non-idempotent request
// run at most once. The table is pure: events and the replicated stamp go in,
// results come out.
package claimer

import "time"

// Key identifies a request that must not run twice.
type Key struct {
	Subscriber string
	// Name is the caller's idempotency key.
	Name string
}

// Answer is a complete answer that a resend receives again.
type Answer struct {
	Status int
	// Header holds the response header fields worth keeping.
	Header map[string][]string
	Body   []byte
}

// Event is what happens to a claim. It is one of the types below.
type Event interface{ event() }

// Open asks for the sole right to dispatch a request once.
type Open struct {
	Key Key
	// Digest is a hash over method, path and body of the request.
	Digest [32]byte
	// Attempt is unique for each call of an entry; only its holder may
	// dispatch.
	Attempt string
	// Entry names the entry that would dispatch.
	Entry string
	// Deadline is when the holder must have dispatched and reported.
	Deadline time.Time
	// Issued is when the caller says it first made the request; zero where it
	// does not say.
	Issued time.Time
}

// Finish records the whole answer of a dispatched request.
type Finish struct {
	Key     Key
	Attempt string
	Answer  Answer
}

// Release says that the holder never dispatched and never will.
type Release struct {
	Key     Key
	Attempt string
}

// MarkUnknown says that the holder dispatched and cannot know the outcome.
type MarkUnknown struct {
	Key     Key
	Attempt string
}

// Expire passes over all claims whose deadline is before the stamp.
type Expire struct{}

func (Open) event()        {}
func (Finish) event()      {}
func (Release) event()     {}
func (MarkUnknown) event() {}
func (Expire) event()      {}

// Result is the table's answer to an event. It is one of the types below.
type Result interface{ result() }

// Granted gives the attempt the right to dispatch once before Deadline.
type Granted struct{ Deadline time.Time }

// Pending says that another attempt holds the claim until Deadline.
type Pending struct{ Deadline time.Time }

// Answered repeats the stored answer.
type Answered struct{ Answer Answer }

// Unknown says that the request may or may not have run and will not be run
// again.
type Unknown struct{}

// AnswerDropped says that the request ran and that its answer is no longer
// kept.
type AnswerDropped struct{}

// Mismatch says that the key belongs to a request with another digest.
type Mismatch struct{}

// TooOld says that the request was issued before the time the table remembers.
type TooOld struct{ Horizon time.Time }

// Recorded acknowledges Finish, Release, Lose or Expire.
type Recorded struct{}

// Stale says that the event's attempt does not hold the claim.
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

// Invalid refuses an event that cannot be right, with the reason. Nothing was
// claimed.
type Invalid struct{ Reason string }

// Overdue refuses an Open that was applied after its own deadline. Nothing
// was claimed and the attempt can never be granted.
type Overdue struct{}

// Full refuses a new claim while the table holds as many as it may. Nothing
// was claimed; Retry is when the next one is forgotten.
type Full struct{ Retry time.Time }

func (Invalid) result() {}
func (Overdue) result() {}
func (Full) result()    {}
