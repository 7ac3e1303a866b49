package admitter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/classifier"
	"burdocklink/router"
)

// overload plays twice the requests that one engine can serve, and returns how many were
// answered within the target, late and not at all. Requests are of use for some time after
// their target.
func overload(t *testing.T, length time.Duration) (inTarget, late, refused int) {
	t.Helper()
	const (
		slots     = 4
		interval  = 50 * time.Millisecond
		firstTime = 150 * time.Millisecond
		runTime   = 430 * time.Millisecond
		target    = 500 * time.Millisecond
		useful    = 4 * time.Second
		step      = 10 * time.Millisecond
	)
	type running struct {
		grant *Grant
		first time.Time
		ends  time.Time
	}
	q, _ := newTestQueue(t, slots)
	var active []running
	for at := time.Duration(0); at < length; at += step {
		now := epoch.Add(at)
		kept := active[:0]
		for _, r := range active {
			if now.Before(r.ends) {
				kept = append(kept, r)
				continue
			}
			r.grant.FirstToken(r.first)
			q.End(r.grant, Result{Ended: r.ends, Outcome: router.OutcomeFinished, Tokens: 20})
		}
		active = kept
		if at%interval == 0 {
			request := requestAt(now, "s")
			request.Class = classifier.Class{Name: "draft", Target: classifier.Target{FirstToken: target}}
			request.UsefulUntil = now.Add(useful)
			request.Deadline = now.Add(2 * useful)
			q.Arrive(now, request)
		}
		q.Pump(now)
		for _, d := range q.Take() {
			if d.Grant == nil {
				refused++
				continue
			}
			d.Grant.Started = now
			active = append(active, running{grant: d.Grant, first: now.Add(firstTime), ends: now.Add(runTime)})
			if now.Add(firstTime).After(d.Ticket.target) {
				late++
			} else {
				inTarget++
			}
		}
	}
	return inTarget, late, refused
}

// Load answered: twice the requests that the holders of a model can serve, for half a
// minute. Guards against room that goes to requests just before their target, so that most
// answers come just after it.
func TestUnderOverloadMostAnswersMeetTheirTarget(t *testing.T) {
	inTarget, late, refused := overload(t, 30*time.Second)
	t.Logf("%d in target, %d late, %d refused", inTarget, late, refused)
	assert.Assert(t, float64(inTarget) >= 0.9*float64(inTarget+late), "%d in target, %d late", inTarget, late)
}

// Guards against slow upstreams that make every request overdue on arrival.
func TestServiceTimeIsBoundedByTheTarget(t *testing.T) {
	times := serviceTimes{}
	ticket := newTicket(requestAt(epoch, "s"))
	ticket.target = epoch.Add(500 * time.Millisecond)
	assert.Equal(t, times.expected(ticket), time.Duration(0))
	times.get(drainRateKey(&ticket.request)).observe(10 * time.Second)
	assert.Equal(t, times.expected(ticket), 250*time.Millisecond)
}

// Load answered: twice the requests that an engine can serve, while callers take up streams
// again that broke off. Guards against streams that are not continued because new ones go
// first.
func TestContinuedStreamsGoBeforeNewOnes(t *testing.T) {
	q, _ := newTestQueue(t, 2)
	grants := saturate(q, epoch)
	q.waiting = nil
	now := epoch.Add(100 * time.Millisecond)
	for range 5 {
		q.Arrive(now, requestAt(now, "new"))
	}
	taken := requestAt(now.Add(10*time.Millisecond), "taken up")
	taken.Route.Origin = router.Origin{Incarnation: "i1"}
	q.Arrive(now.Add(10*time.Millisecond), taken)
	assert.Equal(t, len(takeGrants(q)), 0)
	q.End(grants[0], Result{Ended: now, Outcome: router.OutcomeFinished})
	q.Pump(now.Add(20 * time.Millisecond))
	granted := takeGrants(q)
	assert.Equal(t, len(granted), 1)
	assert.Equal(t, granted[0].request.Subscriber, "taken up")
}
