package replicator

// handleAppendRequest takes in entries of the leader of this term.
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

// skipCommitted drops entries that this member knows to be committed.
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

// mergeEntries appends what is new and cuts off what the leader contradicts.
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

// acceptAppend answers once the entries are on the disk. A heartbeat is
// answered at once, with what is there already, unless the term is not.
func (c *Core) acceptAppend(from Identity, match uint64, request AppendRequest) {
	reply := AppendReply{Accepted: true, Match: match, Sent: request.Sent}
	if len(request.Entries) == 0 && !c.hardStateDirty && len(c.pendingWrites) > 0 && c.hardStateSynced() {
		reply.Match = min(match, c.log.syncedIndex)
		c.send(from, reply)
		return
	}
	c.sendAfterSync(from, reply)
}

// hardStateSynced says whether no write under way carries a hard state.
func (c *Core) hardStateSynced() bool { return c.hardStateSequence <= c.syncedSequence }

// rejectAppend names a better place to go on from.
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
