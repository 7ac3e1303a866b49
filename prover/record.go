// Package prover checks the promises of the system against records of what
// callers, engines, services, operators and entries saw. The oracle is simple
// on purpose: it knows nothing of how the system keeps its promises.
package prover

import "time"

// Record is one thing that was seen. It is one of the types below.
type Record interface{ record() }

// Answer is what a caller received for one request.
type Answer struct {
	// Request is the identity under which upstreams saw the request.
	Request string
	// Subscriber and Key identify a request that must not run twice; Key is
	// empty for others.
	Subscriber string
	Key        string
	// Entry is the process that the caller talked to.
	Entry string
	Sent  time.Time
	Ended time.Time
	// Outcome is the word of the outcome header, empty where no header came.
	Outcome string
	// Complete is true where the answer says of itself that it is whole.
	Complete bool
	// Refused is true for an answer that is a typed refusal.
	Refused bool
	// Text is what was received and Want the whole answer to the request.
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
	// RepeatForbidden is true where a second run would be a fault.
	RepeatForbidden bool
	At              time.Time
}

// Memory is the highest memory use of an upstream incarnation.
type Memory struct {
	Upstream    string
	Incarnation string
	UsedBytes   int64
	MemoryBytes int64
}

// Copies says on how many live upstreams a model or adapter could be used.
type Copies struct {
	At    time.Time
	Name  string
	Count int
}

// Loss says that an upstream was taken away with the copies it held.
type Loss struct {
	At       time.Time
	Upstream string
	Held     []string
}

// Leaving says when the platform or the upstream first told that it leaves.
type Leaving struct {
	At          time.Time
	Upstream    string
	Incarnation string
}

// Shutdown says when a process was asked to stop.
type Shutdown struct {
	At    time.Time
	Entry string
}

// Accepted says that an operator's change was accepted.
type Accepted struct {
	At       time.Time
	Operator string
	Request  string
	// Based is the revision the change was made on, Unbased for none.
	Based    uint64
	Revision uint64
}

// Unbased is the value of Accepted.Based that conflicts with nothing.
const Unbased = ^uint64(0)

// Revision is what a ready entry was seen to have in force: at least one
// revision, and not yet another.
type Revision struct {
	At       time.Time
	Entry    string
	Revision uint64
	// Lacks is the revision of a change that was not in force, zero for none.
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

// Outcomes of an answer.
const (
	OutcomeRan    = "ran"
	OutcomeNotRun = "not-run"
)

// Limits are the times that the promises leave open.
type Limits struct {
	// Leave is how long a leaving upstream may still receive new work.
	Leave time.Duration
	// InForce is how long an accepted change may take to every entry.
	InForce time.Duration
	// Restore is how long copies lost with their upstream may be missing.
	Restore time.Duration
}
