// Package conductor drives one control member: it joins the consensus core,
// the recorder's files, the links to other members and the state machine. All
// control state belongs to one goroutine.
package conductor

import (
	"context"
	"time"

	"burdocklink/applier"
	"burdocklink/cataloger"
)

// Proposer accepts commands and answers linearizable reads. Every member
// implements it; only the leader accepts.
type Proposer interface {
	// Propose commits a command and returns its result. Every command may be
	// proposed again without harm: it carries what tells a repeat. Propose
	// returns *NotLeaderError, *UncertainError or *StoppedError.
	Propose(ctx context.Context, command applier.Command) (applier.Applied, error)
	// Confirm returns an applied revision that no quorum has gone beyond at
	// the time of the call.
	Confirm(ctx context.Context) (uint64, error)
	// Follow returns the catalog, and a channel that receives each later
	// delta in order and is closed when the reader falls behind or the member
	// stops. cancel ends it.
	Follow() (catalog *cataloger.Catalog, deltas <-chan cataloger.Delta, cancel func())
	// Read runs a function on the state between two commands. The function
	// must be short and must not keep what it is given.
	Read(ctx context.Context, read func(*applier.State)) error
	// Status describes the member as it sees itself.
	Status() Status
}

// Status describes a member.
type Status struct {
	Member string
	Leader string
	// Leading is true while this member holds the leader's lease.
	Leading bool
	// LeaseUntil is the end of the lease on this member's clock.
	LeaseUntil time.Time
	Term       uint64
	Committed  uint64
	Applied    uint64
	Members    []Member
}

// Role is a member's part in the group.
type Role int

const (
	// Voter counts towards the quorum.
	Voter Role = iota + 1
	// Learner receives the log and does not vote.
	Learner
)

// Member is one control process. Disk is the random identity of its data
// folder: a member with another disk is another member.
type Member struct {
	Name    string
	Disk    string
	Address string
	Role    Role
}

// NotLeaderError says that another member leads.
type NotLeaderError struct {
	// Leader is the address of the leader, empty where none is known.
	Leader string
}

// Error describes the refusal.
func (e *NotLeaderError) Error() string { return "this member does not lead" }

// UncertainError says that a proposal may or may not be committed later.
type UncertainError struct{ Cause error }

// Error describes the uncertainty.
func (e *UncertainError) Error() string { return "outcome of the proposal is not known" }

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Cause }

// StoppedError says that the member has stopped.
type StoppedError struct{}

// Error describes the stop.
func (e *StoppedError) Error() string { return "this member has stopped" }
