package responder

import (
	"context"
	"sync/atomic"
	"time"

	"burdocklink/conductor"
)

// Times of the pulse.
const (
	// defaultHeartbeatInterval is the time between two confirmations and heartbeats.
	defaultHeartbeatInterval = 500 * time.Millisecond
	// confirmTimeout is the longest wait for a confirmation.
	confirmTimeout = time.Second
)

// confirmation is the last confirmation.
type confirmation struct {
	// revision is the catalog revision that a quorum vouched for.
	revision uint64
	// startedAt is when the quorum was asked.
	startedAt time.Time
}

// confirmer asks the quorum again and again for the revision in force, once for
// all followers.
type confirmer struct {
	// interval is the time between two questions.
	interval time.Duration
	group    conductor.Proposer
	last     atomic.Pointer[confirmation]
}

func newConfirmer(group conductor.Proposer, interval time.Duration) *confirmer {
	p := &confirmer{group: group, interval: interval}
	p.last.Store(&confirmation{})
	return p
}

// loop runs until stop is closed.
func (p *confirmer) loop(stop <-chan struct{}) {
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			p.confirm()
		}
	}
}

func (p *confirmer) confirm() {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	startedAt := time.Now()
	revision, err := p.group.Confirm(ctx)
	if err != nil {
		return
	}
	p.last.Store(&confirmation{revision: revision, startedAt: startedAt})
}

// latest returns the last confirmation.
func (p *confirmer) latest() confirmation { return *p.last.Load() }
