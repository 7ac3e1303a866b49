package replicator

// receive handles a message from another member.
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

// acceptsGroup reports whether a message is from this member's group. A member
// without a group accepts any group that addresses it with its disk identity.
func (c *Core) acceptsGroup(envelope Envelope) bool {
	if c.hardState.Group == "" {
		return envelope.Group != ""
	}
	return envelope.Group == c.hardState.Group
}

// handleHigherTerm enters the newer term of a message, except for a pre-vote. It
// reports whether the message should be processed. Vote requests are ignored while
// a leader may hold a lease, unless mayVoteEarly allows them or the leader has
// transferred its leadership.
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

// replyToLowerTerm answers a message of an older term, so that its sender learns
// the newer one.
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

// recordLeaderContact records a message from the leader of this term.
func (c *Core) recordLeaderContact(envelope Envelope) {
	c.joinGroup(envelope.Group)
	if c.state != stateFollower {
		c.becomeFollower(envelope.Term, envelope.From)
	}
	c.leader = envelope.From
	c.lastLeaderContact, c.leaderSeen = c.now, true
	c.resetElectionTimer()
}
