package limiter

import "time"

const (
	// ScheduleHorizon is how far ahead a request is scheduled. With a longer
	// horizon a request may have been abandoned by the time it is due, and nothing
	// else could use its turn.
	ScheduleHorizon = 250 * time.Millisecond
	// PermitLifetime is how long after its scheduled time a request may be sent. It
	// covers the way of the permit to the entry and the opening of a connection.
	PermitLifetime = 500 * time.Millisecond
	// burstTime is the time for which unused requests accumulate.
	burstTime = 500 * time.Millisecond
	// minPerSecond is the lowest scheduled rate, in requests per second. Some
	// requests must be sent, since only their answers tell that a limit has ended.
	minPerSecond = 0.25
)

// Schedule spaces the requests of all VMs to one upstream so that they keep its
// rate limit over any interval, apart from a burst of the requests of burstTime
// plus one. The zero value has a full burst available.
type Schedule struct{ next time.Time }

// NewSchedule returns a schedule whose first request is due at a time.
func NewSchedule(first time.Time) Schedule { return Schedule{next: first} }

// Reserve returns when one more request may be sent at a rate in requests per
// second. If that is beyond the horizon, it returns when to try again and false.
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

// Idle reports whether a full burst is available, which means that no requests have
// been reserved recently.
func (s *Schedule) Idle(now time.Time) bool { return !s.next.After(now.Add(-burstTime)) }

// Charge counts a request that is sent without a reservation.
func (s *Schedule) Charge(now time.Time, perSecond float64) {
	if earliest := now.Add(-burstTime); s.next.Before(earliest) {
		s.next = earliest
	}
	s.next = s.next.Add(interval(perSecond))
}

// interval returns the time between two requests.
func interval(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / max(perSecond, minPerSecond))
}
