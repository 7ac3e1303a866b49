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

// Message is one of the types below.
type Message interface{ message() }

// VoteRequest asks for a vote, or with Pre whether one would be given.
type VoteRequest struct {
	Pre       bool
	LastIndex uint64
	LastTerm  uint64
	// Transfer is set where the leader has given up its lease and asked the
	// sender to stand.
	Transfer bool
}

// VoteReply answers a VoteRequest. A granted pre-vote has the term that was
// asked for, a refused one the term of the sender.
type VoteReply struct {
	Pre     bool
	Granted bool
	// Recovering is set where the sender has heard no leader since its start, and
	// refuses only for what it may have heard before.
	Recovering bool
}

// AppendRequest carries entries after a place in the log; without entries it
// is a heartbeat.
type AppendRequest struct {
	PreviousIndex uint64
	PreviousTerm  uint64
	Entries       []Entry
	Committed     uint64
	// Sent is the leader's own clock; it comes back in the reply.
	Sent time.Duration
}

// AppendReply answers an AppendRequest.
type AppendReply struct {
	Accepted bool
	// Match is up to where the logs are known to agree, on the disk.
	Match uint64
	// Previous is the place that was refused, Next a better one.
	Previous uint64
	Next     uint64
	Sent     time.Duration
}

// SnapshotChunk carries a part of a snapshot's data.
type SnapshotChunk struct {
	// Snapshot has no Data.
	Snapshot Snapshot
	Offset   int
	Total    int
	Data     []byte
	Sent     time.Duration
}

// SnapshotReply says which chunk is wanted next.
type SnapshotReply struct {
	Index  uint64
	Offset int
	Sent   time.Duration
}

// TimeoutNow asks a voter to stand for election at once.
type TimeoutNow struct{}

func (VoteRequest) message()   {}
func (VoteReply) message()     {}
func (AppendRequest) message() {}
func (AppendReply) message()   {}
func (SnapshotChunk) message() {}
func (SnapshotReply) message() {}
func (TimeoutNow) message()    {}
