package replicator

import "time"

// Status describes a Core at the time of its last step.
type Status struct {
	ID     Identity
	Group  string
	Leader Identity
	Term   uint64
	// Leading reports whether this member is the leader of its term, with or
	// without a lease.
	Leading bool
	// Elected is when this member became leader, or zero if it does not lead.
	Elected time.Time
	// LeaseUntil is the end of the lease, or zero if there is none.
	LeaseUntil    time.Time
	Committed     uint64
	Applied       uint64
	LastIndex     uint64
	SnapshotIndex uint64
	Configuration Configuration
	// ConfigurationCommitted is false while a change of members is in progress.
	ConfigurationCommitted bool
}

// PeerStatus describes another member as seen by the leader.
type PeerStatus struct {
	Match uint64
	// CaughtUp reports whether the member, if a learner, may be promoted.
	CaughtUp bool
	// LastContact is when the latest message that the peer replied to was sent, or
	// zero if it has not replied in this term.
	LastContact time.Time
}

// Status returns the current status of the member.
func (c *Core) Status() Status {
	return Status{
		ID:                     c.id,
		Group:                  c.hardState.Group,
		Leader:                 c.leader,
		Term:                   c.hardState.Term,
		Leading:                c.state == stateLeader,
		Elected:                c.leaderState.elected,
		LeaseUntil:             c.leaseUntil(),
		Committed:              c.committed,
		Applied:                c.applied,
		LastIndex:              c.log.lastIndex(),
		SnapshotIndex:          c.snapshot.Index,
		Configuration:          c.configuration(),
		ConfigurationCommitted: c.configurations[len(c.configurations)-1].index <= c.committed,
	}
}

// Peers describes the other members, or returns nil if this member does not lead.
func (c *Core) Peers() map[Identity]PeerStatus {
	if c.state != stateLeader {
		return nil
	}
	peers := make(map[Identity]PeerStatus, len(c.leaderState.peers))
	for id, p := range c.leaderState.peers {
		peerStatus := PeerStatus{Match: p.match, CaughtUp: c.caughtUp(id)}
		if p.lastContact != noContact {
			peerStatus.LastContact = c.start.Add(p.lastContact)
		}
		peers[id] = peerStatus
	}
	return peers
}

// LastQuorumContact returns when the latest messages that a quorum has replied to
// were sent. It is zero if there are none or this member does not lead.
func (c *Core) LastQuorumContact() time.Time {
	if c.state != stateLeader {
		return time.Time{}
	}
	return c.quorumContact()
}

// MissingVotes returns the other voters whose vote or pre-vote this member lacks,
// in the order of the configuration. It is nil if the member is neither a
// candidate nor a pre-candidate.
func (c *Core) MissingVotes() []Identity {
	if c.state != statePreCandidate && c.state != stateCandidate {
		return nil
	}
	var missing []Identity
	for _, member := range c.configuration().Members {
		if member.Role == Voter && member.ID != c.id && !c.votes[member.ID] {
			missing = append(missing, member.ID)
		}
	}
	return missing
}

// Bootstrap returns the initial hard state and log of a new group. Exactly one of
// its members may start from them.
func Bootstrap(group string, members []Member, now time.Time) (HardState, []Entry) {
	const firstTerm = 1
	first := Entry{
		Index:   1,
		Term:    firstTerm,
		Stamp:   now.Round(0).UTC(),
		Payload: Reconfigured{Configuration: Configuration{Members: members}},
	}
	return HardState{Group: group, Term: firstTerm}, []Entry{first}
}
