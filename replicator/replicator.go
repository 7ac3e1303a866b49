// Package replicator is the consensus core of a group of members, of the Raft
// family: it elects a leader, replicates a log of opaque entries and changes
// the group's members one at a time. A Core does no input or output, starts no
// goroutine and reads no clock. Its driver passes events to Step with the time
// and carries out what Step returns.
//
// Time is the driver's monotonic clock. Safety of the log does not depend on
// it. Safety of the leader's lease depends on clocks whose rates differ by
// less than the margin between Timing.Lease and Timing.ElectionMin.
package replicator

import "time"

// Identity tells members apart. Disk is the random identity of the data
// folder, so that a member with a new disk is a new member.
type Identity struct {
	Name string
	Disk string
}

// Role is a member's part in the group.
type Role int

const (
	// Voter counts towards the quorum.
	Voter Role = iota + 1
	// Learner receives the log and does not vote.
	Learner
)

// Member is one line of a configuration.
type Member struct {
	ID      Identity
	Address string
	Role    Role
}

// Payload is what an entry holds. It is one of the types below.
type Payload interface{ payload() }

// NoOp is the first entry of a leader's term.
type NoOp struct{}

// Opaque holds the bytes of a proposal.
type Opaque struct{ Data []byte }

// Reconfigured holds the configuration that is in force from its entry on.
type Reconfigured struct{ Configuration Configuration }

func (NoOp) payload()         {}
func (Opaque) payload()       {}
func (Reconfigured) payload() {}

// Entry is one place in the log.
type Entry struct {
	Index uint64
	Term  uint64
	// Stamp is the leader's time when it took the entry in. It never steps
	// back along the log.
	Stamp   time.Time
	Payload Payload
}

// HardState is what a member must remember besides the log.
type HardState struct {
	// Group tells one group of members from all others; empty before the
	// member belongs to one.
	Group string
	Term  uint64
	// Vote is whom the member voted for in Term; zero for nobody.
	Vote Identity
}

// Snapshot stands for all entries up to Index.
type Snapshot struct {
	Index         uint64
	Term          uint64
	Stamp         time.Time
	Configuration Configuration
	Data          []byte
}

// Timing sets the intervals of a Core.
type Timing struct {
	// Heartbeat is the interval of the leader's heartbeats.
	Heartbeat time.Duration
	// ElectionMin and ElectionMax bound the random time without a leader
	// after which a voter stands for election. No voter votes within
	// ElectionMin of the last message of a leader.
	ElectionMin time.Duration
	ElectionMax time.Duration
	// Lease is how long the answers of a quorum let the leader lead, counted
	// from the sending of what they answer.
	Lease time.Duration
}

// DefaultChunkBytes is the standard size of a snapshot's chunks in bytes.
const DefaultChunkBytes = 256 << 10

// Settings is what a Core starts from.
type Settings struct {
	ID     Identity
	Timing Timing
	// Seed makes election timeouts differ between members.
	Seed uint64
	// ChunkBytes is the most bytes of a snapshot that one message carries; zero
	// means StandardChunk.
	ChunkBytes int
	// HardState, Snapshot and Entries are what the disk holds. Entries follow the
	// snapshot without a gap.
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}
