// Package replicator implements a Raft consensus core: it elects a leader,
// replicates a log of opaque entries and changes the group's members one at a
// time. A Core does no I/O, starts no goroutine and reads no clock. Its driver
// passes events and the current time to Step and carries out the returned Output.
//
// Times come from the driver's monotonic clock. The safety of the log does not
// depend on them. The safety of the leader's lease requires that clock rates
// differ by less than the margin between Timing.Lease and Timing.ElectionMin.
package replicator

import "time"

// Identity identifies a member. Disk is the random identity of its data folder,
// so a member with a new disk is a new member.
type Identity struct {
	Name string
	Disk string
}

// Role is a member's role in the group.
type Role int

const (
	// Voter counts towards the quorum.
	Voter Role = iota + 1
	// Learner receives the log and does not vote.
	Learner
)

// Member is a member of a configuration.
type Member struct {
	ID      Identity
	Address string
	Role    Role
}

// Payload is the content of an entry. It is implemented by the types below.
type Payload interface{ payload() }

// NoOp is the payload of the first entry of a leader's term.
type NoOp struct{}

// Opaque contains the bytes of a proposal.
type Opaque struct{ Data []byte }

// Reconfigured contains the configuration in force from its entry on.
type Reconfigured struct{ Configuration Configuration }

func (NoOp) payload()         {}
func (Opaque) payload()       {}
func (Reconfigured) payload() {}

// Entry is a log entry.
type Entry struct {
	Index uint64
	Term  uint64
	// Stamp is the leader's time when it appended the entry. It never decreases
	// along the log.
	Stamp   time.Time
	Payload Payload
}

// HardState is the state that a member must persist besides the log.
type HardState struct {
	// Group identifies the group. It is empty until the member belongs to one.
	Group string
	Term  uint64
	// Vote is the member that this member voted for in Term, or zero.
	Vote Identity
}

// Snapshot replaces all entries up to Index.
type Snapshot struct {
	Index         uint64
	Term          uint64
	Stamp         time.Time
	Configuration Configuration
	Data          []byte
}

// Timing configures the intervals of a Core.
type Timing struct {
	// Heartbeat is the interval of the leader's heartbeats.
	Heartbeat time.Duration
	// ElectionMin and ElectionMax bound the random election timeout. No voter
	// votes within ElectionMin of the last message from a leader.
	ElectionMin time.Duration
	ElectionMax time.Duration
	// Lease is how long replies of a quorum extend the leader's lease, counted
	// from when the messages that they reply to were sent.
	Lease time.Duration
}

// DefaultChunkBytes is the default size of a snapshot chunk.
const DefaultChunkBytes = 256 << 10

// Settings configure a Core and contain its stored state.
type Settings struct {
	ID     Identity
	Timing Timing
	// Seed should differ between members, so that their election timeouts do.
	Seed uint64
	// ChunkBytes is the maximum amount of snapshot data in a message; zero means
	// DefaultChunkBytes.
	ChunkBytes int
	// HardState, Snapshot and Entries are the stored state. Entries follow the
	// snapshot without a gap.
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}
