package estimator

import (
	"sync"
	"time"
)

const (
	// promptTokensPerStep is how many prompt tokens an engine prefills in the time of
	// one decode step of its batch. Both times follow from the memory and the
	// arithmetic of the same accelerator.
	promptTokensPerStep = 200.0
	// fasterWeight and slowerWeight are the weights of a new measurement of the time
	// per token. A shorter one shows what the engine can do, a longer one mostly that
	// it was busy.
	fasterWeight = 0.3
	slowerWeight = 0.0005
	// minTokenTime and maxTokenTime bound the measurements that are believed.
	minTokenTime = time.Millisecond
	maxTokenTime = 50 * time.Millisecond
)

// Speed is how fast lightly loaded engines prefill and decode for one model, measured
// from their answers. The zero value and nil are unknown. It is safe for concurrent use.
type Speed struct {
	mutex sync.Mutex
	// secondsPerToken is the decode time per token; zero if unknown.
	secondsPerToken float64
}

// Observe records the mean decode time per token of an answer.
func (s *Speed) Observe(timePerToken time.Duration) {
	if timePerToken <= 0 {
		return
	}
	seconds := min(maxTokenTime, max(minTokenTime, timePerToken)).Seconds()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case s.secondsPerToken == 0:
		s.secondsPerToken = seconds
	case seconds < s.secondsPerToken:
		s.secondsPerToken += fasterWeight * (seconds - s.secondsPerToken)
	default:
		s.secondsPerToken += slowerWeight * (seconds - s.secondsPerToken)
	}
}

// Known reports whether an answer was measured.
func (s *Speed) Known() bool {
	if s == nil {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.secondsPerToken > 0
}

// PrefillRate returns the prefill rate in prompt tokens per second.
func (s *Speed) PrefillRate() float64 { return promptTokensPerStep * s.DecodeRate() }

// DecodeRate returns the decode rate of each running request in tokens per second.
func (s *Speed) DecodeRate() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.secondsPerToken == 0 {
		return unmeasuredDecodeRate
	}
	return 1 / s.secondsPerToken
}

// unmeasuredDecodeRate is the decode rate in tokens per second before any answer was
// measured.
const unmeasuredDecodeRate = 100.0

// Speeds has the speed for each model. The zero value is empty. It is safe for
// concurrent use.
type Speeds struct {
	mutex   sync.RWMutex
	byModel map[string]*Speed
}

// Of returns the speed for a model; nil if it was never measured.
func (s *Speeds) Of(model string) *Speed {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.byModel[model]
}

// Observe records the mean decode time per token of an answer for a model.
func (s *Speeds) Observe(model string, timePerToken time.Duration) {
	s.mutex.Lock()
	speed := s.byModel[model]
	if speed == nil {
		if s.byModel == nil {
			s.byModel = map[string]*Speed{}
		}
		speed = &Speed{}
		s.byModel[model] = speed
	}
	s.mutex.Unlock()
	speed.Observe(timePerToken)
}
