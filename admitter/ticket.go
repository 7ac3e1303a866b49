package admitter

import (
	"math"
	"time"

	"burdocklink/router"
)

// Ticket is one request in a queue.
type Ticket struct {
	request Request
	// target is the target time, by which the queue is ordered; farFuture if there
	// is none.
	target time.Time
	// giveUpBy is the latest useful start time; zero means never.
	giveUpBy time.Time
	// holderDeadline is until when the request waits for an upstream that holds its
	// model; zero if there is one or the request does not wait for one.
	holderDeadline time.Time
	// failed is the failed grant that this retry follows, which spends retry
	// budget; nil for a first dispatch.
	failed *Grant
	// serviceTime is how long the request is expected to take from its grant on.
	serviceTime time.Duration
	// group numbers tickets of the same kind.
	group int
	// waited is true once the ticket has been enqueued.
	waited bool
	answer chan Decision
}

// Decision is the answer to a ticket. Exactly one of Grant and Err is set.
type Decision struct {
	Ticket *Ticket
	Grant  *Grant
	Err    error
}

// farFuture is the target of requests without one.
var farFuture = time.Unix(math.MaxInt32, 0)

func newTicket(request Request) *Ticket {
	t := &Ticket{request: request, answer: make(chan Decision, 1)}
	t.target = request.targetBy()
	if t.target.IsZero() {
		t.target = farFuture
	}
	t.giveUpBy = request.giveUpBy()
	t.request.Route.FirstTokenBy = request.targetBy()
	return t
}

// newRetry returns a ticket for another upstream after a failed grant.
func newRetry(grant *Grant) *Ticket {
	t := newTicket(grant.request)
	t.failed = grant
	t.request.Route.Avoid = append([]string{grant.Choice.Upstream}, grant.request.Route.Avoid...)
	return t
}

// wouldMissTarget reports whether a first token at the given time misses the class
// target. A request that had to wait is then refused in favour of those that can
// still meet theirs.
func (t *Ticket) wouldMissTarget(first time.Time) bool {
	if !t.request.UsefulUntil.IsZero() {
		return first.After(t.request.UsefulUntil)
	}
	target := t.request.Class.Target.FirstToken
	return target > 0 && first.After(t.request.Arrived.Add(target))
}

// precedes orders the queue: requests of subscribers that were above their fair
// share on arrival go after all others.
func (t *Ticket) precedes(other *Ticket) bool {
	if t.request.Route.OverFairShare != other.request.Route.OverFairShare {
		return other.request.Route.OverFairShare
	}
	return t.target.Before(other.target)
}

// continues reports whether the request continues a stream. It has fewer upstreams to go to
// than a new one, and a part of its answer has been delivered.
func (t *Ticket) continues() bool { return !t.request.Route.Origin.IsZero() }

// requestKind is what determines the room for a request.
type requestKind struct {
	service, holds, class string
	origin                router.Origin
	yields                bool
	// avoiding is true for a retry, which must avoid some upstreams.
	avoiding bool
}

// pool returns the upstreams that tickets of this kind wait for.
func (k requestKind) pool() pool { return pool{service: k.service, holds: k.holds, origin: k.origin} }

// pool identifies the upstreams of a service that hold a model and may continue a stream.
type pool struct {
	service, holds string
	origin         router.Origin
}

func (t *Ticket) kind() requestKind {
	route := &t.request.Route
	return requestKind{
		service: route.Service, holds: route.Model, class: t.request.Class.Name, origin: route.Origin,
		yields: route.OverFairShare, avoiding: len(route.Avoid) > 0,
	}
}

// waitsForHolder reports whether a request without a suitable upstream keeps
// waiting for one.
func (t *Ticket) waitsForHolder(now time.Time) bool {
	hasTarget := !t.request.Route.FirstTokenBy.IsZero()
	if t.holderDeadline.IsZero() && hasTarget && t.target.After(now.Add(holderTimeout)) && t.failed == nil {
		t.holderDeadline = now.Add(holderTimeout)
	}
	return now.Before(t.holderDeadline)
}

// overdue reports whether the target will have passed when the request is served, if it is
// granted now.
func (t *Ticket) overdue(now time.Time) bool { return now.Add(t.serviceTime).After(t.target) }

// urgentWindow is the time left below which requests go before those with more.
const urgentWindow = time.Second

// urgent reports whether the target is near.
func (t *Ticket) urgent(now time.Time) bool { return t.target.Sub(now) <= urgentWindow }
