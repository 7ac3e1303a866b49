// Package conductor runs a control member: it connects the consensus core, the
// recorder's files, the links to other members and the state machine. A single
// goroutine owns the control state.
package conductor

import (
	"context"
	"time"

	"burdocklink/applier"
	"burdocklink/cataloger"
)

// Proposer accepts commands and answers linearizable reads. Every member provides
// it, but only the leader accepts commands.
type Proposer interface {
	// Propose commits a command and returns its result. Commands are idempotent:
	// they contain what identifies a repetition, so they may be proposed again.
	// Propose fails with *NotLeaderError, *UncertainError or *StoppedError.
	Propose(ctx context.Context, command applier.Command) (applier.Applied, error)
	// Confirm returns an applied revision that includes everything committed
	// before the call.
	Confirm(ctx context.Context) (uint64, error)
	// Follow returns the catalog and a channel of all later deltas in order. The
	// channel is closed when the reader falls behind, the state is replaced by a
	// snapshot, the member stops, or cancel is called.
	Follow() (catalog *cataloger.Catalog, deltas <-chan cataloger.Delta, cancel func())
	// Read calls a function with the state between two commands. The function must
	// return quickly and must not retain the state.
	Read(ctx context.Context, read func(*applier.State)) error
	// Status describes the member as it sees itself.
	Status() Status
}

// Status describes a member.
type Status struct {
	Member string
	Leader string
	// Leading reports whether this member holds the leader's lease.
	Leading bool
	// LeaseUntil is the end of the lease on this member's clock.
	LeaseUntil time.Time
	Term       uint64
	Committed  uint64
	Applied    uint64
	Members    []Member
}

// Role is a member's role in the group.
type Role int

const (
	// Voter counts towards the quorum.
	Voter Role = iota + 1
	// Learner receives the log and does not vote.
	Learner
)

// Member is a control process. Disk is the random identity of its data folder, so a
// member with a new disk is a new member.
type Member struct {
	Name    string
	Disk    string
	Address string
	Role    Role
}

// NotLeaderError is returned if this member does not lead.
type NotLeaderError struct {
	// Leader is the address of the leader, or empty if none is known.
	Leader string
}

// Error describes the refusal.
func (e *NotLeaderError) Error() string { return "this member does not lead" }

// UncertainError is returned if a proposal may or may not be committed later.
type UncertainError struct{ Cause error }

// Error describes the uncertainty.
func (e *UncertainError) Error() string { return "outcome of the proposal is not known" }

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Cause }

// StoppedError is returned if the member has stopped.
type StoppedError struct{}

// Error describes the stop.
func (e *StoppedError) Error() string { return "this member has stopped" }
