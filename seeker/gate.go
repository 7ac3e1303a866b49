package seeker

import (
	"math/rand/v2"
	"sync"
	"time"
)

// longestPause is the longest wait between two questions while nobody answers
// as the leader. An election takes about as long.
const longestPause = 400 * time.Millisecond

// gate holds questions back while no leader answers: one question after the
// other is let through until one does, so that entries don't press a group that
// is about to elect. One that is under way for the longest pause no longer holds
// back the next: the leader may hold an answer back until an adapter is loaded.
type gate struct {
	mutex sync.Mutex
	// pause is zero while the leader answers; openAt is when the next question
	// may pass, and one under way holds it back until tryingUntil.
	pause       time.Duration
	openAt      time.Time
	tryingUntil time.Time
}

// enter returns how long a question has to wait; zero lets it pass.
func (g *gate) enter(now time.Time) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	switch {
	case g.pause == 0:
		return 0
	case now.Before(g.openAt):
		return g.openAt.Sub(now)
	case now.Before(g.tryingUntil):
		return retryPause
	default:
		g.tryingUntil = now.Add(longestPause)
		return 0
	}
}

// leave notes whether a question was answered by the leader.
func (g *gate) leave(led bool, now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.tryingUntil = time.Time{}
	switch {
	case led:
		g.pause = 0
	case g.pause == 0 || !now.Before(g.openAt):
		g.pause = min(longestPause, max(retryPause, 2*g.pause))
		// entries that lost the same leader come back at different times
		g.openAt = now.Add(g.pause/2 + rand.N(g.pause))
	}
}
