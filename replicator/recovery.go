package replicator

import (
	"slices"
	"time"
)

// A restarted member does not know whether it supported a leader's lease just
// before, so it votes for no one until ElectionMin has passed. If all voters were
// restarted, none of them leads and waiting is unnecessary: a pre-candidate
// campaigns as soon as every other voter has reported that it is recovering.
//
// This is safe. A voter that reported this was in the candidate's term and had,
// since its start, neither had contact with a leader nor campaigned. A leader
// elected later has a higher term, and so has each voter that supports its lease:
// such a voter either has had contact with that leader, or was restarted and has
// not reported to the candidate since. In both cases it does not vote early for
// the candidate.

// recoveryStagger is the delay between the first pre-votes of consecutive voters
// after a restart. It is longer than a vote with its syncs, so that the first
// voter is elected before the second one campaigns.
const recoveryStagger = 60 * time.Millisecond

// recoveryDeadline returns when a voter that has just started begins a pre-vote
// to find out whether all others have restarted as well. Voters do so in the
// order of the configuration.
func (c *Core) recoveryDeadline() time.Time {
	rank := slices.IndexFunc(c.configuration().Members, func(member Member) bool { return member.ID == c.id })
	return c.now.Add(time.Duration(rank+1) * recoveryStagger)
}

// recovering reports whether this member has neither had contact with a leader
// nor campaigned since it started.
func (c *Core) recovering() bool { return !c.leaderSeen && !c.campaigned }

// reportRecovering tells a pre-candidate of the same term that this member is
// recovering, if it is.
func (c *Core) reportRecovering(envelope Envelope) {
	if !c.recovering() || envelope.Term != c.hardState.Term+1 {
		return
	}
	c.reportedRecovering[envelope.From] = c.hardState.Term
	c.sendAfterSync(envelope.From, VoteReply{Pre: true, Recovering: true})
}

// mayVoteEarly reports whether this member may vote for a candidate although it
// may have supported a leader's lease before it started.
func (c *Core) mayVoteEarly(envelope Envelope) bool {
	term, reported := c.reportedRecovering[envelope.From]
	return reported && c.recovering() && term == c.hardState.Term && envelope.Term == term+1
}

// handleRecovering records that a voter is recovering, and campaigns once all
// are.
func (c *Core) handleRecovering(from Identity, term uint64) {
	if c.state != statePreCandidate || !c.recovering() || term != c.hardState.Term {
		return
	}
	c.recoveringVoters[from] = true
	if c.allVotersRecovering() {
		c.campaign(false)
	}
}

// allVotersRecovering reports whether every other voter of every configuration in
// the log is recovering. The last configuration alone does not suffice, because it
// may not be committed.
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
