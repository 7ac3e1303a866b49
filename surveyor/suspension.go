package surveyor

import (
	"time"

	"burdocklink/timekeeper"
)

// minSuspension is how far the two clocks must part for a suspension of the
// VM: they are read one after the other.
const minSuspension = 50 * time.Millisecond

// newSuspensionClock returns a function that tells for how long the VM has been
// suspended since. The steady clock stands still meanwhile.
func newSuspensionClock() func() time.Duration {
	monotonicStart, wallStart := time.Now(), timekeeper.Now()
	return func() time.Duration { return timekeeper.Now().Sub(wallStart) - time.Since(monotonicStart) }
}

// detectSuspension forgets when the list was read where the VM was suspended
// since: the steady clock would make the reading look newer, here and to the
// entries that ask for it. The mutex is held.
func (s *Surveyor) detectSuspension() {
	suspended := s.suspended()
	if suspended < s.lastSuspended+minSuspension {
		return
	}
	s.lastSuspended, s.resumedAt = suspended, time.Now()
	s.readAt = time.Time{}
}

// recordRead notes when the list was read that is known, unless the VM was
// suspended since. The mutex is held.
func (s *Surveyor) recordRead(at time.Time) bool {
	s.detectSuspension()
	if at.Before(s.resumedAt) {
		return false
	}
	s.readAt = at
	return true
}
