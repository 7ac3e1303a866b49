// Package limiter bounds what is sent to an upstream: a concurrency limit
// that follows measured latency, a retry budget as a fraction of traffic and a
// circuit that opens on consecutive connection failures. It is pure.
package limiter

import "time"

// Settings of a concurrency limit.
type Settings struct {
	// Min and Most bound the limit, in requests at once.
	Min int
	Max int
}

// Limit is an adaptive concurrency limit for one upstream. It is not safe for
// concurrent use.
type Limit struct {
	settings Settings
	current  float64
}

// Steps of the limit.
const (
	// increase is added for each good sample, divided by the limit, so that a
	// full batch of good samples adds one.
	increase = 1.0
	// decreaseFactor is the factor after a sample over its target.
	decreaseFactor = 0.95
)

// New returns a limit that starts at its highest value.
func New(settings Settings) *Limit {
	return &Limit{settings: settings, current: float64(settings.Max)}
}

// Allows says whether one more request fits beside the given load.
func (l *Limit) Allows(load float64) bool { return load+1 <= l.current }

// Current returns the limit, in requests at once.
func (l *Limit) Current() float64 { return l.current }

// Observe takes in one measured gap against its target, at the load under
// which it was measured. A zero target teaches nothing.
func (l *Limit) Observe(load float64, measured, target time.Duration) {
	if target <= 0 || measured <= 0 {
		return
	}
	if measured > target {
		l.current = max(float64(l.settings.Min), l.current*decreaseFactor)
		return
	}
	if load+1 >= l.current*decreaseFactor {
		l.current = min(float64(l.settings.Max), l.current+increase/l.current)
	}
}
