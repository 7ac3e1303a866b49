package responder

import (
	"context"
	"sync/atomic"
	"time"

	"burdocklink/conductor"
)

// Times of the pulse.
const (
	// pulseInterval is the time between two confirmations and heartbeats.
	pulseInterval = 500 * time.Millisecond
	// pulseWait is the longest wait for a confirmation.
	pulseWait = time.Second
)

// beat is the last confirmation.
type beat struct {
	// revision is the catalog revision that a quorum vouched for.
	revision uint64
	// began is when the quorum was asked.
	began time.Time
}

// pulse asks the quorum again and again for the revision in force, once for
// all followers.
type pulse struct {
	// every is the time between two questions.
	every time.Duration
	group conductor.Proposer
	last  atomic.Pointer[beat]
}

func newPulse(group conductor.Proposer, every time.Duration) *pulse {
	p := &pulse{group: group, every: every}
	p.last.Store(&beat{})
	return p
}

// loop runs until stop is closed.
func (p *pulse) loop(stop <-chan struct{}) {
	ticker := time.NewTicker(p.every)
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

func (p *pulse) confirm() {
	ctx, cancel := context.WithTimeout(context.Background(), pulseWait)
	defer cancel()
	began := time.Now()
	revision, err := p.group.Confirm(ctx)
	if err != nil {
		return
	}
	p.last.Store(&beat{revision: revision, began: began})
}

// read returns the last confirmation.
func (p *pulse) read() beat { return *p.last.Load() }
