package limiter

import "time"

// Return of requests to an upstream after a pause.
const (
	// rampStep is the time after which one request more, then two, then four
	// and so on may go to the upstream. It is a few times the length of a short
	// request, so that another refusal comes before the next step.
	rampStep = 250 * time.Millisecond
	// rampSteps is how many steps the return takes: after the last one as many
	// requests were let through as an upstream without slots takes at once.
	rampSteps = 8
)

// Pause keeps requests from an upstream that asked for none, and lets them come
// back gradually. The zero value lets all through.
type Pause struct {
	// Until is the end of the pause, zero where there never was one.
	Until time.Time
	// sent counts the requests since the end.
	sent int
}

// Extend begins a pause or makes it longer. The longest of several holds.
func (p *Pause) Extend(until time.Time) {
	if until.After(p.Until) {
		*p = Pause{Until: until}
	}
}

// Active says whether no request may be sent now.
func (p *Pause) Active(now time.Time) bool { return now.Before(p.Until) }

// Allows says whether one more request may be sent now.
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
