package admitter

import (
	"math"
	"time"
)

// Bounds of the time after which a refused request should come back.
const (
	soonestRetry = time.Second
	latestRetry  = time.Minute
	// paceTime is how long grants are averaged over.
	paceTime = 10 * time.Second
)

// pace is how fast requests are granted.
type pace struct {
	// rate is in grants per second at the time at.
	rate float64
	at   time.Time
}

// granted counts a grant.
func (p *pace) granted(now time.Time) {
	p.rate = p.current(now) + 1/paceTime.Seconds()
	p.at = now
}

func (p *pace) current(now time.Time) float64 {
	passed := max(0, now.Sub(p.at).Seconds())
	return p.rate * math.Exp(-passed/paceTime.Seconds())
}

// retry returns when a number of waiting requests will have been granted.
func (p *pace) retry(now time.Time, waiting int) time.Time {
	wait := latestRetry
	if rate := p.current(now); rate > 0 {
		seconds := min(float64(waiting)/rate, latestRetry.Seconds())
		wait = time.Duration(seconds * float64(time.Second))
	}
	return now.Add(max(soonestRetry, min(wait, latestRetry)))
}
