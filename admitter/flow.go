package admitter

import (
	"math"
	"time"
)

const (
	// flowTime is how long what was granted is remembered: copies of models come and
	// go within seconds.
	flowTime = 2 * time.Second
	// leastBusy is how long requests must have waited of late before the time that
	// others need is foretold.
	leastBusy = 300 * time.Millisecond
)

// flow is how fast waiting requests for a model are granted. It answers an
// overload: a request behind too many others would wait until it is of no use to
// its caller, who is better told at once. Only the time in which requests waited
// counts, so that little demand is not taken for little room.
type flow struct {
	// granted are the grants to requests that had waited, and busy the time in which
	// some did, both decaying.
	granted float64
	busy    time.Duration
	at      time.Time
	// waiting is true where requests have waited since at.
	waiting bool
}

// pass takes in the time up to now.
func (f *flow) pass(now time.Time) {
	passed := max(0, now.Sub(f.at))
	keep := math.Exp(-passed.Seconds() / flowTime.Seconds())
	f.granted *= keep
	f.busy = time.Duration(keep * float64(f.busy))
	if f.waiting {
		f.busy += passed
	}
	f.at = now
}

// wait is how long it takes until so many requests have been granted; zero where
// that can't be told.
func (f *flow) wait(requests int) time.Duration {
	if f.busy < leastBusy {
		return 0
	}
	perSecond := max(f.granted, 1) / f.busy.Seconds()
	return time.Duration(float64(requests) / perSecond * float64(time.Second))
}

// flows are by the model, or the service of requests that need none.
type flows map[string]*flow

// flowOf names the flow that a request is part of.
func flowOf(request *Request) string {
	if request.Route.BaseModel != "" {
		return request.Route.BaseModel
	}
	return request.Route.Service
}

// of returns a flow as of now.
func (f flows) of(name string, now time.Time) *flow {
	known := f[name]
	if known == nil {
		known = &flow{at: now}
		f[name] = known
	}
	known.pass(now)
	return known
}

// settle notes which requests wait, by flow, and forgets the flows of which nothing
// is remembered.
func (f flows) settle(waiting map[string]int, now time.Time) {
	for name, known := range f {
		known.pass(now)
		known.waiting = waiting[name] > 0
		if !known.waiting && known.busy < time.Millisecond {
			delete(f, name)
		}
	}
	for name := range waiting {
		f.of(name, now).waiting = true
	}
}
