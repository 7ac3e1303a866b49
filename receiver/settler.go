package receiver

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"burdocklink/claimer"
)

const (
	settleQueue    = 4096
	settleTime     = 3 * time.Second
	settlePause    = 100 * time.Millisecond
	settlePauseMax = 2 * time.Second
)

// settler records what became of claims where that could not be confirmed
// while the caller waited.
type settler struct {
	claims   Claims
	log      *zap.Logger
	queue    chan unsettled
	stopping chan struct{}
	running  sync.WaitGroup
	// stopBy is set before stopping is closed.
	stopBy time.Time
}

// unsettled is an event that is to be recorded.
type unsettled struct {
	event     claimer.Event
	requestID string
	// until is when the event makes no difference any more.
	until time.Time
}

func newSettler(claims Claims, log *zap.Logger) *settler {
	return &settler{
		claims:   claims,
		log:      log,
		queue:    make(chan unsettled, settleQueue),
		stopping: make(chan struct{}),
	}
}

func (s *settler) start() {
	s.running.Add(1)
	go s.loop()
}

// stop records what waits, until the deadline.
func (s *settler) stop(deadline time.Time) {
	s.stopBy = deadline
	close(s.stopping)
	s.running.Wait()
}

// add takes an event to be recorded in the background.
func (s *settler) add(event unsettled) {
	select {
	case s.queue <- event:
	default:
		s.log.Warn("too many claims wait to be settled", zap.String("request-id", event.requestID))
	}
}

func (s *settler) loop() {
	defer s.running.Done()
	for {
		select {
		case event := <-s.queue:
			s.settle(event)
		case <-s.stopping:
			s.drain()
			return
		}
	}
}

func (s *settler) drain() {
	for {
		select {
		case event := <-s.queue:
			s.settle(event)
		default:
			return
		}
	}
}

// settle repeats an event until it is recorded or makes no difference.
func (s *settler) settle(event unsettled) {
	pause := settlePause
	for time.Now().Before(event.until) && !s.overdue() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTime)
		_, err := s.claims.Claim(ctx, event.event)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(pause)
		pause = min(2*pause, settlePauseMax)
	}
	s.log.Warn("a claim was left to expire", zap.String("request-id", event.requestID))
}

// overdue returns true once the deadline of a stop has passed.
func (s *settler) overdue() bool {
	select {
	case <-s.stopping:
		return time.Now().After(s.stopBy)
	default:
		return false
	}
}
