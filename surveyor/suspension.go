package surveyor

import (
	"time"

	"burdocklink/timekeeper"
)

// minSuspension is the smallest difference between the two clocks that counts as a
// suspension. They are not read at the same instant.
const minSuspension = 50 * time.Millisecond

// newSuspensionClock returns a function that returns the VM's suspension time since
// the call. The monotonic clock does not advance during suspension.
func newSuspensionClock() func() time.Duration {
	monotonicStart, wallStart := time.Now(), timekeeper.Now()
	return func() time.Duration { return timekeeper.Now().Sub(wallStart) - time.Since(monotonicStart) }
}

// detectSuspension clears readAt if the VM has been suspended since the last check.
// By the monotonic clock the reading would look newer than it is, to this entry and
// to those that ask for it. The mutex must be held.
func (s *Surveyor) detectSuspension() {
	suspended := s.suspended()
	if suspended < s.lastSuspended+minSuspension {
		return
	}
	s.lastSuspended, s.resumedAt = suspended, time.Now()
	s.readAt = time.Time{}
}

// recordRead sets readAt, unless the VM has been suspended since. It reports
// whether it did. The mutex must be held.
func (s *Surveyor) recordRead(at time.Time) bool {
	s.detectSuspension()
	if at.Before(s.resumedAt) {
		return false
	}
	s.readAt = at
	return true
}
