package replicator

// handleReconfigure appends the configuration after one change.
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

// checkReconfigure holds changes apart: one at a time, and none before an entry
// of this term is committed.
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

// checkNotSelf keeps a leader from removing itself: with the entry in its log
// only, it could neither be elected nor let another one be.
func (c *Core) checkNotSelf(id Identity) error {
	if id == c.id {
		return &InvalidChangeError{Reason: "the leader must hand over first"}
	}
	return nil
}

// maxPromotionLag is how many committed entries a learner may lack when it is
// promoted: under load there are always some on their way.
const maxPromotionLag = 1024

// caughtUp says whether a member has about all that is committed.
func (c *Core) caughtUp(id Identity) bool {
	p := c.leaderState.peers[id]
	return p != nil && p.match > 0 && p.match+maxPromotionLag >= c.committed
}

// handleTransfer begins to hand over to another voter.
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

// mostCaughtUpVoter is the other voter with the longest log.
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

// sendTimeoutNow asks the chosen voter to stand once it has the whole log. From
// the choice on the leader has no lease, so the order may arrive at any time.
func (c *Core) sendTimeoutNow() {
	p := c.leaderState.peers[c.leaderState.transferTarget]
	if p == nil || c.leaderState.timeoutNowSent || p.match < c.log.lastIndex() {
		return
	}
	c.leaderState.timeoutNowSent = true
	c.send(c.leaderState.transferTarget, TimeoutNow{})
}
