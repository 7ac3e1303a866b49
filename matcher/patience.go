package matcher

import "time"

// A caller leaves a stream that says nothing for the longest of these: a least
// time, and multiples of what the route promises.
const (
	leastPatience  = 2 * time.Second
	targetPatience = 4
	gapPatience    = 8
)

// Patience is how long a caller waits for a stream's first event or the next
// one. Callers of other routes wait until their deadline.
func (r *Route) Patience() time.Duration {
	if r.Kind != Streaming {
		return r.Timeout
	}
	return max(leastPatience, targetPatience*r.Target, gapPatience*r.GapTarget)
}
