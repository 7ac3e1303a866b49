package experimenter

import (
	"container/heap"
	"time"

	"burdocklink/estimator"
)

// event is what happens in virtual time. It is one of the types below.
type event interface{ event() }

type (
	// arrive brings a request to its entry.
	arrive struct{ call *call }
	// step ends a step of an engine.
	step struct{ server *server }
	// pump lets an entry look at its queue.
	pump struct{ entry *entry }
	// sampleReports reads the load of all upstreams.
	sampleReports struct{}
	// deliverReport brings a report to the entries.
	deliverReport struct{ report estimator.Report }
	// plan decides on placement.
	plan struct{}
	// complete ends an order of an engine.
	complete struct{ server *server }
	// disturb starts a disturbance.
	disturb struct{ disturbance Disturbance }
	// detectLoss takes a lost upstream out of the catalog.
	detectLoss struct{ name string }
	// deliverCatalog brings the current catalog to the entries.
	deliverCatalog struct{}
	// refuse ends an attempt that found nobody at the address.
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

// eventQueue is the events to come, by time and then by order of scheduling.
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

// Push is for package heap.
func (a *eventQueue) Push(x any) {
	if d, ok := x.(scheduledEvent); ok {
		a.events = append(a.events, d)
	}
}

// Pop is for package heap.
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
