package replicator

// reconfigure appends the configuration after one change.
func (c *Core) reconfigure(change Change) {
	if err := c.mayReconfigure(change); err != nil {
		c.out.Refusal = err
		return
	}
	next, err := c.configuration().With(change)
	if err != nil {
		c.out.Refusal = err
		return
	}
	index := c.appendOwn(Reconfigured{Configuration: next})
	c.syncPeers()
	c.out.Proposed = &Proposed{First: index, Term: c.hard.Term}
}

// mayReconfigure holds changes apart: one at a time, and none before an entry
// of this term is committed.
func (c *Core) mayReconfigure(change Change) error {
	if refusal := c.refusal(); refusal != nil {
		return refusal
	}
	if c.committed < c.lead.first {
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
		return c.notItself(change.ID)
	case Remove:
		return c.notItself(change.ID)
	}
	return nil
}

// notItself keeps a leader from removing itself: with the entry in its log
// only, it could neither be elected nor let another one be.
func (c *Core) notItself(id Identity) error {
	if id == c.id {
		return &InvalidChangeError{Reason: "the leader must hand over first"}
	}
	return nil
}

// promotionLag is how many committed entries a learner may lack when it is
// promoted: under load there are always some on their way.
const promotionLag = 1024

// caughtUp says whether a member has about all that is committed.
func (c *Core) caughtUp(id Identity) bool {
	p := c.lead.peers[id]
	return p != nil && p.match > 0 && p.match+promotionLag >= c.committed
}

// transfer begins to hand over to another voter.
func (c *Core) transfer(target Identity) {
	if refusal := c.refusal(); refusal != nil {
		c.out.Refusal = refusal
		return
	}
	if target == (Identity{}) {
		target = c.furthest()
	}
	if target == c.id || !c.configuration().Votes(target) {
		c.out.Refusal = &InvalidChangeError{Reason: "no such other voter"}
		return
	}
	c.lead.target = target
	c.lead.handoverUntil = c.now.Add(c.timing.ElectionMax)
}

// furthest is the other voter with the longest log.
func (c *Core) furthest() Identity {
	var best Identity
	var match uint64
	for _, member := range c.configuration().Members {
		p := c.lead.peers[member.ID]
		if p == nil || member.Role != Voter {
			continue
		}
		if best == (Identity{}) || p.match > match {
			best, match = member.ID, p.match
		}
	}
	return best
}

// askSuccessor asks the chosen voter to stand once it has the whole log. From
// the choice on the leader has no lease, so the order may arrive at any time.
func (c *Core) askSuccessor() {
	p := c.lead.peers[c.lead.target]
	if p == nil || c.lead.asked || p.match < c.log.last() {
		return
	}
	c.lead.asked = true
	c.send(c.lead.target, StandNow{})
}
