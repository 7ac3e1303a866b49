package replicator

// receive takes in a message.
func (c *Core) receive(envelope Envelope) {
	if envelope.To != c.id || !c.acceptsGroup(envelope) {
		return
	}
	if envelope.Term > c.hardState.Term && !c.handleHigherTerm(envelope) {
		return
	}
	if envelope.Term < c.hardState.Term {
		c.replyToLowerTerm(envelope)
		return
	}
	c.dispatch(envelope)
}

// acceptsGroup drops messages of another group. A member without a group joins the
// one that addresses it by its disk.
func (c *Core) acceptsGroup(envelope Envelope) bool {
	if c.hardState.Group == "" {
		return envelope.Group != ""
	}
	return envelope.Group == c.hardState.Group
}

// handleHigherTerm follows into a newer term. It is false where the message is
// not to be heard.
func (c *Core) handleHigherTerm(envelope Envelope) bool {
	switch message := envelope.Message.(type) {
	case VoteRequest:
		leaseMayHold := !message.Transfer && c.leaderMayHoldLease()
		if message.Pre {
			if leaseMayHold {
				c.reportRecovering(envelope)
			}
			return !leaseMayHold
		}
		if leaseMayHold && !c.mayVoteEarly(envelope) {
			return false
		}
		c.becomeFollower(envelope.Term, Identity{})
	case VoteReply:
		if message.Pre && message.Granted {
			return true
		}
		c.becomeFollower(envelope.Term, Identity{})
	case AppendRequest, SnapshotChunk:
		c.becomeFollower(envelope.Term, envelope.From)
	default:
		c.becomeFollower(envelope.Term, Identity{})
	}
	return true
}

// replyToLowerTerm tells the sender of the newer term.
func (c *Core) replyToLowerTerm(envelope Envelope) {
	switch message := envelope.Message.(type) {
	case VoteRequest:
		if message.Pre {
			c.sendAfterSync(envelope.From, VoteReply{Pre: true})
		}
	case AppendRequest, SnapshotChunk:
		c.sendAfterSync(envelope.From, AppendReply{})
	}
}

func (c *Core) dispatch(envelope Envelope) {
	from := envelope.From
	switch message := envelope.Message.(type) {
	case VoteRequest:
		c.joinGroup(envelope.Group)
		c.handleVoteRequest(from, envelope.Term, message)
	case VoteReply:
		c.handleVoteReply(from, envelope.Term, message)
	case AppendRequest:
		c.recordLeaderContact(envelope)
		c.handleAppendRequest(from, message)
	case AppendReply:
		c.handleAppendReply(from, message)
	case SnapshotChunk:
		c.recordLeaderContact(envelope)
		c.handleSnapshotChunk(from, message)
	case SnapshotReply:
		c.handleSnapshotReply(from, message)
	case TimeoutNow:
		c.handleTimeoutNow()
	}
}

// recordLeaderContact notes that the leader of this term is alive.
func (c *Core) recordLeaderContact(envelope Envelope) {
	c.joinGroup(envelope.Group)
	if c.state != stateFollower {
		c.becomeFollower(envelope.Term, envelope.From)
	}
	c.leader = envelope.From
	c.lastLeaderContact, c.leaderSeen = c.now, true
	c.resetElectionTimer()
}
