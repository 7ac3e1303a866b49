package admitter

import (
	"math"
	"time"
)

// Bounds of the delay after which a refused request should be retried.
const (
	minRetryDelay = time.Second
	maxRetryDelay = time.Minute
	// grantRateWindow is the time over which grants are averaged.
	grantRateWindow = 10 * time.Second
)

// grantRate is the recent rate of grants, as an exponentially decaying average.
type grantRate struct {
	// perSecond is the rate in grants per second at updatedAt.
	perSecond float64
	updatedAt time.Time
}

// record counts one grant.
func (p *grantRate) record(now time.Time) {
	p.perSecond = p.current(now) + 1/grantRateWindow.Seconds()
	p.updatedAt = now
}

func (p *grantRate) current(now time.Time) float64 {
	elapsed := max(0, now.Sub(p.updatedAt).Seconds())
	return p.perSecond * math.Exp(-elapsed/grantRateWindow.Seconds())
}

// retryAt returns when the given number of waiting requests will have been granted,
// within the bounds above.
func (p *grantRate) retryAt(now time.Time, waiting int) time.Time {
	wait := maxRetryDelay
	if rate := p.current(now); rate > 0 {
		seconds := min(float64(waiting)/rate, maxRetryDelay.Seconds())
		wait = time.Duration(seconds * float64(time.Second))
	}
	return now.Add(max(minRetryDelay, min(wait, maxRetryDelay)))
}
