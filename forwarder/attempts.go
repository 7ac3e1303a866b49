package forwarder

import (
	"time"

	"burdocklink/matcher"
)

// maxSends is the maximum number of times that one request is sent. Each further send
// uses up a part of the shared retry budget, also if the upstream answers that it did not
// run the request.
const maxSends = 4

// minRemaining is the minimum time before the deadline for another send. It covers
// connecting, queueing and a short answer between neighbouring VMs.
const minRemaining = 30 * time.Millisecond

// attempts counts the attempts of one request.
type attempts struct {
	// sends counts all attempts, runs only those that an upstream may have run.
	sends int
	runs  int
	// answerStarted is true once a part of the answer has been sent to the caller.
	answerStarted bool
}

// mayRetry reports whether the request may be sent to another upstream, as when
// upstreams crash, leave or refuse while requests are in flight. A request that may
// have run is sent again only if the route is repeatable and has attempts left. One
// that has not run may always be sent to another upstream.
func (a attempts) mayRetry(route *matcher.Route, now, deadline time.Time) bool {
	if a.sends >= maxSends || (!deadline.IsZero() && deadline.Sub(now) < minRemaining) {
		return false
	}
	if a.runs == 0 {
		return true
	}
	return route.Repeatable() && a.runs < route.MaxAttempts
}
