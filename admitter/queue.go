package admitter

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"burdocklink/limiter"
	"burdocklink/placer"
	"burdocklink/router"
)

// queueLimit bounds the waiting requests of one entry.
const queueLimit = 4096

// holderTime is how long a patient request waits for an upstream that holds
// what it asks for.
const holderTime = 2 * time.Minute

// Queue is the deterministic part: it holds the waiting requests in order of
// the time left to their targets. It is owned by one goroutine. Each call may
// make decisions, which Take returns.
type Queue struct {
	router  *router.Router
	waiting []*Ticket
	demand  *ledger
	budgets budgets
	shares  *shares
	pace    pace
	returns returns
	flows   flows
	// before counts the requests that wait, by flow, up to the one that is looked at.
	before    map[string]int
	decisions []Decision
	// groups number the kinds of waiting requests; blocked says which of them
	// found no room in the current round.
	groups  map[kind]int
	blocked []bool
	// lookAt is when room is looked for again without news; zero for never.
	lookAt time.Time
}

// lookTime is how often room is looked for while requests wait for it: an
// engine's room for prompts grows with the time.
const lookTime = 10 * time.Millisecond

// NewQueue returns an empty queue.
func NewQueue(router *router.Router, now time.Time) *Queue {
	return &Queue{
		router:  router,
		demand:  newLedger(now),
		budgets: newBudgets(limiter.StandardBudget()),
		shares:  newShares(shareEntries),
		groups:  map[kind]int{},
		returns: returns{},
		flows:   flows{},
		before:  map[string]int{},
	}
}

// Arrive takes in a new request.
func (q *Queue) Arrive(now time.Time, request Request) *Ticket {
	t := newTicket(request)
	q.arrive(now, t)
	return t
}

// ArriveAgain takes in a retry after a grant that failed.
func (q *Queue) ArriveAgain(now time.Time, grant *Grant) *Ticket {
	t := newRetry(grant)
	q.arrive(now, t)
	return t
}

// End takes in the result of a grant.
func (q *Queue) End(grant *Grant, result Result) {
	e := ending{grant: grant, first: grant.first, result: result}
	q.router.Finished(grant.Choice, e.sample())
	q.demand.ended(&e)
}

// Withdraw decides a waiting ticket whose caller has gone.
func (q *Queue) Withdraw(t *Ticket, err error) {
	at := slices.Index(q.waiting, t)
	if at < 0 {
		return
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	q.decide(Decision{Ticket: t, Err: err})
}

// Pump grants what fits and gives up on what is hopeless. Once a request has
// found no room, those after it that ask for the same are not tried.
func (q *Queue) Pump(now time.Time) {
	clear(q.blocked)
	clear(q.before)
	q.sort(now)
	kept := q.waiting[:0]
	for _, t := range q.waiting {
		if q.hopeless(now, t) {
			continue
		}
		if !q.blocked[t.group] && q.try(now, t) {
			continue
		}
		if q.blocked[t.group] && !now.Before(t.holderBy) {
			t.holderBy = time.Time{}
		}
		q.blocked[t.group] = true
		if q.tooManyAhead(now, t) {
			continue
		}
		q.before[flowOf(&t.request)]++
		kept = append(kept, t)
	}
	q.flows.settle(q.before, now)
	clear(q.waiting[len(kept):])
	q.waiting = kept
	q.lookAt = time.Time{}
	if slices.ContainsFunc(kept, func(t *Ticket) bool { return t.holderBy.IsZero() }) {
		q.lookAt = now.Add(lookTime)
	}
}

// sort moves those that can't meet their targets any more behind those that can. It
// answers an overload: serving what is overdue first would make all that comes after
// it overdue too. Those of subscribers that used more than their share follow the
// others, then those that have little time left go before those that have more, and
// the more important first. Where that is equal the order stays as it was.
func (q *Queue) sort(now time.Time) {
	slices.SortStableFunc(q.waiting, func(a, b *Ticket) int {
		if first, second := a.overdue(now), b.overdue(now); first != second {
			return yesLast(first)
		}
		if a.request.Route.OverFairShare != b.request.Route.OverFairShare {
			return yesLast(a.request.Route.OverFairShare)
		}
		if first, second := a.hurried(now), b.hurried(now); first != second {
			return yesLast(second)
		}
		return cmp.Compare(a.request.Rank, b.request.Rank)
	})
}

// yesLast orders two of which one has a property: the other one goes first.
func yesLast(firstHas bool) int {
	if firstHas {
		return 1
	}
	return -1
}

// tooManyAhead refuses a ticket that won't get its turn while it is of use to its
// caller, given how fast those before it get theirs. Where an answer is of no use
// after the target, the estimate is too coarse for the time that is left.
func (q *Queue) tooManyAhead(now time.Time, t *Ticket) bool {
	if t.request.UsefulUntil.IsZero() || !t.holderBy.IsZero() {
		return false
	}
	name := flowOf(&t.request)
	wait := q.flows.of(name, now).wait(q.before[name] + 1)
	if !now.Add(wait).After(t.giveUpBy) {
		return false
	}
	q.demand.refused(&t.request)
	q.decide(Decision{Ticket: t, Err: &HopelessError{Retry: now.Add(min(latestRetry, max(soonestRetry, wait)))}})
	return true
}

// Next returns when the next ticket is to be given up on, zero for never.
func (q *Queue) Next() time.Time {
	next := q.lookAt
	for _, t := range q.waiting {
		next = earlier(next, t.giveUpBy)
		next = earlier(next, t.holderBy)
	}
	return next
}

// earlier returns the earlier of two times; zero stands for never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// Stop decides everything that waits.
func (q *Queue) Stop() {
	for _, t := range q.waiting {
		q.decide(Decision{Ticket: t, Err: &StoppedError{}})
	}
	q.waiting = nil
}

// Take returns the decisions made since the last call.
func (q *Queue) Take() []Decision {
	taken := q.decisions
	q.decisions = nil
	return taken
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Demand returns what was asked for since the queue was made.
func (q *Queue) Demand() placer.Demand { return q.demand.demand() }

func (q *Queue) arrive(now time.Time, t *Ticket) {
	if !q.count(t) {
		q.decide(Decision{Ticket: t, Err: q.unpaid(now, t)})
		return
	}
	t.request.Route.OverFairShare = q.shares.over(now, t.request.Subscriber)
	if q.try(now, t) {
		return
	}
	if len(q.waiting) >= queueLimit {
		last := q.waiting[len(q.waiting)-1]
		if !t.before(last) {
			q.overload(now, t)
			return
		}
		q.waiting = q.waiting[:len(q.waiting)-1]
		q.overload(now, last)
	}
	q.insert(t)
}

func (q *Queue) insert(t *Ticket) {
	t.waited = true
	if t.holderBy.IsZero() {
		q.lookAt = t.request.Arrived.Add(lookTime)
	}
	t.group = q.group(t.kind())
	at, _ := slices.BinarySearchFunc(q.waiting, t, func(a, b *Ticket) int {
		if b.before(a) {
			return 1
		}
		return -1
	})
	q.waiting = slices.Insert(q.waiting, at, t)
}

// group returns the number of a kind.
func (q *Queue) group(k kind) int {
	if len(q.waiting) == 0 {
		clear(q.groups)
		q.blocked = q.blocked[:0]
	}
	at, known := q.groups[k]
	if !known {
		at = len(q.blocked)
		q.groups[k] = at
		q.blocked = append(q.blocked, false)
	}
	return at
}

// count earns or spends retry budget, once for each request and for each
// dispatch that failed. It returns false for a retry that the budget does not
// cover.
func (q *Queue) count(t *Ticket) bool {
	budget := q.budgets.of(t.request.Route.Service)
	switch {
	case t.after != nil:
		t.after.paid = t.after.paid || budget.Spend()
		return t.after.paid
	case t.request.Counted:
		return true
	}
	q.demand.arrived(&t.request)
	budget.Earn()
	return true
}

// unpaid says why a retry is refused that the budget does not cover. Where it
// would find nothing but upstreams that pause or are at their limits of requests,
// these tell when to come back.
func (q *Queue) unpaid(now time.Time, t *Ticket) error {
	_, err := q.router.Choose(now, &t.request.Route)
	var paused *router.PausedError
	var rationed *router.RateLimitedError
	if errors.As(err, &paused) || errors.As(err, &rationed) {
		return err
	}
	return &BudgetError{}
}

func (q *Queue) decide(d Decision) { q.decisions = append(q.decisions, d) }

func (q *Queue) hopeless(now time.Time, t *Ticket) bool {
	if t.giveUpBy.IsZero() || now.Before(t.giveUpBy) {
		return false
	}
	q.giveUp(now, t)
	return true
}

func (q *Queue) giveUp(now time.Time, t *Ticket) {
	q.demand.refused(&t.request)
	q.decide(Decision{Ticket: t, Err: &HopelessError{Retry: q.pace.retry(now, len(q.waiting))}})
}

func (q *Queue) overload(now time.Time, t *Ticket) {
	q.demand.refused(&t.request)
	q.decide(Decision{Ticket: t, Err: &OverloadError{Retry: q.pace.retry(now, len(q.waiting))}})
}

// try grants a ticket if an upstream has room, or refuses it if no upstream
// holds what it asks for and it can't wait for one. It returns false if the ticket has to wait.
func (q *Queue) try(now time.Time, t *Ticket) bool {
	choice, err := q.router.Choose(now, &t.request.Route)
	if err == nil {
		if t.waited && t.late(choice.PredictedFirstToken) {
			q.giveUp(now, t)
			return true
		}
		q.grant(now, t, choice)
		return true
	}
	var saturated *router.SaturatedError
	if errors.As(err, &saturated) {
		t.holderBy = time.Time{}
		return false
	}
	var rationed *router.RateLimitedError
	if errors.As(err, &rationed) {
		t.holderBy = time.Time{}
		return q.refuseRationed(now, t, rationed)
	}
	if t.waitsForHolder(now) {
		return false
	}
	if !t.request.Counted {
		q.demand.refused(&t.request)
	}
	q.decide(Decision{Ticket: t, Err: err})
	return true
}

// refuseRationed refuses a ticket where upstreams that limit the requests of all
// VMs can't take it in time, even if this entry gets all that they take: those that
// wait for the same go first. Else the ticket waits.
func (q *Queue) refuseRationed(now time.Time, t *Ticket, rationed *router.RateLimitedError) bool {
	expected := rationed.RetryAt.Add(rationed.TimeFor(q.ahead(t)))
	if t.giveUpBy.IsZero() || expected.Before(t.giveUpBy) {
		return false
	}
	rationed.RetryAt = q.returns.next(now, t.kind().room(), expected, rationed.TimeFor(1))
	q.demand.refused(&t.request)
	q.decide(Decision{Ticket: t, Err: rationed})
	return true
}

// ahead counts the tickets before one, or in the whole queue, that wait for the
// same upstreams.
func (q *Queue) ahead(t *Ticket) int {
	count := 0
	for _, other := range q.waiting {
		if other == t {
			break
		}
		if other.kind().room() == t.kind().room() {
			count++
		}
	}
	return count
}

func (q *Queue) grant(now time.Time, t *Ticket, choice router.Choice) {
	choice.PermitExpiresAt = q.router.Started(choice, &t.request.Route, now)
	if t.waited {
		q.flows.of(flowOf(&t.request), now).granted++
	}
	q.pace.granted(now)
	q.shares.add(now, t.request.Subscriber, cost(&t.request))
	q.decide(Decision{Ticket: t, Grant: &Grant{
		Choice:   choice,
		Priority: priority(t.request.Class),
		Started:  now,
		request:  t.request,
	}})
}
