package matcher

import "time"

// Callers abandon a silent stream after the longest of a minimum time and multiples of
// the route's targets.
const (
	minEventTimeout     = 2 * time.Second
	targetTimeoutFactor = 4
	gapTimeoutFactor    = 8
)

// EventTimeout returns how long a caller waits for a stream's first or next event.
// Callers of other routes wait until their deadline.
func (r *Route) EventTimeout() time.Duration {
	if r.Kind != Streaming {
		return r.Timeout
	}
	return max(minEventTimeout, targetTimeoutFactor*r.Target, gapTimeoutFactor*r.EventGapTarget)
}
