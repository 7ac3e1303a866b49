package admitter

import (
	"math"
	"time"
)

// Ticket is one request in a queue.
type Ticket struct {
	request Request
	// target orders the queue: the target time, the far future without one.
	target time.Time
	// giveUpBy is when waiting stops making sense, zero for never.
	giveUpBy time.Time
	// holderDeadline is how long a patient request waits for an upstream that holds
	// what it asks for; zero while one does.
	holderDeadline time.Time
	// failed is the grant that failed before a second dispatch, which needs the
	// retry budget; nil for a first one.
	failed *Grant
	// group numbers the tickets that need the same room.
	group int
	// waited is true once the ticket has been in the queue.
	waited bool
	answer chan Decision
}

// Decision is the answer to one ticket. Exactly one of Grant and Err is set.
type Decision struct {
	Ticket *Ticket
	Grant  *Grant
	Err    error
}

// farFuture is the key of requests without a target.
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

// newRetry returns a ticket for another upstream after a grant that failed.
func newRetry(grant *Grant) *Ticket {
	t := newTicket(grant.request)
	t.failed = grant
	t.request.Route.Avoid = append([]string{grant.Choice.Upstream}, grant.request.Route.Avoid...)
	return t
}

// wouldMissTarget says whether a first token at a time misses the class target. A request
// that had to wait then gives way to those that can still meet theirs.
func (t *Ticket) wouldMissTarget(first time.Time) bool {
	if !t.request.UsefulUntil.IsZero() {
		return first.After(t.request.UsefulUntil)
	}
	target := t.request.Class.Target.FirstToken
	return target > 0 && first.After(t.request.Arrived.Add(target))
}

// precedes is the order of the queue: requests of subscribers that had used more
// than their fair share when they arrived go after all others.
func (t *Ticket) precedes(other *Ticket) bool {
	if t.request.Route.Yields != other.request.Route.Yields {
		return other.request.Route.Yields
	}
	return t.target.Before(other.target)
}

// requestKind is what the room for a request depends on.
type requestKind struct {
	service, holds, class string
	yields                bool
	// avoiding is true for a retry, which may not go everywhere.
	avoiding bool
}

// pool names the upstreams that tickets of a kind wait for.
func (k requestKind) pool() pool { return pool{service: k.service, holds: k.holds} }

// pool is a service, and what its upstreams must hold.
type pool struct{ service, holds string }

func (t *Ticket) kind() requestKind {
	route := &t.request.Route
	return requestKind{
		service: route.Service, holds: route.Holds, class: t.request.Class.Name,
		yields: route.Yields, avoiding: len(route.Avoid) > 0,
	}
}

// waitsForHolder says whether a request for which there is no upstream goes on
// waiting for one.
func (t *Ticket) waitsForHolder(now time.Time) bool {
	target := !t.request.Route.FirstTokenBy.IsZero()
	if t.holderDeadline.IsZero() && target && t.target.After(now.Add(holderTimeout)) && t.failed == nil {
		t.holderDeadline = now.Add(holderTimeout)
	}
	return now.Before(t.holderDeadline)
}

// overdue says whether the target has passed.
func (t *Ticket) overdue(now time.Time) bool { return now.After(t.target) }

// urgentWindow is how much time those have left that go before others with more.
const urgentWindow = time.Second

// urgent says whether the target is near.
func (t *Ticket) urgent(now time.Time) bool { return t.target.Sub(now) <= urgentWindow }
