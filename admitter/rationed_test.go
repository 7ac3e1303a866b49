package admitter

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/limiter"
	"burdocklink/router"
)

// rationQueue is a queue before one engine that takes a number of requests a
// second, none of which is reserved.
func rationQueue(t *testing.T, perSecond float64) (*Queue, *router.Router, router.Choice) {
	t.Helper()
	q, r := queueOf(t, 16)
	q.Arrive(epoch, at(epoch, "first"))
	grant := granted(q)[0]
	q.End(grant, Result{Ended: epoch, Outcome: router.OutcomeFinished})
	r.ObserveLimit(epoch, grant.Choice, epoch, router.RateLimit{Announced: true, PerSecond: perSecond})
	return q, r, grant.Choice
}

// reserve lets requests through at a time.
func reserve(r *router.Router, to router.Choice, count int, from time.Time) {
	one := limiter.Permit{From: from, Until: from.Add(limiter.PermitTime)}
	reservation := router.Reservation{Upstream: to.Upstream, Incarnation: to.Incarnation}
	for range count {
		reservation.Permits = append(reservation.Permits, one)
	}
	r.AddReservations([]router.Reservation{reservation})
}

func TestRequestsWaitForWhatIsReservedForThem(t *testing.T) {
	q, r, limited := rationQueue(t, 10)
	for range 3 {
		q.Arrive(epoch, at(epoch, "caller"))
	}
	assert.Equal(t, len(q.Take()), 0)
	asks, _ := r.ReservationRequests(epoch, "core-1")
	assert.Equal(t, len(asks), 1)
	assert.Equal(t, asks[0].PerSecond, 10.0)
	assert.Assert(t, asks[0].Wanted > 0)
	due := epoch.Add(50 * time.Millisecond)
	reserve(r, limited, 2, due)
	q.Pump(epoch)
	assert.Equal(t, len(q.Take()), 0, "none is due")
	q.Pump(due)
	grants := granted(q)
	assert.Equal(t, len(grants), 2)
	for _, one := range grants {
		assert.Equal(t, one.Choice.PermitExpiresAt, due.Add(limiter.PermitTime))
		assert.Assert(t, r.Allows(due, one.Choice))
		assert.Assert(t, !r.Allows(due.Add(limiter.PermitTime), one.Choice), "the permit has lapsed")
	}
	assert.Equal(t, q.Waiting(), 1)
}

func TestWhatALimitLeavesNoRoomForIsRefusedAtOnce(t *testing.T) {
	q, _, _ := rationQueue(t, 1)
	var retries []time.Time
	refused := 0
	for range 60 {
		q.Arrive(epoch, at(epoch, "caller"))
		for _, d := range q.Take() {
			var rationed *router.RateLimitedError
			assert.Assert(t, errors.As(d.Err, &rationed), "got %v", d.Err)
			retries = append(retries, rationed.RetryAt)
			refused++
		}
	}
	assert.Assert(t, q.Waiting() > 0 && refused > 0, "%d wait, %d are refused", q.Waiting(), refused)
	assert.Equal(t, q.Waiting()+refused, 60)
	for at, retry := range retries[1:] {
		if retry.Before(epoch.Add(latestRetry)) {
			assert.Equal(t, retry.Sub(retries[at]), time.Second, "they come back as fast as requests are taken")
		}
	}
}

func TestARetryWithoutBudgetIsToldWhenTheLimitLeavesRoom(t *testing.T) {
	q, r := queueOf(t, 16)
	q.budgets = newBudgets(limiter.BudgetSettings{})
	q.Arrive(epoch, at(epoch, "caller"))
	grant := granted(q)[0]
	q.ArriveAgain(epoch, grant)
	var budget *BudgetError
	assert.Assert(t, errors.As(q.Take()[0].Err, &budget))
	r.ObserveLimit(epoch, grant.Choice, epoch, router.RateLimit{Announced: true, PerSecond: 1})
	var rationed *router.RateLimitedError
	assert.Assert(t, errors.As(q.unpaid(epoch, &Ticket{request: grant.request}), &rationed))
}
