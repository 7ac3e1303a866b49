package replicator

import "time"

// outgoingSnapshot is a snapshot being sent to a peer.
type outgoingSnapshot struct {
	snapshot Snapshot
	offset   int
	// sent is the leader's clock in the last message with the chunk at offset.
	sent time.Duration
}

func (o outgoingSnapshot) active() bool { return o.snapshot.Index > 0 }

// incomingSnapshot is a snapshot being received from the leader.
type incomingSnapshot struct {
	from     Identity
	snapshot Snapshot
	data     []byte
}

// handleCompact replaces entries by a snapshot taken by the driver.
func (c *Core) handleCompact(index uint64, data []byte) {
	if index <= c.snapshot.Index || index > c.applied {
		return
	}
	term, _ := c.log.term(index)
	c.snapshot = Snapshot{
		Index:         index,
		Term:          term,
		Stamp:         c.log.entryAt(index).Stamp,
		Configuration: c.configurationAt(index),
		Data:          data,
	}
	snapshot := c.snapshot
	c.write.Snapshot = &snapshot
	c.compactLog(index)
}

// compactLog removes all but the last retainedEntries entries up to a snapshot's
// index, and the configurations before them.
func (c *Core) compactLog(index uint64) {
	if index <= retainedEntries {
		return
	}
	base := index - retainedEntries
	c.log.compact(base)
	at := 0
	for i, p := range c.configurations {
		if p.index <= base {
			at = i
		}
	}
	c.configurations = c.configurations[at:]
}

// startSnapshot starts to send the snapshot to a peer whose next entries are no
// longer in the log.
func (c *Core) startSnapshot(id Identity, p *peer) {
	if p.outgoing.active() {
		return
	}
	p.outgoing = outgoingSnapshot{snapshot: c.snapshot}
	c.sendChunk(id, p)
}

// sendChunk sends the chunk at the peer's offset.
func (c *Core) sendChunk(id Identity, p *peer) {
	chunk := c.emptyChunk(p)
	data := p.outgoing.snapshot.Data
	chunk.Data = data[chunk.Offset:min(len(data), chunk.Offset+c.chunkBytes)]
	p.outgoing.sent = chunk.Sent
	c.send(id, chunk)
}

// emptyChunk returns a chunk without data. As a heartbeat, it makes the peer reply
// with the offset that it needs next.
func (c *Core) emptyChunk(p *peer) SnapshotChunk {
	snapshot := p.outgoing.snapshot
	total := len(snapshot.Data)
	snapshot.Data = nil
	return SnapshotChunk{Snapshot: snapshot, Offset: p.outgoing.offset, Total: total, Sent: c.nextSentClock()}
}

// handleSnapshotReply sends the chunk that the peer needs next. The current chunk
// is resent only if the peer requests it in reply to a later message, because then
// it was lost.
func (c *Core) handleSnapshotReply(from Identity, reply SnapshotReply) {
	if c.state != stateLeader {
		return
	}
	p := c.leaderState.peers[from]
	if p == nil {
		return
	}
	p.lastContact = max(p.lastContact, reply.Sent)
	if !p.outgoing.active() || p.outgoing.snapshot.Index != reply.Index {
		return
	}
	offset := reply.Offset
	if offset < 0 || offset > len(p.outgoing.snapshot.Data) {
		return
	}
	if offset == p.outgoing.offset && reply.Sent <= p.outgoing.sent {
		return
	}
	p.outgoing.offset = offset
	c.sendChunk(from, p)
}

// handleSnapshotChunk collects the chunks of a snapshot and installs it once it is
// complete.
func (c *Core) handleSnapshotChunk(from Identity, chunk SnapshotChunk) {
	index := chunk.Snapshot.Index
	if index <= c.committed {
		c.incoming = incomingSnapshot{}
		c.sendAfterSync(from, AppendReply{Accepted: true, Match: c.committed, Sent: chunk.Sent})
		return
	}
	if c.incoming.from != from || c.incoming.snapshot.Index != index || c.incoming.snapshot.Term != chunk.Snapshot.Term {
		c.incoming = incomingSnapshot{from: from, snapshot: chunk.Snapshot}
	}
	if chunk.Offset == len(c.incoming.data) {
		c.incoming.data = append(c.incoming.data, chunk.Data...)
	}
	if len(c.incoming.data) < chunk.Total {
		c.sendAfterSync(from, SnapshotReply{Index: index, Offset: len(c.incoming.data), Sent: chunk.Sent})
		return
	}
	c.installSnapshot(from, chunk.Sent)
}

// installSnapshot replaces the log and the state by the received snapshot.
func (c *Core) installSnapshot(from Identity, sent time.Duration) {
	snapshot := c.incoming.snapshot
	snapshot.Data = c.incoming.data
	c.incoming = incomingSnapshot{}
	c.snapshot = snapshot
	c.log.reset(snapshot.Index, snapshot.Term)
	c.truncatePendingWrites(1)
	c.configurations = []indexedConfiguration{{snapshot.Index, snapshot.Configuration}}
	c.committed = snapshot.Index
	c.applied = snapshot.Index
	stored, restored := snapshot, snapshot
	c.write.Snapshot = &stored
	c.write.Reset = true
	c.write.Entries = nil
	c.out.Restore = &restored
	c.sendAfterSync(from, AppendReply{Accepted: true, Match: snapshot.Index, Sent: sent})
}
