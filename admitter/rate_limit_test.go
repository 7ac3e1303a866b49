package admitter

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/limiter"
	"burdocklink/router"
)

// rateLimitedQueue returns a queue in front of one engine with a rate limit,
// without any permits.
func rateLimitedQueue(t *testing.T, perSecond float64) (*Queue, *router.Router, router.Choice) {
	t.Helper()
	q, r := newTestQueue(t, 16)
	q.Arrive(epoch, requestAt(epoch, "first"))
	grant := takeGrants(q)[0]
	q.End(grant, Result{Ended: epoch, Outcome: router.OutcomeFinished})
	r.ObserveLimit(epoch, grant.Choice, epoch, router.RateLimit{Announced: true, PerSecond: perSecond})
	return q, r, grant.Choice
}

// addPermits reserves count requests that are due at a time.
func addPermits(r *router.Router, choice router.Choice, count int, from time.Time) {
	permit := limiter.Permit{From: from, Until: from.Add(limiter.PermitLifetime)}
	reservation := router.Reservation{Upstream: choice.Upstream, Incarnation: choice.Incarnation}
	for range count {
		reservation.Permits = append(reservation.Permits, permit)
	}
	r.AddReservations([]router.Reservation{reservation})
}

func TestRequestsWaitForPermits(t *testing.T) {
	q, r, limited := rateLimitedQueue(t, 10)
	for range 3 {
		q.Arrive(epoch, requestAt(epoch, "caller"))
	}
	assert.Equal(t, len(q.Take()), 0)
	requests, _ := r.ReservationRequests(epoch, "core-1")
	assert.Equal(t, len(requests), 1)
	assert.Equal(t, requests[0].PerSecond, 10.0)
	assert.Assert(t, requests[0].Wanted > 0)
	due := epoch.Add(50 * time.Millisecond)
	addPermits(r, limited, 2, due)
	q.Pump(epoch)
	assert.Equal(t, len(q.Take()), 0, "no permit is due")
	q.Pump(due)
	grants := takeGrants(q)
	assert.Equal(t, len(grants), 2)
	for _, grant := range grants {
		assert.Equal(t, grant.Choice.PermitExpiresAt, due.Add(limiter.PermitLifetime))
		assert.Assert(t, r.Allows(due, grant.Choice))
		assert.Assert(t, !r.Allows(due.Add(limiter.PermitLifetime), grant.Choice), "the permit has expired")
	}
	assert.Equal(t, q.Waiting(), 1)
}

func TestRequestsBeyondRateLimitAreRefused(t *testing.T) {
	q, _, _ := rateLimitedQueue(t, 1)
	var retries []time.Time
	refused := 0
	for range 60 {
		q.Arrive(epoch, requestAt(epoch, "caller"))
		for _, d := range q.Take() {
			var limited *router.RateLimitedError
			assert.Assert(t, errors.As(d.Err, &limited), "got %v", d.Err)
			retries = append(retries, limited.RetryAt)
			refused++
		}
	}
	assert.Assert(t, q.Waiting() > 0 && refused > 0, "%d waiting, %d refused", q.Waiting(), refused)
	assert.Equal(t, q.Waiting()+refused, 60)
	for at, retry := range retries[1:] {
		if retry.Before(epoch.Add(maxRetryDelay)) {
			assert.Equal(t, retry.Sub(retries[at]), time.Second, "retries are spaced at the rate limit")
		}
	}
}

func TestRetryWithoutBudgetReportsRateLimit(t *testing.T) {
	q, r := newTestQueue(t, 16)
	q.retryBudgets = newRetryBudgets(limiter.BudgetSettings{})
	q.Arrive(epoch, requestAt(epoch, "caller"))
	grant := takeGrants(q)[0]
	q.ArriveRetry(epoch, grant)
	var budget *RetryBudgetError
	assert.Assert(t, errors.As(q.Take()[0].Err, &budget))
	r.ObserveLimit(epoch, grant.Choice, epoch, router.RateLimit{Announced: true, PerSecond: 1})
	var limited *router.RateLimitedError
	assert.Assert(t, errors.As(q.retryRefusal(epoch, &Ticket{request: grant.request}), &limited))
}
