package experimenter

import (
	"container/heap"
	"time"

	"burdocklink/estimator"
)

// event is an event in virtual time. It is one of the types below.
type event interface{ event() }

type (
	// arrive is the arrival of a request at its entry.
	arrive struct{ call *call }
	// step is the end of a step of an engine.
	step struct{ server *server }
	// pump makes the queue of an entry take the decisions that are due.
	pump struct{ entry *entry }
	// sampleReports takes a report of each upstream.
	sampleReports struct{}
	// deliverReport delivers a report to the entries.
	deliverReport struct{ report estimator.Report }
	// plan runs the placement.
	plan struct{}
	// complete is the completion of an engine's order.
	complete struct{ server *server }
	// disturb starts a disturbance.
	disturb struct{ disturbance Disturbance }
	// detectLoss removes a lost upstream from the catalog.
	detectLoss struct{ name string }
	// deliverCatalog delivers the current catalog to the entries.
	deliverCatalog struct{}
	// unreachable ends an attempt at a lost upstream.
	unreachable struct{ attempt *attempt }
)

func (arrive) event()         {}
func (step) event()           {}
func (pump) event()           {}
func (sampleReports) event()  {}
func (deliverReport) event()  {}
func (plan) event()           {}
func (complete) event()       {}
func (disturb) event()        {}
func (detectLoss) event()     {}
func (deliverCatalog) event() {}
func (unreachable) event()    {}

type scheduledEvent struct {
	at       time.Time
	sequence uint64
	event    event
}

// eventQueue is a priority queue of events, by time and then in the order in
// which they were scheduled.
type eventQueue struct {
	events []scheduledEvent
	count  uint64
}

func (q *eventQueue) Len() int { return len(q.events) }

func (q *eventQueue) Less(i, j int) bool {
	if q.events[i].at.Equal(q.events[j].at) {
		return q.events[i].sequence < q.events[j].sequence
	}
	return q.events[i].at.Before(q.events[j].at)
}

func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) {
	if d, ok := x.(scheduledEvent); ok {
		q.events = append(q.events, d)
	}
}

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events = q.events[:len(q.events)-1]
	return last
}

func (q *eventQueue) schedule(at time.Time, e event) {
	q.count++
	heap.Push(q, scheduledEvent{at: at, sequence: q.count, event: e})
}

func (q *eventQueue) next() (scheduledEvent, bool) {
	if len(q.events) == 0 {
		return scheduledEvent{}, false
	}
	d, ok := heap.Pop(q).(scheduledEvent)
	return d, ok
}
