package replicator

import (
	"slices"
	"time"
)

// quorumSentClock returns the latest value of the leader's clock such that a
// quorum, including this member, has replied to messages sent then or later.
func (c *Core) quorumSentClock() time.Duration {
	configuration := c.configuration()
	contacts := make([]time.Duration, 0, len(configuration.Members))
	for _, member := range configuration.Members {
		if member.Role == Voter {
			contacts = append(contacts, c.contactClock(member.ID))
		}
	}
	slices.Sort(contacts)
	return contacts[len(contacts)-configuration.Quorum()]
}

func (c *Core) contactClock(id Identity) time.Duration {
	if id == c.id {
		return max(c.leaderState.lastSentClock, c.now.Sub(c.start))
	}
	if p := c.leaderState.peers[id]; p != nil {
		return p.lastContact
	}
	return noContact
}

// quorumContact returns quorumSentClock as a time that is not after now, or zero
// if no quorum has replied.
func (c *Core) quorumContact() time.Time {
	sent := c.quorumSentClock()
	if sent == noContact {
		return time.Time{}
	}
	return c.start.Add(min(sent, c.now.Sub(c.start)))
}

// lastQuorumContact returns when a quorum was last known to follow this leader.
func (c *Core) lastQuorumContact() time.Time {
	contact := c.quorumContact()
	if contact.Before(c.leaderState.elected) {
		return c.leaderState.elected
	}
	return contact
}

// leaseUntil returns the end of the leader's lease, or zero if it has none. A
// leader has no lease before the first commit of its term and during a leadership
// transfer.
func (c *Core) leaseUntil() time.Time {
	if c.state != stateLeader || c.committed < c.leaderState.noOpIndex {
		return time.Time{}
	}
	if c.leaderState.transferTarget != (Identity{}) {
		return time.Time{}
	}
	contact := c.quorumContact()
	if contact.IsZero() {
		return time.Time{}
	}
	return contact.Add(c.timing.Lease)
}

// pendingRead is a read that waits until a quorum has replied to a message sent
// after sentClock.
type pendingRead struct {
	id        uint64
	index     uint64
	sentClock time.Duration
}

// handleRead answers a read immediately while the lease is held, otherwise after
// a round of heartbeats.
func (c *Core) handleRead(id uint64) {
	if c.state != stateLeader {
		c.out.Reads = append(c.out.Reads, ReadResult{ID: id, Refused: true})
		return
	}
	if c.now.Before(c.leaseUntil()) {
		c.out.Reads = append(c.out.Reads, ReadResult{ID: id, Index: c.committed})
		return
	}
	c.leaderState.pendingReads = append(c.leaderState.pendingReads, pendingRead{id: id, index: c.committed, sentClock: c.nextSentClock()})
	c.leaderState.nextHeartbeat = c.now
}

// answerReads answers the reads that a quorum has confirmed. It answers none
// before the first commit of the term, because the leader may not know of all
// committed entries until then.
func (c *Core) answerReads() {
	if len(c.leaderState.pendingReads) == 0 || c.committed < c.leaderState.noOpIndex {
		return
	}
	sent := c.quorumSentClock()
	remaining := c.leaderState.pendingReads[:0]
	for _, pending := range c.leaderState.pendingReads {
		if sent <= pending.sentClock {
			remaining = append(remaining, pending)
			continue
		}
		index := max(pending.index, c.leaderState.noOpIndex)
		c.out.Reads = append(c.out.Reads, ReadResult{ID: pending.id, Index: index})
	}
	c.leaderState.pendingReads = remaining
}
