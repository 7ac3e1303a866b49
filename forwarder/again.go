package forwarder

import (
	"time"

	"burdocklink/matcher"
)

// maxSends bounds how often one request is sent to upstreams that say that
// they did not run it. Each such send spends the retry budget of all.
const maxSends = 4

// minRemaining is the least time left that makes another send worthwhile. It
// covers a connection, a queue and a short answer between neighbouring VMs.
const minRemaining = 30 * time.Millisecond

// attempts is what became of one request so far.
type attempts struct {
	// sends counts all, runs those that may have run.
	sends int
	runs  int
	// responseStarted is true once a part of the answer has gone to the caller.
	responseStarted bool
}

// mayRetry decides whether a request is sent to another upstream. What may
// have run is sent again only where the route allows a repeat and further
// attempts; what has not run may always go elsewhere. It answers the load of
// upstreams that crash, leave or refuse while requests are on their way.
func (a attempts) mayRetry(route *matcher.Route, now, deadline time.Time) bool {
	if a.sends >= maxSends || (!deadline.IsZero() && deadline.Sub(now) < minRemaining) {
		return false
	}
	if a.runs == 0 {
		return true
	}
	return route.Repeatable() && a.runs < route.MaxAttempts
}
