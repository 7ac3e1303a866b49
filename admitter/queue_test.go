package admitter

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/cataloger"
	"burdocklink/classifier"
	"burdocklink/estimator"
	"burdocklink/limiter"
	"burdocklink/router"
)

var epoch = time.Date(2030, time.May, 1, 10, 0, 0, 0, time.UTC)

// newTestQueue returns a queue in front of one engine.
func newTestQueue(t *testing.T, slots int) (*Queue, *router.Router) {
	t.Helper()
	r := router.New(router.Settings{})
	r.Update(newCatalog(slots))
	return NewQueue(r, epoch), r
}

// requestAt returns a request that arrives at a time.
func requestAt(arrived time.Time, subscriber string) Request {
	request := chatRequest(subscriber)
	request.Arrived = arrived
	return request
}

// takeGrants returns the grants among the decisions.
func takeGrants(q *Queue) []*Grant {
	var grants []*Grant
	for _, d := range q.Take() {
		if d.Grant != nil {
			grants = append(grants, d.Grant)
		}
	}
	return grants
}

// saturate issues grants until a request has to wait.
func saturate(q *Queue, now time.Time) []*Grant {
	var grants []*Grant
	for q.Waiting() == 0 {
		q.Arrive(now, requestAt(now, "filler"))
		grants = append(grants, takeGrants(q)...)
	}
	return grants
}

func TestWaitingRequestIsRefusedWhenGrantWouldMissTarget(t *testing.T) {
	q, r := newTestQueue(t, 1)
	grants := saturate(q, epoch)
	// The engine reports that a prompt takes far longer than the target.
	r.Observe(estimator.Report{
		Upstream: "e1", Incarnation: "i1", Sequence: 1, Taken: epoch, Slots: 1,
		PrefillTokensPerSecond: 1, Models: []string{"m"},
	})
	now := epoch.Add(time.Second)
	for _, g := range grants {
		q.End(g, Result{Ended: now, Outcome: router.OutcomeFinished})
	}
	q.Pump(now)
	decisions := q.Take()
	assert.Equal(t, len(decisions), 1)
	var missed *TargetMissedError
	assert.Assert(t, errors.As(decisions[0].Err, &missed), "got %v", decisions[0].Err)
	assert.Equal(t, q.Waiting(), 0)
	// A request that has not waited is still granted on the idle engine.
	q.Arrive(now, requestAt(now, "next"))
	assert.Equal(t, len(takeGrants(q)), 1)
}

func TestRequestWithDistantTargetWaitsForAHolder(t *testing.T) {
	distant := requestAt(epoch, "s")
	distant.Class = classifier.Class{Name: "overnight", Target: classifier.Target{Whole: 8 * time.Hour}}
	distant.Route.Model = "new"
	near := requestAt(epoch, "s")
	near.Route.Model = "new"
	q, r := newTestQueue(t, 1)
	q.Arrive(epoch, distant)
	q.Arrive(epoch, near)
	decisions := q.Take()
	assert.Equal(t, len(decisions), 1)
	var none *router.NoUpstreamError
	assert.Assert(t, errors.As(decisions[0].Err, &none), "got %v", decisions[0].Err)
	held, err := newCatalog(1).With(cataloger.Delta{From: 1, To: 2, Changes: []cataloger.Change{
		cataloger.PutPlacement{Placement: cataloger.Placement{Upstream: "e1", Incarnation: "i1", Models: []string{"new"}}},
	}})
	assert.NilError(t, err)
	r.Update(held)
	q.Pump(epoch.Add(time.Second))
	assert.Equal(t, len(takeGrants(q)), 1)
}

func TestRequestIsRefusedAfterHolderTimeout(t *testing.T) {
	distant := requestAt(epoch, "s")
	distant.Class = classifier.Class{Name: "overnight", Target: classifier.Target{Whole: 8 * time.Hour}}
	distant.Route.Model = "new"
	q, _ := newTestQueue(t, 1)
	q.Arrive(epoch, distant)
	assert.Equal(t, q.Next(), epoch.Add(holderTimeout))
	q.Pump(q.Next())
	decisions := q.Take()
	assert.Equal(t, len(decisions), 1)
	var none *router.NoUpstreamError
	assert.Assert(t, errors.As(decisions[0].Err, &none), "got %v", decisions[0].Err)
}

func TestRetryTimeFollowsBacklog(t *testing.T) {
	var p grantRate
	now := epoch
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		p.record(now)
	}
	cases := map[string]struct {
		waiting int
		atLeast time.Duration
		atMost  time.Duration
	}{
		"empty queue":                      {waiting: 0, atLeast: minRetryDelay, atMost: minRetryDelay},
		"long queue":                       {waiting: 100, atLeast: 5 * time.Second, atMost: 30 * time.Second},
		"backlog beyond the longest delay": {waiting: 100000, atLeast: maxRetryDelay, atMost: maxRetryDelay},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			wait := p.retryAt(now, c.waiting).Sub(now)
			assert.Assert(t, wait >= c.atLeast && wait <= c.atMost, "%s", wait)
		})
	}
}

func TestHolderDeadlineClearsOnceAHolderExists(t *testing.T) {
	overnight := requestAt(epoch, "s")
	overnight.Class = classifier.Class{Name: "overnight", Target: classifier.Target{Whole: 8 * time.Hour}}
	overnight.Route.Model = "new"
	q, r := newTestQueue(t, 1)
	saturate(q, epoch)
	q.Arrive(epoch, overnight)
	q.Arrive(epoch, overnight)
	held, err := newCatalog(1).With(cataloger.Delta{From: 1, To: 2, Changes: []cataloger.Change{
		cataloger.PutPlacement{Placement: cataloger.Placement{Upstream: "e1", Incarnation: "i1", Models: []string{"m", "new"}}},
	}})
	assert.NilError(t, err)
	r.Update(held)
	late := epoch.Add(2 * holderTimeout)
	q.Pump(epoch.Add(time.Second))
	q.Pump(late)
	assert.Equal(t, q.Waiting(), 2)
	assert.Assert(t, q.Next().After(late), "%s", q.Next())
}

// Requests for a model whose only holder was unreachable were admitted again and
// again. Each attempt counted as new demand, and each second dispatch spent the
// retry budget again.
func TestRepeatedAdmissionCountsDemandOnce(t *testing.T) {
	q, _ := newTestQueue(t, 1)
	unheld := requestAt(epoch, "caller")
	unheld.Route.Model = "held by nobody"
	for range 50 {
		q.Arrive(epoch, unheld)
		unheld.Counted = true
	}
	count := q.Demand().Counts["held by nobody"][unheld.Class.Name]
	assert.Equal(t, count.Arrivals, uint64(1))
}

func TestRetrySpendsBudgetOnce(t *testing.T) {
	q, _ := newTestQueue(t, 1)
	q.retryBudgets = newRetryBudgets(limiter.BudgetSettings{Fraction: 0, Reserve: 1})
	q.Arrive(epoch, requestAt(epoch, "caller"))
	grant := takeGrants(q)[0]
	for range 50 {
		q.ArriveRetry(epoch, grant)
		for _, decision := range q.Take() {
			var spent *RetryBudgetError
			assert.Assert(t, !errors.As(decision.Err, &spent))
		}
	}
	// nothing is left for the retry of another request
	other := &Grant{Choice: grant.Choice, request: grant.request}
	q.ArriveRetry(epoch, other)
	var spent *RetryBudgetError
	assert.Assert(t, errors.As(q.Take()[0].Err, &spent))
}

// When a third of the engines had crashed, dispatches that never reached an engine
// spent the retry budget, and 850 requests were refused for it within four seconds.
func TestUnsentDispatchSpendsNoRetryBudget(t *testing.T) {
	q, _ := newTestQueue(t, 1)
	q.retryBudgets = newRetryBudgets(limiter.BudgetSettings{Fraction: 0, Reserve: 0})
	q.Arrive(epoch, requestAt(epoch, "caller"))
	grant := takeGrants(q)[0]
	grant.MarkNotSent()
	q.ArriveRetry(epoch, grant)
	for _, decision := range q.Take() {
		var spent *RetryBudgetError
		assert.Assert(t, !errors.As(decision.Err, &spent))
	}
}
