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

func (a *eventQueue) Len() int { return len(a.events) }

func (a *eventQueue) Less(i, j int) bool {
	if a.events[i].at.Equal(a.events[j].at) {
		return a.events[i].sequence < a.events[j].sequence
	}
	return a.events[i].at.Before(a.events[j].at)
}

func (a *eventQueue) Swap(i, j int) { a.events[i], a.events[j] = a.events[j], a.events[i] }

// Push implements heap.Interface.
func (a *eventQueue) Push(x any) {
	if d, ok := x.(scheduledEvent); ok {
		a.events = append(a.events, d)
	}
}

// Pop implements heap.Interface.
func (a *eventQueue) Pop() any {
	last := a.events[len(a.events)-1]
	a.events = a.events[:len(a.events)-1]
	return last
}

func (a *eventQueue) schedule(at time.Time, e event) {
	a.count++
	heap.Push(a, scheduledEvent{at: at, sequence: a.count, event: e})
}

func (a *eventQueue) next() (scheduledEvent, bool) {
	if len(a.events) == 0 {
		return scheduledEvent{}, false
	}
	d, ok := heap.Pop(a).(scheduledEvent)
	return d, ok
}
