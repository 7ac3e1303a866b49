package gossiper

import (
	"sync"
	"time"
)

// attempt is the last exchange with one peer.
type attempt struct {
	answered bool
	at       time.Time
}

// attemptTable remembers the last attempt with each peer.
type attemptTable struct {
	mu   sync.Mutex
	last map[string]attempt
}

func newAttemptTable() *attemptTable { return &attemptTable{last: map[string]attempt{}} }

func (t *attemptTable) record(peer string, answered bool, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last[peer] = attempt{answered: answered, at: at}
}

// count returns how many peers answered and how many were tried lately.
func (t *attemptTable) count(now time.Time) (answered, tried int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for peer, last := range t.last {
		if now.Sub(last.at) > attemptLifetime {
			delete(t.last, peer)
			continue
		}
		tried++
		if last.answered {
			answered++
		}
	}
	return answered, tried
}
