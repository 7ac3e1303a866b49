package replicator

// mayStand says whether this member may stand for election: a voter with a
// disk that answers.
func (c *Core) mayStand() bool {
	return c.configuration().Votes(c.id) && !c.stalled()
}

// canvass asks the voters whether they would vote, without a new term.
func (c *Core) canvass() {
	c.restartElection()
	c.position = canvassing
	c.leader = Identity{}
	c.handover = false
	c.votes = map[Identity]bool{}
	c.freshVoters = map[Identity]bool{}
	c.askAgain()
}

// askAgain asks those that have not granted a pre-vote. Voters, this one
// included, refuse while they have heard a leader lately, which may be over a
// moment later.
func (c *Core) askAgain() {
	c.votes[c.id] = c.alone() || !c.loyal()
	if c.won() {
		c.stand(false)
		return
	}
	c.nextCanvass = c.now.Add(c.timing.Heartbeat)
	for _, member := range c.configuration().Members {
		if member.Role == Voter && member.ID != c.id && !c.votes[member.ID] {
			request := c.voteRequest()
			request.Pre = true
			envelope := c.envelope(member.ID, c.hard.Term+1, request)
			c.out.Messages = append(c.out.Messages, envelope)
		}
	}
}

// stand starts an election in a new term. The own vote counts once it is on
// the disk.
func (c *Core) stand(handover bool) {
	c.restartElection()
	c.position = standing
	c.stood = true
	c.leader = Identity{}
	c.handover = handover
	c.votes = map[Identity]bool{}
	c.setHard(c.hard.Term+1, c.id)
	for _, member := range c.configuration().Members {
		if member.Role == Voter && member.ID != c.id {
			c.sendSynced(member.ID, c.voteRequest())
		}
	}
}

func (c *Core) voteRequest() VoteRequest {
	return VoteRequest{LastIndex: c.log.last(), LastTerm: c.log.lastTerm(), Handover: c.handover}
}

// winOwnVote counts the own vote after a sync.
func (c *Core) winOwnVote() {
	if c.position != standing || len(c.pending) > 0 {
		return
	}
	c.votes[c.id] = true
	if c.won() {
		c.beginLead()
	}
}

func (c *Core) won() bool {
	granted := 0
	for _, member := range c.configuration().Members {
		if member.Role == Voter && c.votes[member.ID] {
			granted++
		}
	}
	return granted >= c.configuration().Quorum()
}

// loyal says whether a leader was heard so lately that it may hold a lease.
func (c *Core) loyal() bool {
	if c.position == leading {
		return c.now.Sub(c.quorumContact()) < c.timing.ElectionMin
	}
	return c.now.Sub(c.heard) < c.timing.ElectionMin
}

func (c *Core) takeVoteRequest(from Identity, term uint64, request VoteRequest) {
	granted := c.grants(from, term, request)
	reply := VoteReply{Pre: request.Pre, Granted: granted}
	if request.Pre {
		replyTerm := c.hard.Term
		if granted {
			replyTerm = term
		}
		c.out.Messages = append(c.out.Messages, c.envelope(from, replyTerm, reply))
		return
	}
	if granted {
		c.setHard(c.hard.Term, from)
		c.restartElection()
	}
	c.sendSynced(from, reply)
}

func (c *Core) grants(from Identity, term uint64, request VoteRequest) bool {
	if request.LastTerm < c.log.lastTerm() {
		return false
	}
	if request.LastTerm == c.log.lastTerm() && request.LastIndex < c.log.last() {
		return false
	}
	if request.Pre {
		return term > c.hard.Term
	}
	return c.hard.Vote == Identity{} || c.hard.Vote == from
}

func (c *Core) takeVoteReply(from Identity, term uint64, reply VoteReply) {
	if !reply.Granted {
		if reply.Fresh {
			c.takeFresh(from, term)
		}
		return
	}
	switch {
	case reply.Pre && c.position == canvassing && term == c.hard.Term+1:
		c.votes[from] = true
		if c.won() {
			c.stand(false)
		}
	case !reply.Pre && c.position == standing && term == c.hard.Term:
		c.votes[from] = true
		if c.won() {
			c.beginLead()
		}
	}
}

// takeStandNow stands for election on the word of the leader.
func (c *Core) takeStandNow() {
	if c.position == following && c.mayStand() {
		c.stand(true)
	}
}
