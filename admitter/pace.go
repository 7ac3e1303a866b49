package admitter

import (
	"math"
	"time"
)

// Bounds of the time after which a refused request should come back.
const (
	minRetryDelay = time.Second
	maxRetryDelay = time.Minute
	// grantRateWindow is how long grants are averaged over.
	grantRateWindow = 10 * time.Second
)

// grantRate is how fast requests are granted.
type grantRate struct {
	// perSecond is in grants per second at the time at.
	perSecond float64
	updatedAt time.Time
}

// record counts a grant.
func (p *grantRate) record(now time.Time) {
	p.perSecond = p.current(now) + 1/grantRateWindow.Seconds()
	p.updatedAt = now
}

func (p *grantRate) current(now time.Time) float64 {
	passed := max(0, now.Sub(p.updatedAt).Seconds())
	return p.perSecond * math.Exp(-passed/grantRateWindow.Seconds())
}

// retryAt returns when a number of waiting requests will have been granted.
func (p *grantRate) retryAt(now time.Time, waiting int) time.Time {
	wait := maxRetryDelay
	if rate := p.current(now); rate > 0 {
		seconds := min(float64(waiting)/rate, maxRetryDelay.Seconds())
		wait = time.Duration(seconds * float64(time.Second))
	}
	return now.Add(max(minRetryDelay, min(wait, maxRetryDelay)))
}
