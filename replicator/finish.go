package replicator

// finish completes the output of the current step.
func (c *Core) finish() {
	if c.state == stateLeader {
		c.advanceCommitted()
		c.replicate()
		c.answerReads()
	}
	c.stageWrite()
	c.releaseMessages()
	c.stageApply()
}

// stageWrite adds the staged changes to the output as one numbered write.
func (c *Core) stageWrite() {
	if !c.hardStateDirty && c.write.Snapshot == nil && len(c.write.Entries) == 0 {
		return
	}
	if c.hardStateDirty {
		hardState := c.hardState
		c.write.HardState = &hardState
		c.hardStateDirty = false
	}
	c.writeSequence++
	write := c.write
	write.Sequence = c.writeSequence
	if write.HardState != nil {
		c.hardStateSequence = write.Sequence
	}
	c.out.Write = &write
	c.pendingWrites = append(c.pendingWrites, pendingWrite{
		sequence:  write.Sequence,
		lastIndex: lastDurableIndex(write),
		since:     c.now,
	})
	c.write = Write{}
}

func lastDurableIndex(write Write) uint64 {
	last := uint64(0)
	if write.Snapshot != nil && write.Reset {
		last = write.Snapshot.Index
	}
	if n := len(write.Entries); n > 0 {
		last = write.Entries[n-1].Index
	}
	return last
}

// releaseMessages sends the held messages whose writes are synced. A reply that
// is superseded by the next one is dropped.
func (c *Core) releaseMessages() {
	for _, envelope := range c.afterSync {
		c.heldMessages = append(c.heldMessages, heldMessage{c.writeSequence, envelope})
	}
	c.afterSync = nil
	released := 0
	for released < len(c.heldMessages) && c.heldMessages[released].sequence <= c.syncedSequence {
		released++
	}
	for i, held := range c.heldMessages[:released] {
		if i+1 < released && supersedes(c.heldMessages[i+1].envelope, held.envelope) {
			continue
		}
		c.out.Messages = append(c.out.Messages, held.envelope)
	}
	c.heldMessages = c.heldMessages[released:]
}

// supersedes reports whether the later message is an append reply that contains
// all information of the earlier one.
func supersedes(later, earlier Envelope) bool {
	earlierReply, earlierIsReply := earlier.Message.(AppendReply)
	laterReply, laterIsReply := later.Message.(AppendReply)
	if !earlierIsReply || !laterIsReply || later.To != earlier.To || later.Term != earlier.Term {
		return false
	}
	return earlierReply.Accepted && laterReply.Accepted && laterReply.Match >= earlierReply.Match && laterReply.Sent >= earlierReply.Sent
}

// handleSynced records that the writes up to a sequence number are synced.
func (c *Core) handleSynced(sequence uint64) {
	c.syncedSequence = max(c.syncedSequence, sequence)
	for len(c.pendingWrites) > 0 && c.pendingWrites[0].sequence <= sequence {
		c.log.syncedIndex = max(c.log.syncedIndex, c.pendingWrites[0].lastIndex)
		c.pendingWrites = c.pendingWrites[1:]
	}
	c.countOwnVote()
}

// truncatePendingWrites limits the index that pending writes make durable after
// the log was truncated from an index on.
func (c *Core) truncatePendingWrites(from uint64) {
	for i := range c.pendingWrites {
		c.pendingWrites[i].lastIndex = min(c.pendingWrites[i].lastIndex, from-1)
	}
}

// stageEntries appends entries to the log and to the staged write.
func (c *Core) stageEntries(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	c.log.append(entries...)
	c.recordConfigurations(entries)
	c.write.Entries = append(c.write.Entries, entries...)
}

// stageApply adds the entries that are committed and synced to the output.
func (c *Core) stageApply() {
	upTo := min(c.committed, c.log.syncedIndex)
	if upTo <= c.applied {
		return
	}
	c.out.Apply = c.log.between(c.applied, upTo)
	c.applied = upTo
}

// diskStalled reports whether the oldest pending write has taken longer than
// ElectionMax, so that another member should lead.
func (c *Core) diskStalled() bool {
	return len(c.pendingWrites) > 0 && c.now.Sub(c.pendingWrites[0].since) > c.timing.ElectionMax
}
