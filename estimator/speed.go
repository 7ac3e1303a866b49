package estimator

import (
	"sync"
	"time"
)

const (
	// stepPrompt is how many prompt tokens an engine reads in the time of a step
	// that writes one token of each running answer. Both follow from the memory
	// and the arithmetic of the same accelerator.
	stepPrompt = 200.0
	// fasterWeight and slowerWeight are the shares of a new measurement in the
	// time for a token: a shorter one shows what the engine can do, a longer one
	// mostly that it had much to do.
	fasterWeight = 0.3
	slowerWeight = 0.0005
	// leastTokenTime and mostTokenTime bound what is believed.
	leastTokenTime = time.Millisecond
	mostTokenTime  = 50 * time.Millisecond
)

// Speed is how fast the engines of a service read and write while they have
// little to do, learned from the answers that they give. The zero value knows
// nothing. It is safe for concurrent use.
type Speed struct {
	mutex sync.Mutex
	// token is the time that an answer takes for one token, in seconds; zero while
	// unknown.
	token float64
}

// Observe takes in the mean time for a token of an answer.
func (s *Speed) Observe(token time.Duration) {
	if token <= 0 {
		return
	}
	seen := min(mostTokenTime, max(leastTokenTime, token)).Seconds()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case s.token == 0:
		s.token = seen
	case seen < s.token:
		s.token += fasterWeight * (seen - s.token)
	default:
		s.token += slowerWeight * (seen - s.token)
	}
}

// Known says whether an answer was measured.
func (s *Speed) Known() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.token > 0
}

// Prefill is how many prompt tokens an engine reads in a second.
func (s *Speed) Prefill() float64 { return stepPrompt * s.Decode() }

// Decode is how many tokens an engine writes in a second for each of its running
// answers.
func (s *Speed) Decode() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.token == 0 {
		return unknownDecode
	}
	return 1 / s.token
}

// unknownDecode is the rate of writing before any answer was measured, in tokens
// per second.
const unknownDecode = 100.0
