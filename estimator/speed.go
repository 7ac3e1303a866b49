package estimator

import (
	"sync"
	"time"
)

const (
	// promptTokensPerStep is how many prompt tokens an engine reads in the time of a step
	// that writes one token of each running answer. Both follow from the memory
	// and the arithmetic of the same accelerator.
	promptTokensPerStep = 200.0
	// fasterWeight and slowerWeight are the shares of a new measurement in the
	// time for a token: a shorter one shows what the engine can do, a longer one
	// mostly that it had much to do.
	fasterWeight = 0.3
	slowerWeight = 0.0005
	// minTokenTime and mostTokenTime bound what is believed.
	minTokenTime = time.Millisecond
	maxTokenTime = 50 * time.Millisecond
)

// Speed is how fast the engines of a service read and write while they have
// little to do, learned from the answers that they give. The zero value knows
// nothing. It is safe for concurrent use.
type Speed struct {
	mutex sync.Mutex
	// secondsPerToken is the time that an answer takes for one token, in seconds; zero while
	// unknown.
	secondsPerToken float64
}

// Observe takes in the mean time for a token of an answer.
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

// Known says whether an answer was measured.
func (s *Speed) Known() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.secondsPerToken > 0
}

// PrefillRate is how many prompt tokens an engine reads in a second.
func (s *Speed) PrefillRate() float64 { return promptTokensPerStep * s.DecodeRate() }

// DecodeRate is how many tokens an engine writes in a second for each of its running
// answers.
func (s *Speed) DecodeRate() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.secondsPerToken == 0 {
		return unmeasuredDecodeRate
	}
	return 1 / s.secondsPerToken
}

// unmeasuredDecodeRate is the rate of writing before any answer was measured, in tokens
// per second.
const unmeasuredDecodeRate = 100.0
