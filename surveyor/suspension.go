package surveyor

import (
	"time"

	"burdocklink/timekeeper"
)

// suspensionLeast is how far the two clocks must part for a suspension of the
// VM: they are read one after the other.
const suspensionLeast = 50 * time.Millisecond

// sinceStart returns a function that tells for how long the VM has been
// suspended since. The steady clock stands still meanwhile.
func sinceStart() func() time.Duration {
	steady, counted := time.Now(), timekeeper.Now()
	return func() time.Duration { return timekeeper.Now().Sub(counted) - time.Since(steady) }
}

// noteSuspension forgets when the list was read where the VM was suspended
// since: the steady clock would make the reading look newer, here and to the
// entries that ask for it. The mutex is held.
func (s *Surveyor) noteSuspension() {
	suspended := s.suspended()
	if suspended < s.suspendedFor+suspensionLeast {
		return
	}
	s.suspendedFor, s.resumedAt = suspended, time.Now()
	s.readAt = time.Time{}
}

// confirm notes when the list was read that is known, unless the VM was
// suspended since. The mutex is held.
func (s *Surveyor) confirm(at time.Time) bool {
	s.noteSuspension()
	if at.Before(s.resumedAt) {
		return false
	}
	s.readAt = at
	return true
}
