package replicator

import "time"

// outgoing is a snapshot on its way to a peer.
type outgoing struct {
	snapshot Snapshot
	offset   int
	// sent is the leader's clock in the chunk at offset.
	sent time.Duration
}

func (o outgoing) active() bool { return o.snapshot.Index > 0 }

// incoming is a snapshot on its way to this member.
type incoming struct {
	from     Identity
	snapshot Snapshot
	data     []byte
}

// compact replaces entries by a state that the driver has taken.
func (c *Core) compact(index uint64, data []byte) {
	if index <= c.snapshot.Index || index > c.applied {
		return
	}
	term, _ := c.log.term(index)
	c.snapshot = Snapshot{
		Index:         index,
		Term:          term,
		Stamp:         c.log.at(index).Stamp,
		Configuration: c.configurationAt(index),
		Data:          data,
	}
	snapshot := c.snapshot
	c.write.Snapshot = &snapshot
	c.keepTail(index)
}

// keepTail forgets all but some entries before a snapshot.
func (c *Core) keepTail(index uint64) {
	if index <= keptEntries {
		return
	}
	base := index - keptEntries
	c.log.compact(base)
	at := 0
	for i, p := range c.configurations {
		if p.index <= base {
			at = i
		}
	}
	c.configurations = c.configurations[at:]
}

// sendSnapshot begins to send the snapshot to a peer whose next entries are
// gone.
func (c *Core) sendSnapshot(id Identity, p *peer) {
	if p.outgoing.active() {
		return
	}
	p.outgoing = outgoing{snapshot: c.snapshot}
	c.sendChunk(id, p)
}

// sendChunk sends the chunk at the offset.
func (c *Core) sendChunk(id Identity, p *peer) {
	chunk := c.chunkFor(p)
	data := p.outgoing.snapshot.Data
	chunk.Data = data[chunk.Offset:min(len(data), chunk.Offset+c.chunk)]
	p.outgoing.sent = chunk.Sent
	c.send(id, chunk)
}

// chunkFor returns a chunk without data, which asks for what is wanted next.
func (c *Core) chunkFor(p *peer) SnapshotChunk {
	snapshot := p.outgoing.snapshot
	total := len(snapshot.Data)
	snapshot.Data = nil
	return SnapshotChunk{Snapshot: snapshot, Offset: p.outgoing.offset, Total: total, Sent: c.sentClock()}
}

// takeSnapshotReply sends the chunk that is wanted next. One that is wanted by
// an answer to a later message was lost.
func (c *Core) takeSnapshotReply(from Identity, reply SnapshotReply) {
	if c.position != leading {
		return
	}
	p := c.lead.peers[from]
	if p == nil {
		return
	}
	p.contact = max(p.contact, reply.Sent)
	if !p.outgoing.active() || p.outgoing.snapshot.Index != reply.Index {
		return
	}
	wanted := reply.Offset
	if wanted < 0 || wanted > len(p.outgoing.snapshot.Data) {
		return
	}
	if wanted == p.outgoing.offset && reply.Sent <= p.outgoing.sent {
		return
	}
	p.outgoing.offset = wanted
	c.sendChunk(from, p)
}

// takeChunk collects a snapshot and installs it when it is whole.
func (c *Core) takeChunk(from Identity, chunk SnapshotChunk) {
	index := chunk.Snapshot.Index
	if index <= c.committed {
		c.incoming = incoming{}
		c.sendSynced(from, AppendReply{Accepted: true, Match: c.committed, Sent: chunk.Sent})
		return
	}
	if c.incoming.from != from || c.incoming.snapshot.Index != index || c.incoming.snapshot.Term != chunk.Snapshot.Term {
		c.incoming = incoming{from: from, snapshot: chunk.Snapshot}
	}
	if chunk.Offset == len(c.incoming.data) {
		c.incoming.data = append(c.incoming.data, chunk.Data...)
	}
	if len(c.incoming.data) < chunk.Total {
		c.sendSynced(from, SnapshotReply{Index: index, Offset: len(c.incoming.data), Sent: chunk.Sent})
		return
	}
	c.install(from, chunk.Sent)
}

// install replaces log and state by a whole snapshot.
func (c *Core) install(from Identity, sent time.Duration) {
	snapshot := c.incoming.snapshot
	snapshot.Data = c.incoming.data
	c.incoming = incoming{}
	c.snapshot = snapshot
	c.log.reset(snapshot.Index, snapshot.Term)
	c.forgetPending(1)
	c.configurations = []placed{{snapshot.Index, snapshot.Configuration}}
	c.committed = snapshot.Index
	c.applied = snapshot.Index
	stored, restored := snapshot, snapshot
	c.write.Snapshot = &stored
	c.write.Reset = true
	c.write.Entries = nil
	c.out.Restore = &restored
	c.sendSynced(from, AppendReply{Accepted: true, Match: snapshot.Index, Sent: sent})
}
