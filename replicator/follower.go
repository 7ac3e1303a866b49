package replicator

// takeAppend takes in entries of the leader of this term.
func (c *Core) takeAppend(from Identity, request AppendRequest) {
	if request.PreviousIndex < c.committed {
		request = skipCommitted(request, c.committed)
		if request.PreviousIndex < c.committed {
			c.replyMatch(from, c.committed, request)
			return
		}
	}
	term, known := c.log.term(request.PreviousIndex)
	if !known || term != request.PreviousTerm {
		if known && request.PreviousIndex <= c.committed {
			c.out.Fault = &CommittedConflictError{Index: request.PreviousIndex}
			return
		}
		c.refuse(from, request)
		return
	}
	if !c.merge(request.Entries) {
		return
	}
	match := request.PreviousIndex + uint64(len(request.Entries))
	c.committed = max(c.committed, min(request.Committed, match))
	c.replyMatch(from, match, request)
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

// merge appends what is new and cuts off what the leader contradicts.
func (c *Core) merge(entries []Entry) bool {
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
			c.forgetPending(entry.Index)
			c.forgetConfigurations(entry.Index)
		}
		c.stageEntries(entries[i:])
		return true
	}
	return true
}

// replyMatch answers once the entries are on the disk. A heartbeat is
// answered at once, with what is there already, unless the term is not.
func (c *Core) replyMatch(from Identity, match uint64, request AppendRequest) {
	reply := AppendReply{Accepted: true, Match: match, Sent: request.Sent}
	if len(request.Entries) == 0 && !c.hardDirty && len(c.pending) > 0 && c.hardSynced() {
		reply.Match = min(match, c.log.synced)
		c.send(from, reply)
		return
	}
	c.sendSynced(from, reply)
}

// hardSynced says whether no write under way carries a hard state.
func (c *Core) hardSynced() bool { return c.hardSequence <= c.syncSequence }

// refuse names a better place to go on from.
func (c *Core) refuse(from Identity, request AppendRequest) {
	next := c.log.last() + 1
	if request.PreviousIndex <= c.log.last() {
		next = c.log.firstOfTerm(request.PreviousIndex)
	}
	next = max(next, c.committed+1)
	c.sendSynced(from, AppendReply{
		Previous: request.PreviousIndex,
		Next:     next,
		Sent:     request.Sent,
	})
}
