package seeker

import (
	"math/rand/v2"
	"sync"
	"time"
)

// maxBackoff is the maximum of the base delay between two queries while no leader
// answers. An election takes about as long.
const maxBackoff = 400 * time.Millisecond

// throttle limits queries while no leader answers: it admits one at a time with backoff,
// so that entries do not overload a group during an election. A query in flight for
// longer than maxBackoff no longer blocks the next one, because the leader may delay its
// answer until an adapter is loaded.
type throttle struct {
	mutex sync.Mutex
	// backoff is zero while the leader answers. The next query is admitted at nextAt,
	// and not before probeUntil while another one is in flight.
	backoff    time.Duration
	nextAt     time.Time
	probeUntil time.Time
}

// admit returns how long a query has to wait; zero if it is admitted.
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

// done records whether a query was answered by the leader.
func (g *throttle) done(answered bool, now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.probeUntil = time.Time{}
	switch {
	case answered:
		g.backoff = 0
	case g.backoff == 0 || !now.Before(g.nextAt):
		g.backoff = min(maxBackoff, max(retryInterval, 2*g.backoff))
		// jitter spreads the entries that lost the same leader
		g.nextAt = now.Add(g.backoff/2 + rand.N(g.backoff))
	}
}
