package admitter

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/limiter"
	"burdocklink/router"
)

// TestOverdueRequestsGoLast overloads one slot: requests that can still meet their
// target go first, overdue ones follow, and those whose caller no longer waits are
// refused.
func TestOverdueRequestsGoLast(t *testing.T) {
	q, r := newTestQueue(t, 1)
	// occupies the only slot
	blocker := q.Arrive(epoch, requestAt(epoch, "blocker"))
	grants := takeGrants(q)
	assert.Equal(t, len(grants), 1)
	overdue := usefulRequest(epoch, "overdue", 2*time.Second)
	fresh := usefulRequest(epoch.Add(900*time.Millisecond), "fresh", 2*time.Second)
	expired := usefulRequest(epoch, "expired", 700*time.Millisecond)
	q.Arrive(epoch, overdue)
	q.Arrive(epoch, expired)
	later := epoch.Add(900 * time.Millisecond)
	q.Arrive(later, fresh)
	q.Pump(later)
	var refused *TargetMissedError
	decisions := q.Take()
	assert.Equal(t, len(decisions), 1)
	assert.Assert(t, errors.As(decisions[0].Err, &refused))
	_ = blocker
	_ = r
	q.End(grants[0], Result{Ended: later, Outcome: router.OutcomeFinished})
	q.Pump(later)
	next := takeGrants(q)
	assert.Equal(t, len(next), 1)
	assert.Equal(t, next[0].request.Subscriber, "fresh")
	q.End(next[0], Result{Ended: later, Outcome: router.OutcomeFinished})
	q.Pump(later)
	last := takeGrants(q)
	assert.Equal(t, len(last), 1)
	assert.Equal(t, last[0].request.Subscriber, "overdue")
}

// usefulRequest returns a request whose answer is useful for a time after its
// arrival, whatever the class target.
func usefulRequest(arrived time.Time, subscriber string, wait time.Duration) Request {
	request := requestAt(arrived, subscriber)
	request.Class.Target.FirstToken = 500 * time.Millisecond
	request.UsefulUntil = arrived.Add(wait)
	return request
}

// TestRetriesOfAllEntriesStayWithinBudget covers the worst case for one service:
// every entry has its full reserve, and every request fails.
func TestRetriesOfAllEntriesStayWithinBudget(t *testing.T) {
	const (
		entries = 7
		ratio   = 0.2
		slack   = 54.0
		part    = 0.7
	)
	requests, retries := 0, 0
	for range entries {
		b := newRetryBudgets(limiter.BudgetSettings{Fraction: part * ratio, Reserve: part * slack / entries})
		for range 50 {
			requests++
			b.get("calendar").Earn()
			if b.get("calendar").Spend() {
				retries++
			}
		}
		// other services have a budget of their own
		assert.Assert(t, b.get("engines").Spend())
	}
	assert.Assert(t, float64(retries) <= ratio*float64(requests)+slack, "%d retries of %d requests", retries, requests)
	assert.Assert(t, retries > 0)
}
