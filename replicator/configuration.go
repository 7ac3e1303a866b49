package replicator

import "slices"

// Configuration lists the members of a group in the order in which they joined.
type Configuration struct{ Members []Member }

// Find returns the member with the given identity, and whether it exists.
func (c Configuration) Find(id Identity) (Member, bool) {
	i := slices.IndexFunc(c.Members, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return c.Members[i], true
}

// IsVoter reports whether the member with the given identity is a voter.
func (c Configuration) IsVoter(id Identity) bool {
	member, known := c.Find(id)
	return known && member.Role == Voter
}

// Voters returns the number of voters.
func (c Configuration) Voters() int {
	count := 0
	for _, member := range c.Members {
		if member.Role == Voter {
			count++
		}
	}
	return count
}

// Quorum returns the number of voters that form a majority.
func (c Configuration) Quorum() int { return c.Voters()/2 + 1 }

// Change is a single-member configuration change. It is implemented by
// AddLearner, Promote, Demote and Remove.
type Change interface{ change() }

// AddLearner adds a non-voting member.
type AddLearner struct{ Member Member }

// Promote turns a learner that has caught up into a voter.
type Promote struct{ ID Identity }

// Demote turns a voter into a learner.
type Demote struct{ ID Identity }

// Remove removes a member.
type Remove struct{ ID Identity }

func (AddLearner) change() {}
func (Promote) change()    {}
func (Demote) change()     {}
func (Remove) change()     {}

// With returns the configuration with the change applied. It fails with
// *InvalidChangeError.
func (c Configuration) With(change Change) (Configuration, error) {
	next := Configuration{Members: slices.Clone(c.Members)}
	switch change := change.(type) {
	case AddLearner:
		if change.Member.ID.Name == "" || change.Member.ID.Disk == "" {
			return c, &InvalidChangeError{Reason: "member lacks a name or a disk"}
		}
		if _, known := c.Find(change.Member.ID); known {
			return c, &InvalidChangeError{Reason: "member is known"}
		}
		change.Member.Role = Learner
		next.Members = append(next.Members, change.Member)
	case Promote:
		return next, next.setRole(change.ID, Learner, Voter)
	case Demote:
		if err := next.setRole(change.ID, Voter, Learner); err != nil {
			return c, err
		}
	case Remove:
		if _, known := c.Find(change.ID); !known {
			return c, &InvalidChangeError{Reason: "member is not known"}
		}
		next.Members = slices.DeleteFunc(next.Members, func(m Member) bool { return m.ID == change.ID })
	}
	if next.Voters() == 0 {
		return c, &InvalidChangeError{Reason: "no voter would be left"}
	}
	return next, nil
}

func (c Configuration) setRole(id Identity, from, to Role) error {
	i := slices.IndexFunc(c.Members, func(m Member) bool { return m.ID == id && m.Role == from })
	if i < 0 {
		return &InvalidChangeError{Reason: "member is not known in that role"}
	}
	c.Members[i].Role = to
	return nil
}
