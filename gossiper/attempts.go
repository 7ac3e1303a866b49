package gossiper

import (
	"sync"
	"time"
)

// attempt is the result of the last exchange with one peer.
type attempt struct {
	answered bool
	at       time.Time
}

// attemptTable stores the last attempt for each peer.
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

// count returns the number of peers that answered and of those tried within
// attemptLifetime.
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
