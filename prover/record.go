// Package prover checks the guarantees of the system against records of what
// callers, engines, services, operators and entries observed. The checks don't
// depend on how the system implements the guarantees.
package prover

import "time"

// Record is one observation. It is one of the types below.
type Record interface{ record() }

// Answer is what a caller received for one request.
type Answer struct {
	// Request is the request's ID as seen by upstreams.
	Request string
	// Subscriber and Key identify a request that must not run twice. Key is its
	// idempotency key, empty for other requests.
	Subscriber string
	Key        string
	// Entry is the name of the entry that received the request.
	Entry string
	Sent  time.Time
	Ended time.Time
	// Outcome is the value of the outcome header, empty if there was none.
	Outcome string
	// Complete is set if the answer is marked as complete.
	Complete bool
	// Refused is set if the answer is an error reply instead of a result.
	Refused bool
	// Text is the received text and Want the complete answer to the request.
	Text string
	Want string
}

// Run is one run of a request at an upstream.
type Run struct {
	Upstream    string
	Incarnation string
	Request     string
	Subscriber  string
	Key         string
	// RepeatForbidden is set if the request must not run twice.
	RepeatForbidden bool
	At              time.Time
}

// Memory is the peak memory use of an upstream incarnation.
type Memory struct {
	Upstream    string
	Incarnation string
	UsedBytes   int64
	MemoryBytes int64
}

// Copies is the number of live upstreams that held a model or adapter.
type Copies struct {
	At    time.Time
	Name  string
	Count int
}

// Loss is the loss of an upstream and of the copies that it held.
type Loss struct {
	At       time.Time
	Upstream string
	Held     []string
}

// Leaving is the first announcement, by the platform or the upstream itself,
// that an upstream leaves.
type Leaving struct {
	At          time.Time
	Upstream    string
	Incarnation string
}

// Shutdown is a request to an entry to stop.
type Shutdown struct {
	At    time.Time
	Entry string
}

// Accepted is an accepted change of an operator.
type Accepted struct {
	At       time.Time
	Operator string
	Request  string
	// Based is the revision that the change was based on, Unbased for none.
	Based    uint64
	Revision uint64
}

// Unbased is the value of Accepted.Based for a change without a base revision.
const Unbased = ^uint64(0)

// Revision is the state of a ready entry: the highest revision that was seen in
// force and the first one that was missing.
type Revision struct {
	At       time.Time
	Entry    string
	Revision uint64
	// Lacks is the revision of a change that was not in force, 0 for none.
	Lacks uint64
}

func (Answer) record()   {}
func (Run) record()      {}
func (Memory) record()   {}
func (Copies) record()   {}
func (Loss) record()     {}
func (Leaving) record()  {}
func (Shutdown) record() {}
func (Accepted) record() {}
func (Revision) record() {}

// Values of Answer.Outcome.
const (
	OutcomeRan    = "ran"
	OutcomeNotRun = "not-run"
)

// Limits are the delays that the guarantees allow.
type Limits struct {
	// Leave is how long a leaving upstream may still receive new work.
	Leave time.Duration
	// InForce is how long an accepted change may take to be in force at every
	// entry.
	InForce time.Duration
	// Restore is how long copies may be missing after their upstream was lost.
	Restore time.Duration
}
