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

// maxQueued bounds the waiting requests of one entry.
const maxQueued = 4096

// holderTimeout is how long a request whose target is later than that waits until an
// upstream holds its model.
const holderTimeout = 2 * time.Minute

// Queue is the deterministic core of admission control. It keeps waiting requests
// in order of the time left to their targets. It must be used by one goroutine
// only. Calls record decisions, which Take returns.
type Queue struct {
	router       *router.Router
	waiting      []*Ticket
	demand       *demandCounter
	retryBudgets retryBudgets
	shares       fairShares
	grantRate    grantRate
	retryTimes   retryTimes
	drainRates   drainRates
	serviceTimes serviceTimes
	// queuedAhead counts, by drain rate key, the requests that Pump has kept
	// waiting so far.
	queuedAhead map[string]int
	decisions   []Decision
	// groups numbers the kinds of waiting requests; blocked reports, by group,
	// whether one found no room in the current call of Pump.
	groups  map[requestKind]int
	blocked []bool
	// nextScan is when to look for room again without an event; zero means never.
	nextScan time.Time
}

// scanInterval is how often Pump runs while requests wait for room, since an
// engine's room for prompts grows as time passes.
const scanInterval = 10 * time.Millisecond

// NewQueue returns an empty queue.
func NewQueue(router *router.Router, now time.Time) *Queue {
	return &Queue{
		router:       router,
		demand:       newDemandCounter(now),
		retryBudgets: newRetryBudgets(limiter.DefaultBudget()),
		shares:       newFairShares(),
		groups:       map[requestKind]int{},
		retryTimes:   retryTimes{},
		drainRates:   drainRates{},
		serviceTimes: serviceTimes{},
		queuedAhead:  map[string]int{},
	}
}

// Arrive admits or enqueues a new request.
func (q *Queue) Arrive(now time.Time, request Request) *Ticket {
	t := newTicket(request)
	q.arrive(now, t)
	return t
}

// ArriveRetry admits or enqueues a retry after a failed grant.
func (q *Queue) ArriveRetry(now time.Time, grant *Grant) *Ticket {
	t := newRetry(grant)
	q.arrive(now, t)
	return t
}

// End records the result of a grant.
func (q *Queue) End(grant *Grant, result Result) {
	e := completedDispatch{grant: grant, firstToken: grant.firstToken, result: result}
	q.router.Finished(grant.Choice, e.sample())
	q.demand.countCompletion(&e)
	if result.Outcome == router.OutcomeFinished {
		q.serviceTimes.observe(&e)
	}
}

// Withdraw removes a waiting ticket whose caller has gone, with err as its
// decision.
func (q *Queue) Withdraw(t *Ticket, err error) {
	at := slices.Index(q.waiting, t)
	if at < 0 {
		return
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	q.decide(Decision{Ticket: t, Err: err})
}

// Pump grants requests for which there is room and refuses those that have expired.
// Once a request finds no room, later requests of the same kind are not tried.
func (q *Queue) Pump(now time.Time) {
	clear(q.blocked)
	clear(q.queuedAhead)
	q.sort(now)
	kept := q.waiting[:0]
	for _, t := range q.waiting {
		if q.expire(now, t) {
			continue
		}
		if !q.blocked[t.group] && q.tryGrant(now, t) {
			continue
		}
		if q.blocked[t.group] && !now.Before(t.holderDeadline) {
			t.holderDeadline = time.Time{}
		}
		q.blocked[t.group] = true
		if q.shed(now, t) {
			continue
		}
		q.queuedAhead[drainRateKey(&t.request)]++
		kept = append(kept, t)
	}
	q.drainRates.update(q.queuedAhead, now)
	clear(q.waiting[len(kept):])
	q.waiting = kept
	q.nextScan = time.Time{}
	if slices.ContainsFunc(kept, func(t *Ticket) bool { return t.holderDeadline.IsZero() }) {
		q.nextScan = now.Add(scanInterval)
	}
}

// sort orders waiting requests for overload: those that can still meet their target
// come before overdue ones, since serving overdue requests first would make all
// later ones overdue too. The time that upstreams take counts: otherwise requests are
// granted just before their target, and answered after it. Requests that continue a stream
// go before all others. Subscribers above their fair share come after the others,
// then requests with little time left before those with more, then lower ranks
// before higher ones. The sort is stable.
func (q *Queue) sort(now time.Time) {
	for _, t := range q.waiting {
		t.serviceTime = q.serviceTimes.expected(t)
	}
	slices.SortStableFunc(q.waiting, func(a, b *Ticket) int {
		if first, second := a.continues(), b.continues(); first != second {
			return falseFirst(second)
		}
		if first, second := a.overdue(now), b.overdue(now); first != second {
			return falseFirst(first)
		}
		if a.request.Route.OverFairShare != b.request.Route.OverFairShare {
			return falseFirst(a.request.Route.OverFairShare)
		}
		if first, second := a.urgent(now), b.urgent(now); first != second {
			return falseFirst(second)
		}
		return cmp.Compare(a.request.Rank, b.request.Rank)
	})
}

// falseFirst compares two items of which exactly one has a property; the other one
// goes first.
func falseFirst(first bool) int {
	if first {
		return 1
	}
	return -1
}

// shed refuses a ticket that would not be granted while its answer is still useful,
// given the drain rate of the requests ahead of it. It does nothing if the answer
// is useless after the target, since the estimate is too coarse for so little time,
// or while the ticket waits for a holder.
func (q *Queue) shed(now time.Time, t *Ticket) bool {
	if t.request.UsefulUntil.IsZero() || !t.holderDeadline.IsZero() {
		return false
	}
	name := drainRateKey(&t.request)
	wait := q.drainRates.get(name, now).estimateWait(q.queuedAhead[name] + 1)
	if !now.Add(wait).After(t.giveUpBy) {
		return false
	}
	q.demand.countRefusal(&t.request)
	q.decide(Decision{Ticket: t, Err: &TargetMissedError{RetryAt: now.Add(min(maxRetryDelay, max(minRetryDelay, wait)))}})
	return true
}

// Next returns when Pump must run next, or zero for never.
func (q *Queue) Next() time.Time {
	next := q.nextScan
	for _, t := range q.waiting {
		next = earlier(next, t.giveUpBy)
		next = earlier(next, t.holderDeadline)
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

// Stop refuses all waiting requests.
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

// Demand returns the demand counted since the queue was created.
func (q *Queue) Demand() placer.Demand { return q.demand.snapshot() }

func (q *Queue) arrive(now time.Time, t *Ticket) {
	if !q.chargeBudget(t) {
		q.decide(Decision{Ticket: t, Err: q.retryRefusal(now, t)})
		return
	}
	t.request.Route.OverFairShare = q.shares.over(now, &t.request)
	if q.tryGrant(now, t) {
		return
	}
	if len(q.waiting) >= maxQueued {
		last := q.waiting[len(q.waiting)-1]
		if !t.precedes(last) {
			q.refuseOverload(now, t)
			return
		}
		q.waiting = q.waiting[:len(q.waiting)-1]
		q.refuseOverload(now, last)
	}
	q.insert(t)
}

func (q *Queue) insert(t *Ticket) {
	t.waited = true
	if t.holderDeadline.IsZero() {
		q.nextScan = t.request.Arrived.Add(scanInterval)
	}
	t.group = q.group(t.kind())
	at, _ := slices.BinarySearchFunc(q.waiting, t, func(a, b *Ticket) int {
		if b.precedes(a) {
			return 1
		}
		return -1
	})
	q.waiting = slices.Insert(q.waiting, at, t)
}

// group returns the number of a kind of requests.
func (q *Queue) group(k requestKind) int {
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

// chargeBudget earns retry budget for a new request and spends it for a retry, once
// per failed dispatch. It reports false for a retry that the budget does not cover.
func (q *Queue) chargeBudget(t *Ticket) bool {
	budget := q.retryBudgets.get(t.request.Route.Service)
	switch {
	case t.failed != nil:
		t.failed.retryCovered = t.failed.retryCovered || budget.Spend()
		return t.failed.retryCovered
	case t.request.Counted:
		return true
	}
	q.demand.countArrival(&t.request)
	budget.Earn()
	return true
}

// retryRefusal returns the error for a retry that the budget does not cover. If all
// suitable upstreams are paused or at their rate limit, it returns that error,
// which says when to retry.
func (q *Queue) retryRefusal(now time.Time, t *Ticket) error {
	_, err := q.router.Choose(now, &t.request.Route)
	var paused *router.PausedError
	var limited *router.RateLimitedError
	if errors.As(err, &paused) || errors.As(err, &limited) {
		return err
	}
	return &RetryBudgetError{}
}

func (q *Queue) decide(d Decision) { q.decisions = append(q.decisions, d) }

func (q *Queue) expire(now time.Time, t *Ticket) bool {
	if t.giveUpBy.IsZero() || now.Before(t.giveUpBy) {
		return false
	}
	q.refuseLate(now, t)
	return true
}

func (q *Queue) refuseLate(now time.Time, t *Ticket) {
	q.demand.countRefusal(&t.request)
	q.decide(Decision{Ticket: t, Err: &TargetMissedError{RetryAt: q.grantRate.retryAt(now, len(q.waiting))}})
}

func (q *Queue) refuseOverload(now time.Time, t *Ticket) {
	q.demand.countRefusal(&t.request)
	q.decide(Decision{Ticket: t, Err: &OverloadError{RetryAt: q.grantRate.retryAt(now, len(q.waiting))}})
}

// tryGrant grants a ticket if an upstream has room, or refuses it if no upstream
// can serve it and it can't wait for one. It reports whether a decision was made.
func (q *Queue) tryGrant(now time.Time, t *Ticket) bool {
	choice, err := q.router.Choose(now, &t.request.Route)
	if err == nil {
		if t.waited && t.wouldMissTarget(choice.PredictedFirstToken) {
			q.refuseLate(now, t)
			return true
		}
		q.grant(now, t, choice)
		return true
	}
	var saturated *router.SaturatedError
	if errors.As(err, &saturated) {
		t.holderDeadline = time.Time{}
		return false
	}
	var limited *router.RateLimitedError
	if errors.As(err, &limited) {
		t.holderDeadline = time.Time{}
		return q.refuseRateLimited(now, t, limited)
	}
	var gone *router.OriginGoneError
	if !errors.As(err, &gone) && t.waitsForHolder(now) {
		return false
	}
	if !t.request.Counted {
		q.demand.countRefusal(&t.request)
	}
	q.decide(Decision{Ticket: t, Err: err})
	return true
}

// refuseRateLimited refuses a ticket if rate-limited upstreams can't take it in
// time even when this entry gets the whole limit and the requests ahead of it go
// first. It reports whether the ticket was refused.
func (q *Queue) refuseRateLimited(now time.Time, t *Ticket, limited *router.RateLimitedError) bool {
	expected := limited.RetryAt.Add(limited.TimeFor(q.countAhead(t)))
	if t.giveUpBy.IsZero() || expected.Before(t.giveUpBy) {
		return false
	}
	limited.RetryAt = q.retryTimes.next(now, t.kind().pool(), expected, limited.TimeFor(1))
	q.demand.countRefusal(&t.request)
	q.decide(Decision{Ticket: t, Err: limited})
	return true
}

// countAhead counts the tickets ahead of t, or in the whole queue if t is not in
// it, that wait for the same pool of upstreams.
func (q *Queue) countAhead(t *Ticket) int {
	count := 0
	for _, other := range q.waiting {
		if other == t {
			break
		}
		if other.kind().pool() == t.kind().pool() {
			count++
		}
	}
	return count
}

func (q *Queue) grant(now time.Time, t *Ticket, choice router.Choice) {
	choice.PermitExpiresAt = q.router.Started(choice, &t.request.Route, now)
	q.drainRates.countGrant(drainRateKey(&t.request), now)
	q.grantRate.record(now)
	q.shares.add(now, &t.request)
	q.decide(Decision{Ticket: t, Grant: &Grant{
		Choice:   choice,
		Priority: priority(t.request.Class),
		Started:  now,
		request:  t.request,
	}})
}
