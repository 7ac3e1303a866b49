package admitter

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"burdocklink/classifier"
	"burdocklink/router"
)

// A fixed seed makes runs reproducible; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20300501"); err != nil {
		panic(err)
	}
}

// ticketTracker checks that every ticket of a queue gets exactly one decision.
type ticketTracker struct {
	queue   *Queue
	open    map[*Ticket]bool
	running []*Grant
	decided map[*Ticket]int
}

func (b *ticketTracker) take(t *rapid.T) {
	for _, d := range b.queue.Take() {
		b.decided[d.Ticket]++
		assert.Equal(t, b.decided[d.Ticket], 1, "decided twice")
		assert.Assert(t, (d.Grant == nil) != (d.Err == nil))
		delete(b.open, d.Ticket)
		if d.Grant != nil {
			b.running = append(b.running, d.Grant)
		}
	}
}

// check verifies the invariants of the queue at a time.
func (b *ticketTracker) check(t *rapid.T, now time.Time, slots int) {
	assert.Assert(t, len(b.running) <= slots, "%d of %d", len(b.running), slots)
	assert.Equal(t, len(b.open), b.queue.Waiting())
	urgent := 0
	for ticket := range b.open {
		by := ticket.giveUpBy
		assert.Assert(t, by.IsZero() || now.Before(by), "waits past giveUpBy")
		if !ticket.request.Route.OverFairShare && !ticket.request.Route.FirstTokenBy.IsZero() {
			urgent++
		}
	}
	assert.Assert(t, urgent == 0 || len(b.running) == slots, "idle slot with %d urgent requests waiting", urgent)
}

func TestQueueInvariants(t *testing.T) {
	classes := []classifier.Class{
		{Name: "couple", Target: classifier.Target{FirstToken: 2 * time.Second}},
		{Name: "auditor", Target: classifier.Target{FirstToken: 5 * time.Second}},
		{Name: "overnight"},
	}
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		r := router.New(router.Settings{})
		r.Update(newCatalog(slots))
		b := &ticketTracker{queue: NewQueue(r, epoch), open: map[*Ticket]bool{}, decided: map[*Ticket]int{}}
		now := epoch
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 99), 150, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(step) * 3 * time.Millisecond)
			switch {
			case step < 60:
				request := requestAt(now, fmt.Sprintf("s%d", step%5))
				request.Class = classes[step%len(classes)]
				b.open[b.queue.Arrive(now, request)] = true
			case step < 95 && len(b.running) > 0:
				ended := b.running[step%len(b.running)]
				b.running = append(b.running[:step%len(b.running)], b.running[step%len(b.running)+1:]...)
				b.queue.End(ended, Result{Ended: now, Tokens: step, Outcome: router.OutcomeFinished})
			case len(b.open) > 0:
				b.queue.Withdraw(b.queue.waiting[0], &StoppedError{})
			}
			b.queue.Pump(now)
			b.take(t)
			b.check(t, now, slots)
			assert.Assert(t, b.queue.Next().IsZero() || b.queue.Next().After(now))
		}
		b.queue.Stop()
		b.take(t)
		assert.Equal(t, len(b.open), 0)
	})
}

func TestRequestsWithoutTargetFillAnIdleFleet(t *testing.T) {
	r := router.New(router.Settings{})
	r.Update(newCatalog(4))
	q := NewQueue(r, epoch)
	for range 4 {
		request := requestAt(epoch, "s")
		request.Class = classifier.Class{Name: "overnight"}
		q.Arrive(epoch, request)
	}
	assert.Equal(t, len(takeGrants(q)), 4)
}
