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
	// wake lets an entry look at its queue.
	wake struct{ entry *entry }
	// sample reads the load of all upstreams.
	sample struct{}
	// hear brings a report to the entries.
	hear struct{ report estimator.Report }
	// plan decides on placement.
	plan struct{}
	// complete ends an order of an engine.
	complete struct{ server *server }
	// happen starts a trouble.
	happen struct{ trouble Trouble }
	// notice takes a lost upstream out of the catalog.
	notice struct{ name string }
	// learn brings the current catalog to the entries.
	learn struct{}
	// refuse ends an attempt that found nobody at the address.
	unreachable struct{ attempt *attempt }
)

func (arrive) event()      {}
func (step) event()        {}
func (wake) event()        {}
func (sample) event()      {}
func (hear) event()        {}
func (plan) event()        {}
func (complete) event()    {}
func (happen) event()      {}
func (notice) event()      {}
func (learn) event()       {}
func (unreachable) event() {}

type due struct {
	at    time.Time
	order uint64
	event event
}

// agenda is the events to come, by time and then by order of scheduling.
type agenda struct {
	events []due
	count  uint64
}

func (a *agenda) Len() int { return len(a.events) }

func (a *agenda) Less(i, j int) bool {
	if a.events[i].at.Equal(a.events[j].at) {
		return a.events[i].order < a.events[j].order
	}
	return a.events[i].at.Before(a.events[j].at)
}

func (a *agenda) Swap(i, j int) { a.events[i], a.events[j] = a.events[j], a.events[i] }

// Push is for package heap.
func (a *agenda) Push(x any) {
	if d, ok := x.(due); ok {
		a.events = append(a.events, d)
	}
}

// Pop is for package heap.
func (a *agenda) Pop() any {
	last := a.events[len(a.events)-1]
	a.events = a.events[:len(a.events)-1]
	return last
}

func (a *agenda) add(at time.Time, e event) {
	a.count++
	heap.Push(a, due{at: at, order: a.count, event: e})
}

func (a *agenda) next() (due, bool) {
	if len(a.events) == 0 {
		return due{}, false
	}
	d, ok := heap.Pop(a).(due)
	return d, ok
}
