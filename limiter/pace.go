package limiter

import (
	"maps"
	"time"
)

const (
	// callerTTL is how long a caller counts as active after its last call.
	callerTTL = time.Second
	// pruneInterval is the time between two removals of inactive callers.
	pruneInterval = 100 * time.Millisecond
)

// Pace spreads the calls of many callers to one server, so that all active callers
// together stay below a rate. It is not safe for concurrent use.
type Pace struct {
	maxPerSecond int
	minPause     time.Duration
	lastCalls    map[string]time.Time
	prunedAt     time.Time
}

// NewPace returns a pace for at most so many calls a second, and at least a pause between
// two calls of one caller.
func NewPace(maxPerSecond int, minPause time.Duration) *Pace {
	return &Pace{maxPerSecond: maxPerSecond, minPause: minPause, lastCalls: map[string]time.Time{}}
}

// Pause records a call and returns the time until the caller may call again.
func (p *Pace) Pause(now time.Time, caller string) time.Duration {
	p.lastCalls[caller] = now
	if now.Sub(p.prunedAt) >= pruneInterval {
		p.prunedAt = now
		maps.DeleteFunc(p.lastCalls, func(_ string, at time.Time) bool { return now.Sub(at) > callerTTL })
	}
	return max(p.minPause, time.Duration(len(p.lastCalls))*time.Second/time.Duration(p.maxPerSecond))
}
