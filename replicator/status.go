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
	Last          uint64
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
	// Heard is when the peer last answered; zero for never in this term.
	Heard time.Time
}

// Status describes the member.
func (c *Core) Status() Status {
	return Status{
		ID:                     c.id,
		Group:                  c.hard.Group,
		Leader:                 c.leader,
		Term:                   c.hard.Term,
		Leading:                c.position == leading,
		Elected:                c.lead.elected,
		LeaseUntil:             c.leaseUntil(),
		Committed:              c.committed,
		Applied:                c.applied,
		Last:                   c.log.last(),
		SnapshotIndex:          c.snapshot.Index,
		Configuration:          c.configuration(),
		ConfigurationCommitted: c.configurations[len(c.configurations)-1].index <= c.committed,
	}
}

// Peers tells what a leader knows of the other members; nil elsewhere.
func (c *Core) Peers() map[Identity]PeerStatus {
	if c.position != leading {
		return nil
	}
	peers := make(map[Identity]PeerStatus, len(c.lead.peers))
	for id, p := range c.lead.peers {
		one := PeerStatus{Match: p.match, CaughtUp: c.caughtUp(id)}
		if p.contact != never {
			one.Heard = c.start.Add(p.contact)
		}
		peers[id] = one
	}
	return peers
}

// Reached is when the latest messages were sent that a quorum has answered;
// zero where none has, or the member does not lead.
func (c *Core) Reached() time.Time {
	if c.position != leading {
		return time.Time{}
	}
	return c.quorumContact()
}

// MissingVotes lists the other voters whose vote a candidate lacks, in the
// configuration's order; nil where the member is no candidate.
func (c *Core) MissingVotes() []Identity {
	if c.position != canvassing && c.position != standing {
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

// Found returns what the first member of a new group starts from. Exactly one
// member of the list may do this.
func Found(group string, members []Member, now time.Time) (HardState, []Entry) {
	const firstTerm = 1
	first := Entry{
		Index:   1,
		Term:    firstTerm,
		Stamp:   now.Round(0).UTC(),
		Payload: Reconfigured{Configuration: Configuration{Members: members}},
	}
	return HardState{Group: group, Term: firstTerm}, []Entry{first}
}
