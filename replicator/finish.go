package replicator

// finish turns what the step staged into its output.
func (c *Core) finish() {
	if c.position == leading {
		c.advanceCommitted()
		c.replicate()
		c.answerReads()
	}
	c.stageWrite()
	c.release()
	c.stageApply()
}

// stageWrite gives the staged changes a sequence number.
func (c *Core) stageWrite() {
	if !c.hardDirty && c.write.Snapshot == nil && len(c.write.Entries) == 0 {
		return
	}
	if c.hardDirty {
		hard := c.hard
		c.write.Hard = &hard
		c.hardDirty = false
	}
	c.writeSequence++
	write := c.write
	write.Sequence = c.writeSequence
	if write.Hard != nil {
		c.hardSequence = write.Sequence
	}
	c.out.Write = &write
	c.pending = append(c.pending, pendingWrite{
		sequence: write.Sequence,
		last:     lastDurable(write),
		since:    c.now,
	})
	c.write = Write{}
}

func lastDurable(write Write) uint64 {
	last := uint64(0)
	if write.Snapshot != nil && write.Reset {
		last = write.Snapshot.Index
	}
	if n := len(write.Entries); n > 0 {
		last = write.Entries[n-1].Index
	}
	return last
}

// release sends what waits for no write and holds back the rest.
func (c *Core) release() {
	for _, envelope := range c.afterSync {
		c.held = append(c.held, heldMessage{c.writeSequence, envelope})
	}
	c.afterSync = nil
	released := 0
	for released < len(c.held) && c.held[released].sequence <= c.syncSequence {
		released++
	}
	for at, held := range c.held[:released] {
		if at+1 < released && covers(c.held[at+1].envelope, held.envelope) {
			continue
		}
		c.out.Messages = append(c.out.Messages, held.envelope)
	}
	c.held = c.held[released:]
}

// covers says whether a later answer tells all that an earlier one does.
func covers(later, earlier Envelope) bool {
	before, ok := earlier.Message.(AppendReply)
	after, also := later.Message.(AppendReply)
	if !ok || !also || later.To != earlier.To || later.Term != earlier.Term {
		return false
	}
	return before.Accepted && after.Accepted && after.Match >= before.Match && after.Sent >= before.Sent
}

// synced notes what the disk has.
func (c *Core) synced(sequence uint64) {
	c.syncSequence = max(c.syncSequence, sequence)
	for len(c.pending) > 0 && c.pending[0].sequence <= sequence {
		c.log.synced = max(c.log.synced, c.pending[0].last)
		c.pending = c.pending[1:]
	}
	c.winOwnVote()
}

// forgetPending lowers what writes under way make durable, after a truncation.
func (c *Core) forgetPending(from uint64) {
	for i := range c.pending {
		c.pending[i].last = min(c.pending[i].last, from-1)
	}
}

// stageEntries appends entries to the log and to the write.
func (c *Core) stageEntries(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	c.log.append(entries...)
	c.noteConfigurations(entries)
	c.write.Entries = append(c.write.Entries, entries...)
}

// stageApply returns what is committed and on the disk.
func (c *Core) stageApply() {
	upTo := min(c.committed, c.log.synced)
	if upTo <= c.applied {
		return
	}
	c.out.Apply = c.log.between(c.applied, upTo)
	c.applied = upTo
}

// stalled says whether the disk has not answered for so long that another
// member should lead.
func (c *Core) stalled() bool {
	return len(c.pending) > 0 && c.now.Sub(c.pending[0].since) > c.timing.ElectionMax
}
