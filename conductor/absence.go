package conductor

import (
	"time"

	"go.uber.org/zap"

	"burdocklink/replicator"
	"burdocklink/timekeeper"
)

// absenceInterval is the time between two lines about something that is missing.
const absenceInterval = time.Second

// absence is how long something has been missing.
type absence struct {
	since    time.Time
	nextLine time.Time
}

// lasts says whether a line is due about it.
func (a *absence) lasts(now time.Time) bool {
	if a.since.IsZero() {
		a.since, a.nextLine = now, now.Add(absenceInterval)
	}
	if now.Before(a.nextLine) {
		return false
	}
	a.nextLine = now.Add(absenceInterval)
	return true
}

// ends returns how long it lasted, and false where nothing was missing.
func (a *absence) ends(now time.Time) (time.Duration, bool) {
	if a.since.IsZero() {
		return 0, false
	}
	lasted := now.Sub(a.since)
	*a = absence{}
	return lasted, true
}

// logLeaderless tells which votes are missing while a group has no leader.
func (c *Conductor) logLeaderless(core replicator.Status) {
	now := timekeeper.Now()
	if core.Group == "" || core.Leader != (replicator.Identity{}) {
		c.leaderless.ends(now)
		return
	}
	if !c.leaderless.lasts(now) {
		return
	}
	c.config.Log.Warn("no leader", zap.Duration("for", now.Sub(c.leaderless.since)),
		zap.Uint64("term", core.Term), zap.Int("voters", core.Configuration.Voters()),
		zap.Any("votes-missing", c.core.MissingVotes()))
}

// logOutside tells while the member is in no group, and when it was taken in.
func (c *Conductor) logOutside(outside *absence) {
	now := timekeeper.Now()
	if c.listed() {
		if lasted, was := outside.ends(now); was {
			c.config.Log.Info("taken into the group", zap.Duration("after", lasted))
		}
		return
	}
	if outside.lasts(now) {
		c.config.Log.Warn("waits to be taken into the group", zap.Duration("for", now.Sub(outside.since)))
	}
}
