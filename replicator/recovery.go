package replicator

import (
	"slices"
	"time"
)

// A member that restarts does not know whether it vouched for a leader just
// before, and votes for nobody until ElectionMin has passed. Where all voters
// were restarted, none of them leads, and there is nothing to wait for: a
// candidate that every other voter has told so stands at once.
//
// It is safe for these reasons. Whoever told it had heard no leader since its
// start and had not stood itself, in the candidate's own term. A leader elected
// since then has a higher term, and so has each voter that vouched for it: such
// a voter either has heard that leader, or was restarted and has told the
// candidate nothing since. In both cases it does not vote for the candidate
// early.

// recoveryStep is the pause between the first canvasses of voters after a
// restart. It spans a vote with its syncs, so that the first one is elected
// before the second stands.
const recoveryStep = 60 * time.Millisecond

// recoveryDue is when a voter that has just started looks whether all others
// have, too: one after the other, in the order of the configuration.
func (c *Core) recoveryDue() time.Time {
	rank := slices.IndexFunc(c.configuration().Members, func(member Member) bool { return member.ID == c.id })
	return c.now.Add(time.Duration(rank+1) * recoveryStep)
}

// fresh says whether this member has heard no leader and not stood for election
// since it started.
func (c *Core) fresh() bool { return !c.heardLeader && !c.stood }

// tellFresh answers a canvass of a candidate of the same term.
func (c *Core) tellFresh(envelope Envelope) {
	if !c.fresh() || envelope.Term != c.hard.Term+1 {
		return
	}
	c.toldFresh[envelope.From] = c.hard.Term
	c.sendSynced(envelope.From, VoteReply{Pre: true, Fresh: true})
}

// mayVoteEarly says whether this member votes for a candidate though it may
// have vouched for a leader before its start.
func (c *Core) mayVoteEarly(envelope Envelope) bool {
	term, told := c.toldFresh[envelope.From]
	return told && c.fresh() && term == c.hard.Term && envelope.Term == term+1
}

// takeFresh notes that a voter has heard no leader since its start.
func (c *Core) takeFresh(from Identity, term uint64) {
	if c.position != canvassing || !c.fresh() || term != c.hard.Term {
		return
	}
	c.freshVoters[from] = true
	if c.allFresh() {
		c.stand(false)
	}
}

// allFresh says whether every other voter of each configuration in the log has
// been restarted, too: the last one may not be committed.
func (c *Core) allFresh() bool {
	for _, one := range c.configurations {
		for _, member := range one.configuration.Members {
			if member.Role == Voter && member.ID != c.id && !c.freshVoters[member.ID] {
				return false
			}
		}
	}
	return true
}
