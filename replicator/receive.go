package replicator

// receive takes in a message.
func (c *Core) receive(envelope Envelope) {
	if envelope.To != c.id || !c.ofGroup(envelope) {
		return
	}
	if envelope.Term > c.hard.Term && !c.takeHigherTerm(envelope) {
		return
	}
	if envelope.Term < c.hard.Term {
		c.answerLowerTerm(envelope)
		return
	}
	c.dispatch(envelope)
}

// ofGroup drops messages of another group. A member without a group joins the
// one that addresses it by its disk.
func (c *Core) ofGroup(envelope Envelope) bool {
	if c.hard.Group == "" {
		return envelope.Group != ""
	}
	return envelope.Group == c.hard.Group
}

// takeHigherTerm follows into a newer term. It is false where the message is
// not to be heard.
func (c *Core) takeHigherTerm(envelope Envelope) bool {
	switch message := envelope.Message.(type) {
	case VoteRequest:
		loyal := !message.Handover && c.loyal()
		if message.Pre {
			if loyal {
				c.tellFresh(envelope)
			}
			return !loyal
		}
		if loyal && !c.mayVoteEarly(envelope) {
			return false
		}
		c.follow(envelope.Term, Identity{})
	case VoteReply:
		if message.Pre && message.Granted {
			return true
		}
		c.follow(envelope.Term, Identity{})
	case AppendRequest, SnapshotChunk:
		c.follow(envelope.Term, envelope.From)
	default:
		c.follow(envelope.Term, Identity{})
	}
	return true
}

// answerLowerTerm tells the sender of the newer term.
func (c *Core) answerLowerTerm(envelope Envelope) {
	switch message := envelope.Message.(type) {
	case VoteRequest:
		if message.Pre {
			c.sendSynced(envelope.From, VoteReply{Pre: true})
		}
	case AppendRequest, SnapshotChunk:
		c.sendSynced(envelope.From, AppendReply{})
	}
}

func (c *Core) dispatch(envelope Envelope) {
	from := envelope.From
	switch message := envelope.Message.(type) {
	case VoteRequest:
		c.joinGroup(envelope.Group)
		c.takeVoteRequest(from, envelope.Term, message)
	case VoteReply:
		c.takeVoteReply(from, envelope.Term, message)
	case AppendRequest:
		c.hearLeader(envelope)
		c.takeAppend(from, message)
	case AppendReply:
		c.takeAppendReply(from, message)
	case SnapshotChunk:
		c.hearLeader(envelope)
		c.takeChunk(from, message)
	case SnapshotReply:
		c.takeSnapshotReply(from, message)
	case StandNow:
		c.takeStandNow()
	}
}

// hearLeader notes that the leader of this term is alive.
func (c *Core) hearLeader(envelope Envelope) {
	c.joinGroup(envelope.Group)
	if c.position != following {
		c.follow(envelope.Term, envelope.From)
	}
	c.leader = envelope.From
	c.heard, c.heardLeader = c.now, true
	c.restartElection()
}
