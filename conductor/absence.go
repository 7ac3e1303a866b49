package conductor

import (
	"time"

	"go.uber.org/zap"

	"burdocklink/replicator"
	"burdocklink/timekeeper"
)

// absenceLogInterval is the time between log messages about an absence.
const absenceLogInterval = time.Second

// absence tracks how long something, such as a leader, has been missing.
type absence struct {
	since   time.Time
	nextLog time.Time
}

// shouldLog reports whether a log message is due. It starts the absence if there
// is none.
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

// end ends the absence and returns how long it lasted, or false if there was
// none.
func (a *absence) end(now time.Time) (time.Duration, bool) {
	if a.since.IsZero() {
		return 0, false
	}
	duration := now.Sub(a.since)
	*a = absence{}
	return duration, true
}

// logLeaderAbsence logs which votes are missing while the group has no leader.
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

// logMembershipAbsence logs while the member is in no group, and when it was added
// to one.
func (c *Conductor) logMembershipAbsence(membershipAbsence *absence) {
	now := timekeeper.Now()
	if c.inGroup() {
		if duration, ended := membershipAbsence.end(now); ended {
			c.config.Log.Info("added to the group", zap.Duration("after", duration))
		}
		return
	}
	if membershipAbsence.shouldLog(now) {
		c.config.Log.Warn("waiting to be added to the group", zap.Duration("for", now.Sub(membershipAbsence.since)))
	}
}
