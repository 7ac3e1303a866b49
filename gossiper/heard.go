package gossiper

import (
	"sync"
	"time"
)

// heardTable remembers when each peer last answered.
type heardTable struct {
	mu   sync.Mutex
	last map[string]time.Time
}

func newHeardTable() *heardTable { return &heardTable{last: map[string]time.Time{}} }

func (t *heardTable) put(peer string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last[peer] = at
}

// count returns how many peers answered lately.
func (t *heardTable) count(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, at := range t.last {
		if now.Sub(at) <= heardLimit {
			count++
		}
	}
	return count
}
