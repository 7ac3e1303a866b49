package replicator

// handleReconfigure appends an entry with the changed configuration.
func (c *Core) handleReconfigure(change Change) {
	if err := c.checkReconfigure(change); err != nil {
		c.out.Refusal = err
		return
	}
	next, err := c.configuration().With(change)
	if err != nil {
		c.out.Refusal = err
		return
	}
	index := c.appendEntry(Reconfigured{Configuration: next})
	c.updatePeers()
	c.out.Proposed = &Proposed{First: index, Term: c.hardState.Term}
}

// checkReconfigure allows one change at a time, and none before an entry of the
// current term is committed.
func (c *Core) checkReconfigure(change Change) error {
	if refusal := c.proposalRefusal(); refusal != nil {
		return refusal
	}
	if c.committed < c.leaderState.noOpIndex {
		return &NotReadyError{Reason: "nothing of this term is committed"}
	}
	if c.configurations[len(c.configurations)-1].index > c.committed {
		return &NotReadyError{Reason: "another change is under way"}
	}
	switch change := change.(type) {
	case Promote:
		if !c.caughtUp(change.ID) {
			return &NotReadyError{Reason: "learner has not caught up"}
		}
	case Demote:
		return c.checkNotSelf(change.ID)
	case Remove:
		return c.checkNotSelf(change.ID)
	}
	return nil
}

// checkNotSelf prevents a leader from demoting or removing itself. If only its own
// log had the entry, it could neither be elected nor grant a vote to another
// member.
func (c *Core) checkNotSelf(id Identity) error {
	if id == c.id {
		return &InvalidChangeError{Reason: "the leader must hand over first"}
	}
	return nil
}

// maxPromotionLag is how many committed entries a learner may lack when it is
// promoted. It is not zero because under load some are always in flight.
const maxPromotionLag = 1024

// caughtUp reports whether a member lacks at most maxPromotionLag committed
// entries.
func (c *Core) caughtUp(id Identity) bool {
	p := c.leaderState.peers[id]
	return p != nil && p.match > 0 && p.match+maxPromotionLag >= c.committed
}

// handleTransfer starts to transfer leadership to another voter.
func (c *Core) handleTransfer(target Identity) {
	if refusal := c.proposalRefusal(); refusal != nil {
		c.out.Refusal = refusal
		return
	}
	if target == (Identity{}) {
		target = c.mostCaughtUpVoter()
	}
	if target == c.id || !c.configuration().IsVoter(target) {
		c.out.Refusal = &InvalidChangeError{Reason: "no such other voter"}
		return
	}
	c.leaderState.transferTarget = target
	c.leaderState.transferDeadline = c.now.Add(c.timing.ElectionMax)
}

// mostCaughtUpVoter returns the other voter with the highest match index.
func (c *Core) mostCaughtUpVoter() Identity {
	var best Identity
	var match uint64
	for _, member := range c.configuration().Members {
		p := c.leaderState.peers[member.ID]
		if p == nil || member.Role != Voter {
			continue
		}
		if best == (Identity{}) || p.match > match {
			best, match = member.ID, p.match
		}
	}
	return best
}

// sendTimeoutNow asks the transfer target to campaign once it has the whole log.
// The message may arrive at any time, because the leader has held no lease since
// the transfer started.
func (c *Core) sendTimeoutNow() {
	p := c.leaderState.peers[c.leaderState.transferTarget]
	if p == nil || c.leaderState.timeoutNowSent || p.match < c.log.lastIndex() {
		return
	}
	c.leaderState.timeoutNowSent = true
	c.send(c.leaderState.transferTarget, TimeoutNow{})
}
