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
	minBusyTime = time.Second
)

// drainRate measures how fast waiting requests for a model are granted. It serves
// load shedding: a request behind a long backlog would wait until its answer is
// useless, so it is refused at once. Only time with a backlog counts; otherwise low
// demand would look like low capacity.
type drainRate struct {
	// granted counts grants while requests waited, and busy is the time with a
	// backlog. Both decay by drainRateWindow.
	granted   float64
	busy      time.Duration
	updatedAt time.Time
	// backlogged is true if requests have been waiting since updatedAt.
	backlogged bool
}

// advance accounts for the time up to now.
func (d *drainRate) advance(now time.Time) {
	elapsed := max(0, now.Sub(d.updatedAt))
	decay := math.Exp(-elapsed.Seconds() / drainRateWindow.Seconds())
	d.granted *= decay
	d.busy = time.Duration(decay * float64(d.busy))
	if d.backlogged {
		d.busy += elapsed
	}
	d.updatedAt = now
}

// estimateWait returns the time until the given number of requests has been
// granted, or zero if there is too little data for an estimate.
func (d *drainRate) estimateWait(requests int) time.Duration {
	if d.busy < minBusyTime {
		return 0
	}
	perSecond := max(d.granted, 1) / d.busy.Seconds()
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
func (d drainRates) get(key string, now time.Time) *drainRate {
	rate := d[key]
	if rate == nil {
		rate = &drainRate{updatedAt: now}
		d[key] = rate
	}
	rate.advance(now)
	return rate
}

// countGrant counts a grant if requests are waiting for the key, whether the
// granted one had waited or not.
func (d drainRates) countGrant(key string, now time.Time) {
	if rate := d[key]; rate != nil && rate.backlogged {
		rate.advance(now)
		rate.granted++
	}
}

// update records how many requests wait by key and drops rates that have decayed.
func (d drainRates) update(waiting map[string]int, now time.Time) {
	for key, rate := range d {
		rate.advance(now)
		rate.backlogged = waiting[key] > 0
		if !rate.backlogged && rate.busy < time.Millisecond {
			delete(d, key)
		}
	}
	for key := range waiting {
		d.get(key, now).backlogged = true
	}
}
