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
func (t *throttle) admit(now time.Time) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	switch {
	case t.backoff == 0:
		return 0
	case now.Before(t.nextAt):
		return t.nextAt.Sub(now)
	case now.Before(t.probeUntil):
		return retryInterval
	default:
		t.probeUntil = now.Add(maxBackoff)
		return 0
	}
}

// done records whether a query was answered by the leader.
func (t *throttle) done(answered bool, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.probeUntil = time.Time{}
	switch {
	case answered:
		t.backoff = 0
	case t.backoff == 0 || !now.Before(t.nextAt):
		t.backoff = min(maxBackoff, max(retryInterval, 2*t.backoff))
		// jitter spreads the entries that lost the same leader
		t.nextAt = now.Add(t.backoff/2 + rand.N(t.backoff))
	}
}
