package receiver

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"burdocklink/claimer"
)

const (
	maxUnconfirmedEvents = 4096
	backgroundTryTimeout = 3 * time.Second
	backgroundBackoff    = 100 * time.Millisecond
	maxBackgroundBackoff = 2 * time.Second
)

// claimRecorder retries claim events in the background that were not confirmed while
// the caller waited.
type claimRecorder struct {
	claims   Claims
	log      *zap.Logger
	stopping chan struct{}
	running  sync.WaitGroup

	mu           sync.Mutex
	count        int
	stopped      bool
	stopDeadline time.Time
}

// unconfirmedEvent is a claim event that has not been confirmed.
type unconfirmedEvent struct {
	event     claimer.Event
	requestID string
	// expiresAt is when the event no longer has an effect.
	expiresAt time.Time
	// mayPrecedeOpen is set if the event may be applied before the Open that it
	// reverts. It is then repeated until it finds its claim.
	mayPrecedeOpen bool
}

func newClaimRecorder(claims Claims, log *zap.Logger) *claimRecorder {
	return &claimRecorder{claims: claims, log: log, stopping: make(chan struct{})}
}

// stop accepts no further events and waits for the unconfirmed ones, which are retried
// until the deadline.
func (r *claimRecorder) stop(deadline time.Time) {
	r.mu.Lock()
	r.stopped = true
	r.stopDeadline = deadline
	r.mu.Unlock()
	close(r.stopping)
	r.running.Wait()
}

// add starts to record an event in the background.
func (r *claimRecorder) add(event unconfirmedEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped || r.count >= maxUnconfirmedEvents {
		r.log.Warn("claim event not recorded; claim is left to expire", zap.String("request-id", event.requestID))
		return
	}
	r.count++
	r.running.Add(1)
	go r.run(event)
}

func (r *claimRecorder) run(event unconfirmedEvent) {
	defer r.running.Done()
	if !r.record(event) {
		r.log.Warn("claim event not recorded; claim is left to expire", zap.String("request-id", event.requestID))
	}
	r.mu.Lock()
	r.count--
	r.mu.Unlock()
}

// record repeats an event until it is recorded or expires. It returns false if the
// claim is left to expire.
func (r *claimRecorder) record(event unconfirmedEvent) bool {
	for backoff := backgroundBackoff; time.Now().Before(event.expiresAt); backoff = min(2*backoff, maxBackgroundBackoff) {
		ctx, cancel := context.WithTimeout(context.Background(), backgroundTryTimeout)
		result, err := r.claims.Claim(ctx, event.event)
		cancel()
		_, stale := result.(claimer.Stale)
		if err == nil && (!stale || !event.mayPrecedeOpen) {
			return true
		}
		if !r.wait(backoff, err == nil) {
			return false
		}
	}
	return event.mayPrecedeOpen
}

// wait waits before the next try, and reports whether there is one. While the recorder
// stops, unanswered events are retried until the stop deadline. An answered event is
// not retried: it would only wait for an Open that may still arrive.
func (r *claimRecorder) wait(backoff time.Duration, answered bool) bool {
	select {
	case <-r.stopping:
		time.Sleep(backgroundBackoff)
		return !answered && time.Now().Before(r.stopDeadline)
	case <-time.After(backoff):
		return true
	}
}
