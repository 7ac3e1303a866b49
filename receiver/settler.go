package receiver

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"burdocklink/claimer"
)

const (
	settleMany     = 4096
	settleTime     = 3 * time.Second
	settlePause    = 100 * time.Millisecond
	settlePauseMax = 2 * time.Second
)

// settler records what became of claims where that could not be confirmed
// while the caller waited.
type settler struct {
	claims   Claims
	log      *zap.Logger
	stopping chan struct{}
	running  sync.WaitGroup

	mu      sync.Mutex
	count   int
	stopped bool
	stopBy  time.Time
}

// unsettled is an event that is to be recorded.
type unsettled struct {
	event     claimer.Event
	requestID string
	// until is when the event makes no difference any more.
	until time.Time
	// overtakes is true where the event may arrive before the one that it
	// undoes: it is repeated until it met its claim.
	overtakes bool
}

func newSettler(claims Claims, log *zap.Logger) *settler {
	return &settler{claims: claims, log: log, stopping: make(chan struct{})}
}

// stop records what waits, until the deadline.
func (s *settler) stop(deadline time.Time) {
	s.mu.Lock()
	s.stopped = true
	s.stopBy = deadline
	s.mu.Unlock()
	close(s.stopping)
	s.running.Wait()
}

// add takes an event to be recorded in the background.
func (s *settler) add(event unsettled) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || s.count >= settleMany {
		s.log.Warn("a claim was left to expire", zap.String("request-id", event.requestID))
		return
	}
	s.count++
	s.running.Add(1)
	go s.run(event)
}

func (s *settler) run(event unsettled) {
	defer s.running.Done()
	if !s.settle(event) {
		s.log.Warn("a claim was left to expire", zap.String("request-id", event.requestID))
	}
	s.mu.Lock()
	s.count--
	s.mu.Unlock()
}

// settle repeats an event until it is recorded or makes no difference.
func (s *settler) settle(event unsettled) bool {
	for pause := settlePause; time.Now().Before(event.until); pause = min(2*pause, settlePauseMax) {
		ctx, cancel := context.WithTimeout(context.Background(), settleTime)
		result, err := s.claims.Claim(ctx, event.event)
		cancel()
		_, early := result.(claimer.Stale)
		if err == nil && (!early || !event.overtakes) {
			return true
		}
		if !s.wait(pause, err == nil) {
			return false
		}
	}
	return event.overtakes
}

// wait returns false once there is no time left: at the deadline of a stop, or
// at its beginning for an event that may only still be overtaken.
func (s *settler) wait(pause time.Duration, answered bool) bool {
	select {
	case <-s.stopping:
		time.Sleep(settlePause)
		return !answered && time.Now().Before(s.stopBy)
	case <-time.After(pause):
		return true
	}
}
