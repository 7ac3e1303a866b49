package responder

import (
	"context"
	"sync/atomic"
	"time"

	"burdocklink/conductor"
)

const (
	// defaultHeartbeatInterval is the default of Settings.HeartbeatInterval.
	defaultHeartbeatInterval = 500 * time.Millisecond
	confirmTimeout           = time.Second
)

// confirmation is a revision that a quorum confirmed.
type confirmation struct {
	revision uint64
	// startedAt is when the quorum was asked.
	startedAt time.Time
}

// confirmer periodically asks a quorum for the revision in force, once for all
// followers.
type confirmer struct {
	interval time.Duration
	group    conductor.Proposer
	last     atomic.Pointer[confirmation]
}

func newConfirmer(group conductor.Proposer, interval time.Duration) *confirmer {
	c := &confirmer{group: group, interval: interval}
	c.last.Store(&confirmation{})
	return c
}

// loop runs until stop is closed.
func (c *confirmer) loop(stop <-chan struct{}) {
	ticker := time.NewTicker(c.interval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			c.confirm()
		}
	}
}

func (c *confirmer) confirm() {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	startedAt := time.Now()
	revision, err := c.group.Confirm(ctx)
	if err != nil {
		return
	}
	c.last.Store(&confirmation{revision: revision, startedAt: startedAt})
}

// latest returns the last confirmation; zero if there is none.
func (c *confirmer) latest() confirmation { return *c.last.Load() }
