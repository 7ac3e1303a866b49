package admitter

import (
	"math"
	"time"
)

const (
	// drainRateWindow is the decay time of the measured rate. It is short because
	// replicas of models come and go within seconds.
	drainRateWindow = 2 * time.Second
	// minBusyTime is how long requests must have been waiting recently before a
	// wait is estimated.
	minBusyTime = 300 * time.Millisecond
)

// drainRate measures how fast waiting requests for a model are granted. It serves
// load shedding: a request behind a long backlog would wait until its answer is
// useless, so it is refused at once. Only time with a backlog counts; otherwise low
// demand would look like low capacity.
type drainRate struct {
	// granted counts grants to requests that had waited, and busy is the time with
	// a backlog. Both decay by drainRateWindow.
	granted   float64
	busy      time.Duration
	updatedAt time.Time
	// backlogged is true if requests have been waiting since updatedAt.
	backlogged bool
}

// advance accounts for the time up to now.
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

// estimateWait returns the time until the given number of requests has been
// granted, or zero if there is too little data for an estimate.
func (f *drainRate) estimateWait(requests int) time.Duration {
	if f.busy < minBusyTime {
		return 0
	}
	perSecond := max(f.granted, 1) / f.busy.Seconds()
	return time.Duration(float64(requests) / perSecond * float64(time.Second))
}

// drainRates maps each model, or the service of requests without a model, to its
// rate.
type drainRates map[string]*drainRate

// drainRateKey returns the key of a request in drainRates.
func drainRateKey(request *Request) string {
	if request.Route.BaseModel != "" {
		return request.Route.BaseModel
	}
	return request.Route.Service
}

// get returns a rate, advanced to now.
func (f drainRates) get(name string, now time.Time) *drainRate {
	rate := f[name]
	if rate == nil {
		rate = &drainRate{updatedAt: now}
		f[name] = rate
	}
	rate.advance(now)
	return rate
}

// update records how many requests wait by key and drops rates that have decayed.
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
