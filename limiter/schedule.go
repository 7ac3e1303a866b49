package limiter

import "time"

const (
	// ScheduleHorizon is how far ahead a request is scheduled. A request that waits
	// longer may have been given up on when it is due, and nobody else could use its
	// turn.
	ScheduleHorizon = 250 * time.Millisecond
	// PermitLifetime is how long after its scheduled time a request may be sent: the
	// permit is on its way to the entry meanwhile, and a connection is opened.
	PermitLifetime = 500 * time.Millisecond
	// burstTime is for how long unused requests are saved up.
	burstTime = 500 * time.Millisecond
	// minPerSecond is the lowest rate that is scheduled, in requests a second:
	// the end of a limit is heard in an answer only.
	minPerSecond = 0.25
)

// Schedule spaces the requests of all VMs to one upstream, so that their sum
// keeps the upstream's limit in any span. At most the requests of scheduleBurst
// and one more come at once. The zero value has all saved up.
type Schedule struct{ next time.Time }

// NewSchedule returns a schedule whose first request is due at a time.
func NewSchedule(first time.Time) Schedule { return Schedule{next: first} }

// Reserve returns when one more request may be sent under a limit in requests a
// second, or, where that is not within the horizon, when to ask again.
func (s *Schedule) Reserve(now time.Time, perSecond float64) (due time.Time, reserved bool) {
	if earliest := now.Add(-burstTime); s.next.Before(earliest) {
		s.next = earliest
	}
	if s.next.After(now.Add(ScheduleHorizon)) {
		return s.next.Add(-ScheduleHorizon), false
	}
	due = s.next
	if due.Before(now) {
		due = now
	}
	s.next = s.next.Add(interval(perSecond))
	return due, true
}

// Idle says whether as many requests are saved up as can be: nobody asked for any
// of late.
func (s *Schedule) Idle(now time.Time) bool { return !s.next.After(now.Add(-burstTime)) }

// Charge counts a request that is sent without a reservation.
func (s *Schedule) Charge(now time.Time, perSecond float64) {
	if earliest := now.Add(-burstTime); s.next.Before(earliest) {
		s.next = earliest
	}
	s.next = s.next.Add(interval(perSecond))
}

// interval is the time between two requests.
func interval(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / max(perSecond, minPerSecond))
}
