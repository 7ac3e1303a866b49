package admitter

import (
	"maps"
	"time"
)

// retryTimes holds the last retry time given to a refused caller, by pool. Retries
// to rate-limited upstreams are spread out at the rate that these accept.
type retryTimes map[pool]time.Time

// next returns when one more caller should retry, no earlier than a time and an
// interval after the previous caller.
func (r retryTimes) next(now time.Time, p pool, earliest time.Time, interval time.Duration) time.Time {
	maps.DeleteFunc(r, func(_ pool, at time.Time) bool { return at.Before(now) })
	at := earliest
	if after := r[p].Add(interval); after.After(at) {
		at = after
	}
	if latest := now.Add(maxRetryDelay); at.After(latest) {
		at = latest
	}
	r[p] = at
	return at
}
