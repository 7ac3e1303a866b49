package admitter

import (
	"maps"
	"time"
)

// returns are when callers that were refused come back to upstreams that limit
// their requests: one after the other, as fast as these take requests.
type returns map[room]time.Time

// next returns when one more caller should come back, not before a time. The one
// after it follows by an interval.
func (r returns) next(now time.Time, to room, earliest time.Time, interval time.Duration) time.Time {
	maps.DeleteFunc(r, func(_ room, at time.Time) bool { return at.Before(now) })
	at := earliest
	if after := r[to].Add(interval); after.After(at) {
		at = after
	}
	if latest := now.Add(latestRetry); at.After(latest) {
		at = latest
	}
	r[to] = at
	return at
}
