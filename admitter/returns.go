package admitter

import (
	"maps"
	"time"
)

// retryTimes are when callers that were refused come back to upstreams that limit
// their requests: one after the other, as fast as these take requests.
type retryTimes map[pool]time.Time

// next returns when one more caller should come back, not before a time. The one
// after it follows by an interval.
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
