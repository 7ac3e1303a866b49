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

// recoveryStagger is the pause between the first canvasses of voters after a
// restart. It spans a vote with its syncs, so that the first one is elected
// before the second stands.
const recoveryStagger = 60 * time.Millisecond

// recoveryDeadline is when a voter that has just started looks whether all others
// have, too: one after the other, in the order of the configuration.
func (c *Core) recoveryDeadline() time.Time {
	rank := slices.IndexFunc(c.configuration().Members, func(member Member) bool { return member.ID == c.id })
	return c.now.Add(time.Duration(rank+1) * recoveryStagger)
}

// recovering says whether this member has heard no leader and not stood for election
// since it started.
func (c *Core) recovering() bool { return !c.leaderSeen && !c.campaigned }

// reportRecovering answers a canvass of a candidate of the same term.
func (c *Core) reportRecovering(envelope Envelope) {
	if !c.recovering() || envelope.Term != c.hardState.Term+1 {
		return
	}
	c.reportedRecovering[envelope.From] = c.hardState.Term
	c.sendAfterSync(envelope.From, VoteReply{Pre: true, Recovering: true})
}

// mayVoteEarly says whether this member votes for a candidate though it may
// have vouched for a leader before its start.
func (c *Core) mayVoteEarly(envelope Envelope) bool {
	term, reported := c.reportedRecovering[envelope.From]
	return reported && c.recovering() && term == c.hardState.Term && envelope.Term == term+1
}

// handleRecovering notes that a voter has heard no leader since its start.
func (c *Core) handleRecovering(from Identity, term uint64) {
	if c.state != statePreCandidate || !c.recovering() || term != c.hardState.Term {
		return
	}
	c.recoveringVoters[from] = true
	if c.allVotersRecovering() {
		c.campaign(false)
	}
}

// allVotersRecovering says whether every other voter of each configuration in the log has
// been restarted, too: the last one may not be committed.
func (c *Core) allVotersRecovering() bool {
	for _, indexed := range c.configurations {
		for _, member := range indexed.configuration.Members {
			if member.Role == Voter && member.ID != c.id && !c.recoveringVoters[member.ID] {
				return false
			}
		}
	}
	return true
}
