package admitter

import (
	"math"
	"time"
)

// Ticket is one request in a queue.
type Ticket struct {
	request Request
	// key orders the queue: the target time, the far future without one.
	key time.Time
	// giveUpBy is when waiting stops making sense, zero for never.
	giveUpBy time.Time
	// holderBy is how long a patient request waits for an upstream that holds
	// what it asks for; zero while one does.
	holderBy time.Time
	// after is the grant that failed before a second dispatch, which needs the
	// retry budget; nil for a first one.
	after *Grant
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
	t.key = request.targetBy()
	if t.key.IsZero() {
		t.key = farFuture
	}
	t.giveUpBy = request.giveUpBy()
	t.request.Route.FirstTokenBy = request.targetBy()
	return t
}

// newRetry returns a ticket for another upstream after a grant that failed.
func newRetry(grant *Grant) *Ticket {
	t := newTicket(grant.request)
	t.after = grant
	t.request.Route.Avoid = append([]string{grant.Choice.Upstream}, grant.request.Route.Avoid...)
	return t
}

// late says whether a first token at a time misses the class target. A request
// that had to wait then gives way to those that can still meet theirs.
func (t *Ticket) late(first time.Time) bool {
	if !t.request.UsefulUntil.IsZero() {
		return first.After(t.request.UsefulUntil)
	}
	promised := t.request.Class.Target.FirstToken
	return promised > 0 && first.After(t.request.Arrived.Add(promised))
}

// before is the order of the queue: requests of subscribers that had used more
// than their fair share when they arrived go after all others.
func (t *Ticket) before(other *Ticket) bool {
	if t.request.Route.OverFairShare != other.request.Route.OverFairShare {
		return other.request.Route.OverFairShare
	}
	return t.key.Before(other.key)
}

// kind is what the room for a request depends on.
type kind struct {
	service, holds, class string
	yields                bool
	// avoiding is true for a retry, which may not go everywhere.
	avoiding bool
}

// room names the upstreams that tickets of a kind wait for.
func (k kind) room() room { return room{service: k.service, holds: k.holds} }

// room is a service, and what its upstreams must hold.
type room struct{ service, holds string }

func (t *Ticket) kind() kind {
	route := &t.request.Route
	return kind{
		service: route.Service, holds: route.Model, class: t.request.Class.Name,
		yields: route.OverFairShare, avoiding: len(route.Avoid) > 0,
	}
}

// waitsForHolder says whether a request for which there is no upstream goes on
// waiting for one.
func (t *Ticket) waitsForHolder(now time.Time) bool {
	promised := !t.request.Route.FirstTokenBy.IsZero()
	if t.holderBy.IsZero() && promised && t.key.After(now.Add(holderTime)) && t.after == nil {
		t.holderBy = now.Add(holderTime)
	}
	return now.Before(t.holderBy)
}

// overdue says whether the target has passed.
func (t *Ticket) overdue(now time.Time) bool { return now.After(t.key) }

// soon is how much time those have left that go before others with more.
const soon = time.Second

// hurried says whether the target is near.
func (t *Ticket) hurried(now time.Time) bool { return t.key.Sub(now) <= soon }
