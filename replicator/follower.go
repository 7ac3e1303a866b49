package replicator

// handleAppendRequest appends entries from the leader of this term.
func (c *Core) handleAppendRequest(from Identity, request AppendRequest) {
	if request.PreviousIndex < c.committed {
		request = skipCommitted(request, c.committed)
		if request.PreviousIndex < c.committed {
			c.acceptAppend(from, c.committed, request)
			return
		}
	}
	term, known := c.log.term(request.PreviousIndex)
	if !known || term != request.PreviousTerm {
		if known && request.PreviousIndex <= c.committed {
			c.out.Fault = &CommittedConflictError{Index: request.PreviousIndex}
			return
		}
		c.rejectAppend(from, request)
		return
	}
	if !c.mergeEntries(request.Entries) {
		return
	}
	match := request.PreviousIndex + uint64(len(request.Entries))
	c.committed = max(c.committed, min(request.Committed, match))
	c.acceptAppend(from, match, request)
}

// skipCommitted drops the entries up to the committed index from a request. It
// returns the request unchanged if it ends before that index.
func skipCommitted(request AppendRequest, committed uint64) AppendRequest {
	skip := committed - request.PreviousIndex
	if uint64(len(request.Entries)) < skip {
		return request
	}
	request.PreviousIndex = committed
	request.PreviousTerm = request.Entries[skip-1].Term
	request.Entries = request.Entries[skip:]
	return request
}

// mergeEntries appends new entries after truncating the log from the first
// conflicting one. It returns false if a committed entry conflicts.
func (c *Core) mergeEntries(entries []Entry) bool {
	for i, entry := range entries {
		term, known := c.log.term(entry.Index)
		if known && term == entry.Term {
			continue
		}
		if known {
			if entry.Index <= c.committed {
				c.out.Fault = &CommittedConflictError{Index: entry.Index}
				return false
			}
			c.log.truncate(entry.Index)
			c.truncatePendingWrites(entry.Index)
			c.truncateConfigurations(entry.Index)
		}
		c.stageEntries(entries[i:])
		return true
	}
	return true
}

// acceptAppend replies once the entries are synced. While writes are pending, a
// heartbeat is answered immediately with the index synced so far, unless the hard
// state is not synced yet.
func (c *Core) acceptAppend(from Identity, match uint64, request AppendRequest) {
	reply := AppendReply{Accepted: true, Match: match, Sent: request.Sent}
	if len(request.Entries) == 0 && !c.hardStateDirty && len(c.pendingWrites) > 0 && c.hardStateSynced() {
		reply.Match = min(match, c.log.syncedIndex)
		c.send(from, reply)
		return
	}
	c.sendAfterSync(from, reply)
}

// hardStateSynced reports whether no pending write contains a hard state.
func (c *Core) hardStateSynced() bool { return c.hardStateSequence <= c.syncedSequence }

// rejectAppend refuses a request and suggests the index to continue from.
func (c *Core) rejectAppend(from Identity, request AppendRequest) {
	next := c.log.lastIndex() + 1
	if request.PreviousIndex <= c.log.lastIndex() {
		next = c.log.firstOfTerm(request.PreviousIndex)
	}
	next = max(next, c.committed+1)
	c.sendAfterSync(from, AppendReply{
		Previous: request.PreviousIndex,
		Next:     next,
		Sent:     request.Sent,
	})
}
