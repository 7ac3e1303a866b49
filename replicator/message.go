package replicator

import "time"

// Envelope is a message between two members.
type Envelope struct {
	Group   string
	From    Identity
	To      Identity
	Term    uint64
	Message Message
}

// Message is the content of an Envelope. It is implemented by the types below.
type Message interface{ message() }

// VoteRequest asks for a vote, or with Pre for a pre-vote.
type VoteRequest struct {
	Pre       bool
	LastIndex uint64
	LastTerm  uint64
	// Transfer is set if the leader has given up its lease and asked the sender
	// to campaign.
	Transfer bool
}

// VoteReply answers a VoteRequest. The envelope of a granted pre-vote has the
// requested term, that of a refused one the term of the sender.
type VoteReply struct {
	Pre     bool
	Granted bool
	// Recovering is set if the sender has had no contact with a leader since it
	// started, and refuses only because it may have had one before.
	Recovering bool
}

// AppendRequest contains the entries after PreviousIndex. Without entries it is a
// heartbeat.
type AppendRequest struct {
	PreviousIndex uint64
	PreviousTerm  uint64
	Entries       []Entry
	Committed     uint64
	// Sent is the leader's clock, the time since its start. The reply echoes it.
	Sent time.Duration
}

// AppendReply answers an AppendRequest.
type AppendReply struct {
	Accepted bool
	// Match is the last index up to which the sender's synced log is known to
	// agree with the leader's.
	Match uint64
	// Previous is the PreviousIndex of the refused request, Next the index that
	// the leader should continue from.
	Previous uint64
	Next     uint64
	Sent     time.Duration
}

// SnapshotChunk contains a part of a snapshot's data. A heartbeat during the
// transfer of a snapshot has no Data.
type SnapshotChunk struct {
	// Snapshot is the snapshot without its Data.
	Snapshot Snapshot
	// Offset and Total are in bytes.
	Offset int
	Total  int
	Data   []byte
	Sent   time.Duration
}

// SnapshotReply requests the chunk at an offset in bytes.
type SnapshotReply struct {
	Index  uint64
	Offset int
	Sent   time.Duration
}

// TimeoutNow asks a voter to campaign immediately.
type TimeoutNow struct{}

func (VoteRequest) message()   {}
func (VoteReply) message()     {}
func (AppendRequest) message() {}
func (AppendReply) message()   {}
func (SnapshotChunk) message() {}
func (SnapshotReply) message() {}
func (TimeoutNow) message()    {}
