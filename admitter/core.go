package admitter

import (
	"errors"
	"math"
	"slices"
	"time"

	"burdocklink/limiter"
	"burdocklink/router"
)

// queueLimit bounds the waiting requests of one entry.
const queueLimit = 4096

// backlogRetry is the shortest wait after a refusal.
const backlogRetry = time.Second

// ticket is one request in the core.
type ticket struct {
	request Request
	// key orders the queue: the target time, the far future without one.
	key time.Time
	// giveUpBy is when waiting stops making sense, zero for never.
	giveUpBy time.Time
	answer   chan verdict
	admitter *Admitter
	// retry is true for a second dispatch, which needs the retry budget.
	retry bool
}

// verdict is the core's answer to one ticket. Exactly one of the two is set.
type verdict struct {
	grant *Grant
	err   error
}

// farFuture is the key of requests without a target.
var farFuture = time.Unix(math.MaxInt32, 0)

func newTicket(request Request) *ticket {
	t := &ticket{request: request, answer: make(chan verdict, 1)}
	t.key = request.targetBy()
	if t.key.IsZero() {
		t.key = farFuture
	}
	t.giveUpBy = request.giveUpBy()
	t.request.Route.FirstTokenBy = request.targetBy()
	return t
}

// core is the deterministic part: it knows the waiting tickets in the order
// of their keys. It is owned by one goroutine.
type core struct {
	router  *router.Router
	waiting []*ticket
	demand  *ledger
	budget  *limiter.Budget
}

func newCore(router *router.Router, now time.Time) *core {
	return &core{router: router, demand: newLedger(now), budget: limiter.NewBudget()}
}

// arrive takes in a new ticket and answers it if that can be done at once.
func (c *core) arrive(now time.Time, t *ticket) {
	if !c.count(t) {
		t.answer <- verdict{err: &BudgetError{}}
		return
	}
	if c.try(now, t) {
		return
	}
	if len(c.waiting) >= queueLimit {
		last := c.waiting[len(c.waiting)-1]
		if !t.key.Before(last.key) {
			c.overload(now, t)
			return
		}
		c.waiting = c.waiting[:len(c.waiting)-1]
		c.overload(now, last)
	}
	at, _ := slices.BinarySearchFunc(c.waiting, t, func(a, b *ticket) int {
		if a.key.After(b.key) {
			return 1
		}
		return -1
	})
	c.waiting = slices.Insert(c.waiting, at, t)
}

// count earns or spends retry budget. It returns false for a retry that the
// budget does not cover.
func (c *core) count(t *ticket) bool {
	if t.retry {
		return c.budget.Spend()
	}
	c.demand.arrived(&t.request)
	c.budget.Earn()
	return true
}

// ended takes in a grant that has ended.
func (c *core) ended(e *ending) {
	c.router.Finished(e.grant.Choice, e.sample())
	c.demand.ended(e)
}

// withdraw answers a ticket whose caller has gone.
func (c *core) withdraw(t *ticket, err error) {
	at := slices.Index(c.waiting, t)
	if at < 0 {
		return
	}
	c.waiting = slices.Delete(c.waiting, at, at+1)
	t.answer <- verdict{err: err}
}

// pump grants what fits and gives up on what is hopeless.
func (c *core) pump(now time.Time) {
	kept := c.waiting[:0]
	for _, t := range c.waiting {
		if c.hopeless(now, t) || c.try(now, t) {
			continue
		}
		kept = append(kept, t)
	}
	clear(c.waiting[len(kept):])
	c.waiting = kept
}

// next returns when the next ticket is to be given up on, zero for never.
func (c *core) next() time.Time {
	var next time.Time
	for _, t := range c.waiting {
		if !t.giveUpBy.IsZero() && (next.IsZero() || t.giveUpBy.Before(next)) {
			next = t.giveUpBy
		}
	}
	return next
}

// stop answers everything that waits.
func (c *core) stop() {
	for _, t := range c.waiting {
		t.answer <- verdict{err: &StoppedError{}}
	}
	c.waiting = nil
}

func (c *core) hopeless(now time.Time, t *ticket) bool {
	if t.giveUpBy.IsZero() || now.Before(t.giveUpBy) {
		return false
	}
	c.demand.refused(&t.request)
	t.answer <- verdict{err: &HopelessError{Retry: now.Add(backlogRetry)}}
	return true
}

func (c *core) overload(now time.Time, t *ticket) {
	c.demand.refused(&t.request)
	t.answer <- verdict{err: &OverloadError{Retry: now.Add(backlogRetry)}}
}

// try grants a ticket if an upstream has room, or refuses it if none ever
// will. It returns false if the ticket has to wait.
func (c *core) try(now time.Time, t *ticket) bool {
	choice, err := c.router.Choose(now, &t.request.Route)
	if err == nil {
		c.router.Started(choice, &t.request.Route, now)
		t.answer <- verdict{grant: &Grant{
			Choice:   choice,
			Priority: priority(t.request.Class),
			Started:  now,
			request:  t.request,
			admitter: t.admitter,
		}}
		return true
	}
	var saturated *router.SaturatedError
	if errors.As(err, &saturated) {
		return false
	}
	c.demand.refused(&t.request)
	t.answer <- verdict{err: err}
	return true
}
