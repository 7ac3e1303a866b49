package seeker

import (
	"math/rand/v2"
	"sync"
	"time"
)

// maxBackoff is the longest wait between two questions while nobody answers
// as the leader. An election takes about as long.
const maxBackoff = 400 * time.Millisecond

// throttle holds questions back while no leader answers: one question after the
// other is let through until one does, so that entries don't press a group that
// is about to elect. One that is under way for the longest pause no longer holds
// back the next: the leader may hold an answer back until an adapter is loaded.
type throttle struct {
	mutex sync.Mutex
	// backoff is zero while the leader answers; openAt is when the next question
	// may pass, and one under way holds it back until tryingUntil.
	backoff    time.Duration
	nextAt     time.Time
	probeUntil time.Time
}

// admit returns how long a question has to wait; zero lets it pass.
func (g *throttle) admit(now time.Time) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	switch {
	case g.backoff == 0:
		return 0
	case now.Before(g.nextAt):
		return g.nextAt.Sub(now)
	case now.Before(g.probeUntil):
		return retryInterval
	default:
		g.probeUntil = now.Add(maxBackoff)
		return 0
	}
}

// done notes whether a question was answered by the leader.
func (g *throttle) done(answered bool, now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.probeUntil = time.Time{}
	switch {
	case answered:
		g.backoff = 0
	case g.backoff == 0 || !now.Before(g.nextAt):
		g.backoff = min(maxBackoff, max(retryInterval, 2*g.backoff))
		// entries that lost the same leader come back at different times
		g.nextAt = now.Add(g.backoff/2 + rand.N(g.backoff))
	}
}
