package admitter

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/estimator"
	"burdocklink/router"
)

var epoch = time.Date(2030, time.May, 1, 10, 0, 0, 0, time.UTC)

// queueOf returns a queue before one engine.
func queueOf(t *testing.T, slots int) (*Queue, *router.Router) {
	t.Helper()
	r := router.New(router.Settings{})
	r.Update(catalog(t, slots))
	return NewQueue(r, epoch), r
}

// at returns a request that arrives at a time.
func at(arrived time.Time, subscriber string) Request {
	request := chat(subscriber)
	request.Arrived = arrived
	return request
}

// granted and refused sort decisions.
func granted(q *Queue) []*Grant {
	var grants []*Grant
	for _, d := range q.Take() {
		if d.Grant != nil {
			grants = append(grants, d.Grant)
		}
	}
	return grants
}

// fillUp grants until the next request has to wait.
func fillUp(q *Queue, now time.Time) []*Grant {
	var grants []*Grant
	for q.Waiting() == 0 {
		q.Arrive(now, at(now, "filler"))
		grants = append(grants, granted(q)...)
	}
	return grants
}

func TestLateGrantGivesWay(t *testing.T) {
	q, r := queueOf(t, 1)
	grants := fillUp(q, epoch)
	// The engine now says that a prompt takes far longer than the target.
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
	var hopeless *HopelessError
	assert.Assert(t, errors.As(decisions[0].Err, &hopeless), "got %v", decisions[0].Err)
	assert.Equal(t, q.Waiting(), 0)
	// A request that has not waited takes the idle engine all the same.
	q.Arrive(now, at(now, "next"))
	assert.Equal(t, len(granted(q)), 1)
}
