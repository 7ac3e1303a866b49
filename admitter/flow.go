package admitter

import (
	"math"
	"time"
)

const (
	// drainRateWindow is how long what was granted is remembered: copies of models come and
	// go within seconds.
	drainRateWindow = 2 * time.Second
	// minBusyTime is how long requests must have waited of late before the time that
	// others need is foretold.
	minBusyTime = 300 * time.Millisecond
)

// drainRate is how fast waiting requests for a model are granted. It answers an
// overload: a request behind too many others would wait until it is of no use to
// its caller, who is better told at once. Only the time in which requests waited
// counts, so that little demand is not taken for little room.
type drainRate struct {
	// granted are the grants to requests that had waited, and busy the time in which
	// some did, both decaying.
	granted   float64
	busy      time.Duration
	updatedAt time.Time
	// backlogged is true where requests have waited since at.
	backlogged bool
}

// advance takes in the time up to now.
func (f *drainRate) advance(now time.Time) {
	passed := max(0, now.Sub(f.updatedAt))
	decay := math.Exp(-passed.Seconds() / drainRateWindow.Seconds())
	f.granted *= decay
	f.busy = time.Duration(decay * float64(f.busy))
	if f.backlogged {
		f.busy += passed
	}
	f.updatedAt = now
}

// estimateWait is how long it takes until so many requests have been granted; zero where
// that can't be told.
func (f *drainRate) estimateWait(requests int) time.Duration {
	if f.busy < minBusyTime {
		return 0
	}
	perSecond := max(f.granted, 1) / f.busy.Seconds()
	return time.Duration(float64(requests) / perSecond * float64(time.Second))
}

// drainRates are by the model, or the service of requests that need none.
type drainRates map[string]*drainRate

// drainRateKey names the flow that a request is part of.
func drainRateKey(request *Request) string {
	if request.Route.Base != "" {
		return request.Route.Base
	}
	return request.Route.Service
}

// get returns a flow as of now.
func (f drainRates) get(name string, now time.Time) *drainRate {
	rate := f[name]
	if rate == nil {
		rate = &drainRate{updatedAt: now}
		f[name] = rate
	}
	rate.advance(now)
	return rate
}

// update notes which requests wait, by flow, and forgets the flows of which nothing
// is remembered.
func (f drainRates) update(waiting map[string]int, now time.Time) {
	for name, rate := range f {
		rate.advance(now)
		rate.backlogged = waiting[name] > 0
		if !rate.backlogged && rate.busy < time.Millisecond {
			delete(f, name)
		}
	}
	for name := range waiting {
		f.get(name, now).backlogged = true
	}
}
