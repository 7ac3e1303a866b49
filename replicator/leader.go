package replicator

import (
	"slices"
	"time"
)

// noContact is the lastContact of a peer that has not replied in this term.
const noContact = time.Duration(-1)

// leaderState is the state of a member while it leads.
type leaderState struct {
	// noOpIndex is the index of the no-op entry that started the term.
	noOpIndex uint64
	elected   time.Time
	peers     map[Identity]*peer
	// lastSentClock is the last value of the leader's clock put into a message.
	// It is preserved between terms.
	lastSentClock time.Duration
	nextHeartbeat time.Time
	pendingReads  []pendingRead
	// transferTarget is the voter that leadership is being transferred to. After
	// transferDeadline this member becomes a follower.
	transferTarget   Identity
	timeoutNowSent   bool
	transferDeadline time.Time
}

// peer is the replication progress of another member.
type peer struct {
	match uint64
	next  uint64
	// While probing, the index at which the logs agree is unknown: entries are
	// sent once, which sets probeSent, and then only heartbeats until a reply
	// tells where to continue.
	probing   bool
	probeSent bool
	// lastContact is the leader's clock at which the latest message that the peer
	// replied to was sent.
	lastContact time.Duration
	outgoing    outgoingSnapshot
	// inFlight lists the unacknowledged batches, inFlightBytes is their size.
	inFlight      []sentBatch
	inFlightBytes int
}

// sentBatch describes the entries of one message.
type sentBatch struct {
	lastIndex uint64
	bytes     int
}

// addInFlight records entries that were sent.
func (p *peer) addInFlight(entries []Entry) {
	batch := sentBatch{lastIndex: entries[len(entries)-1].Index}
	for _, entry := range entries {
		batch.bytes += entryBytes(entry)
	}
	p.inFlight = append(p.inFlight, batch)
	p.inFlightBytes += batch.bytes
}

// removeAcknowledged removes the batches up to match from those in flight.
func (p *peer) removeAcknowledged() {
	for len(p.inFlight) > 0 && p.inFlight[0].lastIndex <= p.match {
		p.inFlightBytes -= p.inFlight[0].bytes
		p.inFlight = p.inFlight[1:]
	}
}

// becomeLeader starts a leadership by appending a no-op entry.
func (c *Core) becomeLeader() {
	c.state = stateLeader
	c.leader = c.id
	c.votes = nil
	c.transferring = false
	c.leaderState = leaderState{elected: c.now, peers: map[Identity]*peer{}, lastSentClock: c.leaderState.lastSentClock}
	c.updatePeers()
	c.leaderState.noOpIndex = c.appendEntry(NoOp{})
}

// clearLeaderState resets the leader state and refuses pending reads.
func (c *Core) clearLeaderState() {
	for _, pending := range c.leaderState.pendingReads {
		c.out.Reads = append(c.out.Reads, ReadResult{ID: pending.id, Refused: true})
	}
	c.leaderState = leaderState{lastSentClock: c.leaderState.lastSentClock}
}

// updatePeers adds and removes peers to match the configuration.
func (c *Core) updatePeers() {
	configuration := c.configuration()
	for id := range c.leaderState.peers {
		if _, known := configuration.Find(id); !known {
			delete(c.leaderState.peers, id)
		}
	}
	for _, member := range configuration.Members {
		if _, known := c.leaderState.peers[member.ID]; known || member.ID == c.id {
			continue
		}
		c.leaderState.peers[member.ID] = &peer{next: c.log.lastIndex() + 1, probing: true, lastContact: noContact}
	}
}

// appendEntry appends an entry of the current term and returns its index.
func (c *Core) appendEntry(payload Payload) uint64 {
	entry := Entry{
		Index:   c.log.lastIndex() + 1,
		Term:    c.hardState.Term,
		Stamp:   c.nextStamp(),
		Payload: payload,
	}
	c.stageEntries([]Entry{entry})
	return entry.Index
}

// nextStamp returns the wall clock time, or the last entry's stamp if that is
// later.
func (c *Core) nextStamp() time.Time {
	stamp := c.now.Round(0).UTC()
	for _, earlier := range []time.Time{c.log.lastStamp(), c.snapshot.Stamp} {
		if earlier.After(stamp) {
			stamp = earlier
		}
	}
	return stamp
}

// nextSentClock returns the leader's clock, the time since its start. The value
// increases with every call.
func (c *Core) nextSentClock() time.Duration {
	c.leaderState.lastSentClock = max(c.leaderState.lastSentClock+1, c.now.Sub(c.start))
	return c.leaderState.lastSentClock
}

func (c *Core) tickLeader() {
	quorumLost := c.now.Sub(c.lastQuorumContact()) > c.timing.ElectionMax
	transferTimedOut := c.leaderState.transferTarget != Identity{} && c.now.After(c.leaderState.transferDeadline)
	if quorumLost || transferTimedOut || c.diskStalled() {
		c.becomeFollower(c.hardState.Term, Identity{})
	}
}

// replicate sends entries, snapshots and heartbeats to the other members, in the
// order of the configuration.
func (c *Core) replicate() {
	heartbeat := !c.now.Before(c.leaderState.nextHeartbeat)
	if heartbeat {
		c.leaderState.nextHeartbeat = c.now.Add(c.timing.Heartbeat)
	}
	for _, member := range c.configuration().Members {
		if p := c.leaderState.peers[member.ID]; p != nil {
			c.replicateTo(member.ID, p, heartbeat)
		}
	}
	c.sendTimeoutNow()
}

func (c *Core) replicateTo(id Identity, p *peer, heartbeat bool) {
	if p.next <= c.log.baseIndex {
		c.startSnapshot(id, p)
	}
	if p.outgoing.active() {
		if heartbeat {
			c.send(id, c.emptyChunk(p))
		}
		return
	}
	sent := false
	for entries := c.nextBatch(p); len(entries) > 0; entries = c.nextBatch(p) {
		c.sendEntries(id, p, entries)
		sent = true
	}
	if heartbeat && !sent {
		c.sendEntries(id, p, nil)
	}
}

// nextBatch returns the entries to send next to a peer, or nil if its window is
// full.
func (c *Core) nextBatch(p *peer) []Entry {
	if p.probeSent || p.next > p.match+maxWindowEntries || p.inFlightBytes >= maxWindowBytes {
		return nil
	}
	return c.log.batch(p.next)
}

func (c *Core) sendEntries(id Identity, p *peer, entries []Entry) {
	previous := p.next - 1
	term, _ := c.log.term(previous)
	c.send(id, AppendRequest{
		PreviousIndex: previous,
		PreviousTerm:  term,
		Entries:       entries,
		Committed:     c.committed,
		Sent:          c.nextSentClock(),
	})
	if p.probing {
		p.probeSent = p.probeSent || len(entries) > 0
		return
	}
	if len(entries) > 0 {
		p.next += uint64(len(entries))
		p.addInFlight(entries)
	}
}

func (c *Core) handleAppendReply(from Identity, reply AppendReply) {
	if c.state != stateLeader {
		return
	}
	p := c.leaderState.peers[from]
	if p == nil || reply.Sent == 0 {
		return
	}
	p.lastContact = max(p.lastContact, reply.Sent)
	if !reply.Accepted {
		p.handleRejection(reply)
		return
	}
	p.match = max(p.match, reply.Match)
	p.next = max(p.next, p.match+1)
	p.removeAcknowledged()
	p.probing, p.probeSent = false, false
	if p.outgoing.active() && p.match >= p.outgoing.snapshot.Index {
		p.outgoing = outgoingSnapshot{}
	}
}

// handleRejection continues from the index that the peer suggested. It ignores
// replies to older messages, which it recognises by their Previous index.
func (p *peer) handleRejection(reply AppendReply) {
	if reply.Previous <= p.match || reply.Previous >= p.next {
		return
	}
	p.next = max(p.match+1, min(reply.Next, reply.Previous))
	p.probing, p.probeSent = true, false
	p.inFlight, p.inFlightBytes = nil, 0
}

// advanceCommitted commits the entries that are synced on a quorum, once they
// include one of the current term.
func (c *Core) advanceCommitted() {
	var matches []uint64
	for _, member := range c.configuration().Members {
		if member.Role == Voter {
			matches = append(matches, c.matchIndex(member.ID))
		}
	}
	slices.Sort(matches)
	index := matches[len(matches)-c.configuration().Quorum()]
	if index <= c.committed || index < c.leaderState.noOpIndex {
		return
	}
	c.committed = index
}

func (c *Core) matchIndex(id Identity) uint64 {
	if id == c.id {
		return c.log.syncedIndex
	}
	if p := c.leaderState.peers[id]; p != nil {
		return p.match
	}
	return 0
}

func (c *Core) handlePropose(data [][]byte) {
	if refusal := c.proposalRefusal(); refusal != nil {
		c.out.Refusal = refusal
		return
	}
	entries := make([]Entry, 0, len(data))
	stamp := c.nextStamp()
	first := c.log.lastIndex() + 1
	for i, payload := range data {
		entries = append(entries, Entry{
			Index:   first + uint64(i),
			Term:    c.hardState.Term,
			Stamp:   stamp,
			Payload: Opaque{Data: payload},
		})
	}
	c.stageEntries(entries)
	c.out.Proposed = &Proposed{First: first, Term: c.hardState.Term}
}

// proposalRefusal returns why this member does not accept proposals, or nil.
func (c *Core) proposalRefusal() error {
	if c.state != stateLeader {
		return &NotLeaderError{Leader: c.leader}
	}
	if c.leaderState.transferTarget != (Identity{}) {
		return &TransferInProgressError{To: c.leaderState.transferTarget}
	}
	return nil
}
