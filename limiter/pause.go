package limiter

import "time"

// Ramp-up of requests after a pause.
const (
	// rampStep is the interval after which the number of allowed requests doubles,
	// from one. It is a few times the length of a short request, so that another
	// refusal comes before the next step.
	rampStep = 250 * time.Millisecond
	// rampSteps is the number of steps of the ramp. After the last one, as many
	// requests have been allowed as an upstream without slots takes concurrently.
	rampSteps = 8
)

// Pause stops requests to an upstream that requested a pause, and ramps them up
// afterwards. The zero value allows all requests.
type Pause struct {
	// Until is the end of the pause; zero if there has been none.
	Until time.Time
	// sent counts the requests since the end of the pause.
	sent int
}

// Extend starts or extends a pause. It never shortens one.
func (p *Pause) Extend(until time.Time) {
	if until.After(p.Until) {
		*p = Pause{Until: until}
	}
}

// Active reports whether the pause has not ended yet.
func (p *Pause) Active(now time.Time) bool { return now.Before(p.Until) }

// Allows reports whether one more request may be sent now.
func (p *Pause) Allows(now time.Time) bool {
	if p.Until.IsZero() {
		return true
	}
	since := now.Sub(p.Until)
	if since < 0 {
		return false
	}
	steps := since / rampStep
	return steps >= rampSteps || p.sent < 1<<steps
}

// Sent counts a request.
func (p *Pause) Sent() { p.sent++ }
