package conductor

import (
	"time"

	"go.uber.org/zap"

	"burdocklink/replicator"
	"burdocklink/timekeeper"
)

// absenceLogInterval is the time between two lines about something that is missing.
const absenceLogInterval = time.Second

// absence is how long something has been missing.
type absence struct {
	since   time.Time
	nextLog time.Time
}

// shouldLog says whether a line is due about it.
func (a *absence) shouldLog(now time.Time) bool {
	if a.since.IsZero() {
		a.since, a.nextLog = now, now.Add(absenceLogInterval)
	}
	if now.Before(a.nextLog) {
		return false
	}
	a.nextLog = now.Add(absenceLogInterval)
	return true
}

// end returns how long it lasted, and false where nothing was missing.
func (a *absence) end(now time.Time) (time.Duration, bool) {
	if a.since.IsZero() {
		return 0, false
	}
	duration := now.Sub(a.since)
	*a = absence{}
	return duration, true
}

// logLeaderAbsence tells which votes are missing while a group has no leader.
func (c *Conductor) logLeaderAbsence(core replicator.Status) {
	now := timekeeper.Now()
	if core.Group == "" || core.Leader != (replicator.Identity{}) {
		c.leaderAbsence.end(now)
		return
	}
	if !c.leaderAbsence.shouldLog(now) {
		return
	}
	c.config.Log.Warn("no leader", zap.Duration("for", now.Sub(c.leaderAbsence.since)),
		zap.Uint64("term", core.Term), zap.Int("voters", core.Configuration.Voters()),
		zap.Any("votes-missing", c.core.MissingVotes()))
}

// logMembershipAbsence tells while the member is in no group, and when it was taken in.
func (c *Conductor) logMembershipAbsence(membershipAbsence *absence) {
	now := timekeeper.Now()
	if c.inGroup() {
		if duration, ended := membershipAbsence.end(now); ended {
			c.config.Log.Info("taken into the group", zap.Duration("after", duration))
		}
		return
	}
	if membershipAbsence.shouldLog(now) {
		c.config.Log.Warn("waits to be taken into the group", zap.Duration("for", now.Sub(membershipAbsence.since)))
	}
}
