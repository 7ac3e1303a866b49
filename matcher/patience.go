package matcher

import "time"

// A caller leaves a stream that says nothing for the longest of these: a least
// time, and multiples of what the route promises.
const (
	minEventTimeout     = 2 * time.Second
	targetTimeoutFactor = 4
	gapTimeoutFactor    = 8
)

// EventTimeout is how long a caller waits for a stream's first event or the next
// one. Callers of other routes wait until their deadline.
func (r *Route) EventTimeout() time.Duration {
	if r.Kind != Streaming {
		return r.Timeout
	}
	return max(minEventTimeout, targetTimeoutFactor*r.Target, gapTimeoutFactor*r.EventGapTarget)
}
