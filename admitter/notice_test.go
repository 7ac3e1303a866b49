package admitter

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/limiter"
	"burdocklink/router"
)

func TestWaitingRequestsAreRefusedWhenUpstreamLeavesOrPauses(t *testing.T) {
	end := epoch.Add(3 * time.Second)
	cases := map[string]struct {
		notice router.Notice
		paused bool
	}{
		"leaves":            {router.Notice{Leaving: true}, false},
		"pauses":            {router.Notice{PausedUntil: end}, true},
		"pauses and leaves": {router.Notice{Leaving: true, PausedUntil: end}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q, r := newTestQueue(t, 1)
			grants := saturate(q, epoch)
			q.Arrive(epoch, requestAt(epoch, "second"))
			waiting := q.Waiting()
			assert.Assert(t, waiting > 1)
			r.ObserveNotice(epoch, grants[0].Choice, c.notice)
			q.Pump(epoch)
			decisions := q.Take()
			assert.Equal(t, len(decisions), waiting)
			for _, d := range decisions {
				var paused *router.PausedError
				var noUpstream *router.NoUpstreamError
				if !c.paused {
					assert.Assert(t, errors.As(d.Err, &noUpstream), "got %v", d.Err)
					continue
				}
				assert.Assert(t, errors.As(d.Err, &paused), "got %v", d.Err)
				assert.Assert(t, !paused.RetryAt.Before(end))
			}
		})
	}
}

func TestRetryWithoutBudgetReportsPause(t *testing.T) {
	q, r := newTestQueue(t, 1)
	q.retryBudgets = newRetryBudgets(limiter.BudgetSettings{})
	q.Arrive(epoch, requestAt(epoch, "caller"))
	grant := takeGrants(q)[0]
	end := epoch.Add(3 * time.Second)
	r.ObserveNotice(epoch, grant.Choice, router.Notice{PausedUntil: end})
	q.ArriveRetry(epoch, grant)
	var paused *router.PausedError
	err := q.Take()[0].Err
	assert.Assert(t, errors.As(err, &paused), "got %v", err)
	assert.Assert(t, !paused.RetryAt.Before(end))
}

// After a pause, waiting requests return to the upstream gradually.
func TestQueueResumesGraduallyAfterPause(t *testing.T) {
	q, r := newTestQueue(t, 16)
	grants := saturate(q, epoch)
	for range 40 {
		q.Arrive(epoch, requestAt(epoch, "caller"))
	}
	r.ObserveNotice(epoch, grants[0].Choice, router.Notice{PausedUntil: epoch.Add(10 * time.Second)})
	q.Pump(epoch)
	assert.Equal(t, q.Waiting(), 0)
	now := epoch.Add(10*time.Second + 250*time.Millisecond)
	for _, g := range grants {
		q.End(g, Result{Ended: now, Outcome: router.OutcomeFinished})
	}
	q.Take()
	for range 40 {
		q.Arrive(now, requestAt(now, "caller"))
	}
	first := len(takeGrants(q))
	assert.Assert(t, first >= 1 && first <= 2, "%d", first)
	assert.Assert(t, q.Waiting() >= 38, "%d", q.Waiting())
}
