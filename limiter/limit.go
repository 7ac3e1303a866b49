// Package limiter bounds the requests that are sent to an upstream: a concurrency
// limit that follows measured latency, a rate limit with permits, a pause with
// gradual recovery, a retry budget as a fraction of traffic, and a circuit breaker
// for consecutive connection failures. It has no goroutines and doesn't read the
// clock.
package limiter

import "time"

// Settings configure a Limit.
type Settings struct {
	// Min and Max bound the limit, in concurrent requests.
	Min int
	Max int
}

// Limit is an adaptive concurrency limit for one upstream. It is not safe for
// concurrent use.
type Limit struct {
	settings Settings
	current  float64
}

// Additive increase and multiplicative decrease of the limit.
const (
	// increase is divided by the limit and added for each sample within its target,
	// so that a full batch of them adds one.
	increase = 1.0
	// decreaseFactor is applied after a sample over its target.
	decreaseFactor = 0.95
)

// New returns a limit that starts at its maximum.
func New(settings Settings) *Limit {
	return &Limit{settings: settings, current: float64(settings.Max)}
}

// Allows reports whether one more request fits beside the given load.
func (l *Limit) Allows(load float64) bool { return load+1 <= l.current }

// Current returns the limit, in concurrent requests.
func (l *Limit) Current() float64 { return l.current }

// Observe adjusts the limit to a measured gap between tokens, given its target and
// the load under which it was measured. A zero target or measurement is ignored.
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
