package replicator

import (
	"slices"
	"time"
)

// never is the contact of a peer that has not answered in this term.
const never = time.Duration(-1)

// lead is what a member keeps while it leads.
type lead struct {
	// first is the index of the term's blank entry.
	first   uint64
	elected time.Time
	peers   map[Identity]*peer
	// lastSent is the last value of the leader's clock put into a message.
	lastSent      time.Duration
	nextHeartbeat time.Time
	reads         []pendingRead
	// target is whom the leader hands over to; handoverUntil is when it
	// gives up on that.
	target        Identity
	asked         bool
	handoverUntil time.Time
}

// peer is what the leader knows of another member.
type peer struct {
	match uint64
	next  uint64
	// probing sends entries once until the logs are known to agree, and
	// heartbeats without entries until an answer says where to go on; probed is
	// true after the entries.
	probing bool
	probed  bool
	// contact is the leader's clock at the sending of the latest message that
	// the peer answered.
	contact  time.Duration
	outgoing outgoing
	// flight lists what was sent and not answered, flightBytes its size.
	flight      []sentBatch
	flightBytes int
}

// sentBatch is the entries of one message.
type sentBatch struct {
	last  uint64
	bytes int
}

// launch notes entries on their way.
func (p *peer) launch(entries []Entry) {
	batch := sentBatch{last: entries[len(entries)-1].Index}
	for _, entry := range entries {
		batch.bytes += entryBytes(entry)
	}
	p.flight = append(p.flight, batch)
	p.flightBytes += batch.bytes
}

// land forgets entries that have arrived.
func (p *peer) land() {
	for len(p.flight) > 0 && p.flight[0].last <= p.match {
		p.flightBytes -= p.flight[0].bytes
		p.flight = p.flight[1:]
	}
}

// beginLead starts a term of leadership with a blank entry.
func (c *Core) beginLead() {
	c.position = leading
	c.leader = c.id
	c.votes = nil
	c.handover = false
	c.lead = lead{elected: c.now, peers: map[Identity]*peer{}, lastSent: c.lead.lastSent}
	c.syncPeers()
	c.lead.first = c.appendOwn(Blank{})
}

// endLead forgets what only a leader keeps.
func (c *Core) endLead() {
	for _, pending := range c.lead.reads {
		c.out.Reads = append(c.out.Reads, ReadResult{ID: pending.id, Refused: true})
	}
	c.lead = lead{lastSent: c.lead.lastSent}
}

// syncPeers follows the configuration.
func (c *Core) syncPeers() {
	configuration := c.configuration()
	for id := range c.lead.peers {
		if _, known := configuration.Find(id); !known {
			delete(c.lead.peers, id)
		}
	}
	for _, member := range configuration.Members {
		if _, known := c.lead.peers[member.ID]; known || member.ID == c.id {
			continue
		}
		c.lead.peers[member.ID] = &peer{next: c.log.last() + 1, probing: true, contact: never}
	}
}

// appendOwn appends an entry of this leader and returns its index.
func (c *Core) appendOwn(payload Payload) uint64 {
	entry := Entry{
		Index:   c.log.last() + 1,
		Term:    c.hard.Term,
		Stamp:   c.nextStamp(),
		Payload: payload,
	}
	c.stageEntries([]Entry{entry})
	return entry.Index
}

// nextStamp is the wall clock, or the last stamp where that is later.
func (c *Core) nextStamp() time.Time {
	stamp := c.now.Round(0).UTC()
	for _, last := range []time.Time{c.log.lastStamp(), c.snapshot.Stamp} {
		if last.After(stamp) {
			stamp = last
		}
	}
	return stamp
}

// sentClock is the leader's own clock; it grows with every call.
func (c *Core) sentClock() time.Duration {
	c.lead.lastSent = max(c.lead.lastSent+1, c.now.Sub(c.start))
	return c.lead.lastSent
}

func (c *Core) tickLeader() {
	lost := c.now.Sub(c.lastQuorum()) > c.timing.ElectionMax
	late := c.lead.target != Identity{} && c.now.After(c.lead.handoverUntil)
	if lost || late || c.stalled() {
		c.follow(c.hard.Term, Identity{})
	}
}

// replicate sends what is due to each member, in the configuration's order.
func (c *Core) replicate() {
	heartbeat := !c.now.Before(c.lead.nextHeartbeat)
	if heartbeat {
		c.lead.nextHeartbeat = c.now.Add(c.timing.Heartbeat)
	}
	for _, member := range c.configuration().Members {
		if p := c.lead.peers[member.ID]; p != nil {
			c.replicateTo(member.ID, p, heartbeat)
		}
	}
	c.askSuccessor()
}

func (c *Core) replicateTo(id Identity, p *peer, heartbeat bool) {
	if p.next <= c.log.baseIndex {
		c.sendSnapshot(id, p)
	}
	if p.outgoing.active() {
		if heartbeat {
			c.send(id, c.chunkFor(p))
		}
		return
	}
	sent := false
	for entries := c.batchFor(p); len(entries) > 0; entries = c.batchFor(p) {
		c.sendEntries(id, p, entries)
		sent = true
	}
	if heartbeat && !sent {
		c.sendEntries(id, p, nil)
	}
}

// batchFor is what may be sent to a peer now.
func (c *Core) batchFor(p *peer) []Entry {
	if p.probed || p.next > p.match+maxWindowEntries || p.flightBytes >= maxWindowBytes {
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
		Sent:          c.sentClock(),
	})
	if p.probing {
		p.probed = p.probed || len(entries) > 0
		return
	}
	if len(entries) > 0 {
		p.next += uint64(len(entries))
		p.launch(entries)
	}
}

func (c *Core) takeAppendReply(from Identity, reply AppendReply) {
	if c.position != leading {
		return
	}
	p := c.lead.peers[from]
	if p == nil || reply.Sent == 0 {
		return
	}
	p.contact = max(p.contact, reply.Sent)
	if !reply.Accepted {
		p.refused(reply)
		return
	}
	p.match = max(p.match, reply.Match)
	p.next = max(p.next, p.match+1)
	p.land()
	p.probing, p.probed = false, false
	if p.outgoing.active() && p.match >= p.outgoing.snapshot.Index {
		p.outgoing = outgoing{}
	}
}

// refused goes back to where the peer wants entries from. Answers to older
// messages are recognised by their place.
func (p *peer) refused(reply AppendReply) {
	if reply.Previous <= p.match || reply.Previous >= p.next {
		return
	}
	p.next = max(p.match+1, min(reply.Next, reply.Previous))
	p.probing, p.probed = true, false
	p.flight, p.flightBytes = nil, 0
}

// advanceCommitted commits what a quorum has on the disk, once that reaches
// an entry of this term.
func (c *Core) advanceCommitted() {
	var matches []uint64
	for _, member := range c.configuration().Members {
		if member.Role == Voter {
			matches = append(matches, c.matchOf(member.ID))
		}
	}
	slices.Sort(matches)
	index := matches[len(matches)-c.configuration().Quorum()]
	if index <= c.committed || index < c.lead.first {
		return
	}
	c.committed = index
}

func (c *Core) matchOf(id Identity) uint64 {
	if id == c.id {
		return c.log.synced
	}
	if p := c.lead.peers[id]; p != nil {
		return p.match
	}
	return 0
}

func (c *Core) propose(data [][]byte) {
	if refusal := c.refusal(); refusal != nil {
		c.out.Refusal = refusal
		return
	}
	entries := make([]Entry, 0, len(data))
	stamp := c.nextStamp()
	first := c.log.last() + 1
	for i, one := range data {
		entries = append(entries, Entry{
			Index:   first + uint64(i),
			Term:    c.hard.Term,
			Stamp:   stamp,
			Payload: Opaque{Data: one},
		})
	}
	c.stageEntries(entries)
	c.out.Proposed = &Proposed{First: first, Term: c.hard.Term}
}

// refusal says why this member takes in no proposals, or nil.
func (c *Core) refusal() error {
	if c.position != leading {
		return &NotLeaderError{Leader: c.leader}
	}
	if c.lead.target != (Identity{}) {
		return &HandingOverError{To: c.lead.target}
	}
	return nil
}
