package replicator

// mayCampaign reports whether this member may campaign: it must be a voter whose
// disk is not stalled.
func (c *Core) mayCampaign() bool {
	return c.configuration().IsVoter(c.id) && !c.diskStalled()
}

// startPreVote asks the voters for pre-votes without starting a new term.
func (c *Core) startPreVote() {
	c.resetElectionTimer()
	c.state = statePreCandidate
	c.leader = Identity{}
	c.transferring = false
	c.votes = map[Identity]bool{}
	c.recoveringVoters = map[Identity]bool{}
	c.sendPreVoteRequests()
}

// sendPreVoteRequests asks the voters that have not granted a pre-vote. It is
// repeated, because voters, including this one, refuse until ElectionMin has
// passed since the last message from a leader.
func (c *Core) sendPreVoteRequests() {
	c.votes[c.id] = c.isOnlyVoter() || !c.leaderMayHoldLease()
	if c.wonElection() {
		c.campaign(false)
		return
	}
	c.nextPreVote = c.now.Add(c.timing.Heartbeat)
	for _, member := range c.configuration().Members {
		if member.Role == Voter && member.ID != c.id && !c.votes[member.ID] {
			request := c.voteRequest()
			request.Pre = true
			envelope := c.envelope(member.ID, c.hardState.Term+1, request)
			c.out.Messages = append(c.out.Messages, envelope)
		}
	}
}

// campaign starts an election in a new term. This member's own vote counts once
// it is synced.
func (c *Core) campaign(transferring bool) {
	c.resetElectionTimer()
	c.state = stateCandidate
	c.campaigned = true
	c.leader = Identity{}
	c.transferring = transferring
	c.votes = map[Identity]bool{}
	c.setHardState(c.hardState.Term+1, c.id)
	for _, member := range c.configuration().Members {
		if member.Role == Voter && member.ID != c.id {
			c.sendAfterSync(member.ID, c.voteRequest())
		}
	}
}

func (c *Core) voteRequest() VoteRequest {
	return VoteRequest{LastIndex: c.log.lastIndex(), LastTerm: c.log.lastTerm(), Transfer: c.transferring}
}

// countOwnVote counts this member's own vote once all pending writes are synced.
func (c *Core) countOwnVote() {
	if c.state != stateCandidate || len(c.pendingWrites) > 0 {
		return
	}
	c.votes[c.id] = true
	if c.wonElection() {
		c.becomeLeader()
	}
}

func (c *Core) wonElection() bool {
	granted := 0
	for _, member := range c.configuration().Members {
		if member.Role == Voter && c.votes[member.ID] {
			granted++
		}
	}
	return granted >= c.configuration().Quorum()
}

// leaderMayHoldLease reports whether a leader was in contact within ElectionMin
// and may therefore still hold a lease.
func (c *Core) leaderMayHoldLease() bool {
	if c.state == stateLeader {
		return c.now.Sub(c.quorumContact()) < c.timing.ElectionMin
	}
	return c.now.Sub(c.lastLeaderContact) < c.timing.ElectionMin
}

func (c *Core) handleVoteRequest(from Identity, term uint64, request VoteRequest) {
	granted := c.grantsVote(from, term, request)
	reply := VoteReply{Pre: request.Pre, Granted: granted}
	if request.Pre {
		replyTerm := c.hardState.Term
		if granted {
			replyTerm = term
		}
		c.out.Messages = append(c.out.Messages, c.envelope(from, replyTerm, reply))
		return
	}
	if granted {
		c.setHardState(c.hardState.Term, from)
		c.resetElectionTimer()
	}
	c.sendAfterSync(from, reply)
}

func (c *Core) grantsVote(from Identity, term uint64, request VoteRequest) bool {
	if request.LastTerm < c.log.lastTerm() {
		return false
	}
	if request.LastTerm == c.log.lastTerm() && request.LastIndex < c.log.lastIndex() {
		return false
	}
	if request.Pre {
		return term > c.hardState.Term
	}
	return c.hardState.Vote == Identity{} || c.hardState.Vote == from
}

func (c *Core) handleVoteReply(from Identity, term uint64, reply VoteReply) {
	if !reply.Granted {
		if reply.Recovering {
			c.handleRecovering(from, term)
		}
		return
	}
	switch {
	case reply.Pre && c.state == statePreCandidate && term == c.hardState.Term+1:
		c.votes[from] = true
		if c.wonElection() {
			c.campaign(false)
		}
	case !reply.Pre && c.state == stateCandidate && term == c.hardState.Term:
		c.votes[from] = true
		if c.wonElection() {
			c.becomeLeader()
		}
	}
}

// handleTimeoutNow campaigns at the request of the leader.
func (c *Core) handleTimeoutNow() {
	if c.state == stateFollower && c.mayCampaign() {
		c.campaign(true)
	}
}
