package replicator

import (
	"slices"
	"time"
)

// quorumSent is the leader's clock at the sending of the latest messages that
// a quorum, this member among it, has answered.
func (c *Core) quorumSent() time.Duration {
	configuration := c.configuration()
	contacts := make([]time.Duration, 0, len(configuration.Members))
	for _, member := range configuration.Members {
		if member.Role == Voter {
			contacts = append(contacts, c.contactOf(member.ID))
		}
	}
	slices.Sort(contacts)
	return contacts[len(contacts)-configuration.Quorum()]
}

func (c *Core) contactOf(id Identity) time.Duration {
	if id == c.id {
		return max(c.lead.lastSent, c.now.Sub(c.start))
	}
	if p := c.lead.peers[id]; p != nil {
		return p.contact
	}
	return never
}

// quorumContact is quorumSent as a time, not after now.
func (c *Core) quorumContact() time.Time {
	sent := c.quorumSent()
	if sent == never {
		return time.Time{}
	}
	return c.start.Add(min(sent, c.now.Sub(c.start)))
}

// lastQuorum is when a quorum was last known to follow this leader.
func (c *Core) lastQuorum() time.Time {
	contact := c.quorumContact()
	if contact.Before(c.lead.elected) {
		return c.lead.elected
	}
	return contact
}

// leaseUntil is the end of the leader's lease; zero where it has none. Before
// the first commit of its term a leader has none, and none once it hands over.
func (c *Core) leaseUntil() time.Time {
	if c.position != leading || c.committed < c.lead.first {
		return time.Time{}
	}
	if c.lead.target != (Identity{}) {
		return time.Time{}
	}
	contact := c.quorumContact()
	if contact.IsZero() {
		return time.Time{}
	}
	return contact.Add(c.timing.Lease)
}

// pendingRead waits for a quorum to answer a message sent after it.
type pendingRead struct {
	id    uint64
	index uint64
	after time.Duration
}

// read answers at once under the lease, and otherwise after a round of
// heartbeats.
func (c *Core) read(id uint64) {
	if c.position != leading {
		c.out.Reads = append(c.out.Reads, ReadResult{ID: id, Refused: true})
		return
	}
	if c.now.Before(c.leaseUntil()) {
		c.out.Reads = append(c.out.Reads, ReadResult{ID: id, Index: c.committed})
		return
	}
	c.lead.reads = append(c.lead.reads, pendingRead{id: id, index: c.committed, after: c.sentClock()})
	c.lead.nextHeartbeat = c.now
}

// answerReads answers the reads that a quorum has confirmed. Before the first
// commit of the term, the leader may not know of all that is committed.
func (c *Core) answerReads() {
	if len(c.lead.reads) == 0 || c.committed < c.lead.first {
		return
	}
	sent := c.quorumSent()
	waiting := c.lead.reads[:0]
	for _, pending := range c.lead.reads {
		if sent <= pending.after {
			waiting = append(waiting, pending)
			continue
		}
		index := max(pending.index, c.lead.first)
		c.out.Reads = append(c.out.Reads, ReadResult{ID: pending.id, Index: index})
	}
	c.lead.reads = waiting
}
