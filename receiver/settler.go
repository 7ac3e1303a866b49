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

// claimRecorder records what became of claims where that could not be confirmed
// while the caller waited.
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

// unconfirmedEvent is an event that is to be recorded.
type unconfirmedEvent struct {
	event     claimer.Event
	requestID string
	// until is when the event makes no difference any more.
	until time.Time
	// mayPrecedeOpen is true where the event may arrive before the one that it
	// undoes: it is repeated until it met its claim.
	mayPrecedeOpen bool
}

func newClaimRecorder(claims Claims, log *zap.Logger) *claimRecorder {
	return &claimRecorder{claims: claims, log: log, stopping: make(chan struct{})}
}

// stop records what waits, until the deadline.
func (s *claimRecorder) stop(deadline time.Time) {
	s.mu.Lock()
	s.stopped = true
	s.stopDeadline = deadline
	s.mu.Unlock()
	close(s.stopping)
	s.running.Wait()
}

// add takes an event to be recorded in the background.
func (s *claimRecorder) add(event unconfirmedEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || s.count >= maxUnconfirmedEvents {
		s.log.Warn("a claim was left to expire", zap.String("request-id", event.requestID))
		return
	}
	s.count++
	s.running.Add(1)
	go s.run(event)
}

func (s *claimRecorder) run(event unconfirmedEvent) {
	defer s.running.Done()
	if !s.record(event) {
		s.log.Warn("a claim was left to expire", zap.String("request-id", event.requestID))
	}
	s.mu.Lock()
	s.count--
	s.mu.Unlock()
}

// record repeats an event until it is recorded or makes no difference.
func (s *claimRecorder) record(event unconfirmedEvent) bool {
	for backoff := backgroundBackoff; time.Now().Before(event.until); backoff = min(2*backoff, maxBackgroundBackoff) {
		ctx, cancel := context.WithTimeout(context.Background(), backgroundTryTimeout)
		result, err := s.claims.Claim(ctx, event.event)
		cancel()
		_, stale := result.(claimer.Stale)
		if err == nil && (!stale || !event.mayPrecedeOpen) {
			return true
		}
		if !s.wait(backoff, err == nil) {
			return false
		}
	}
	return event.mayPrecedeOpen
}

// wait returns false once there is no time left: at the deadline of a stop, or
// at its beginning for an event that may only still be overtaken.
func (s *claimRecorder) wait(backoff time.Duration, answered bool) bool {
	select {
	case <-s.stopping:
		time.Sleep(backgroundBackoff)
		return !answered && time.Now().Before(s.stopDeadline)
	case <-time.After(backoff):
		return true
	}
}
