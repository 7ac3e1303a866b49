package replicator

import "time"

// Status describes a Core at the time of its last step.
type Status struct {
	ID     Identity
	Group  string
	Leader Identity
	Term   uint64
	// Leading is true while this member is the leader of its term, with or
	// without a lease.
	Leading bool
	// Elected is when this member won its term; zero where it does not lead.
	Elected time.Time
	// LeaseUntil is the end of the lease; zero where there is none.
	LeaseUntil    time.Time
	Committed     uint64
	Applied       uint64
	LastIndex     uint64
	SnapshotIndex uint64
	Configuration Configuration
	// ConfigurationCommitted is false while a change of members is under way.
	ConfigurationCommitted bool
}

// PeerStatus is what a leader knows of another member.
type PeerStatus struct {
	Match uint64
	// CaughtUp is true where a learner may be promoted.
	CaughtUp bool
	// LastContact is when the peer last answered; zero for never in this term.
	LastContact time.Time
}

// Status describes the member.
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

// Peers tells what a leader knows of the other members; nil elsewhere.
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

// LastQuorumContact is when the latest messages were sent that a quorum has answered;
// zero where none has, or the member does not lead.
func (c *Core) LastQuorumContact() time.Time {
	if c.state != stateLeader {
		return time.Time{}
	}
	return c.quorumContact()
}

// MissingVotes lists the other voters whose vote a candidate lacks, in the
// configuration's order; nil where the member is no candidate.
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

// Bootstrap returns what the first member of a new group starts from. Exactly one
// member of the list may do this.
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
