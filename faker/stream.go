package faker

import (
	"sync"
	"time"
)

// streamState is where a request stands in the engine.
type streamState int

const (
	streamWaiting streamState = iota
	streamRunning
	streamDone
	streamCancelled
)

// String gives the state as the record shows it.
func (s streamState) String() string {
	return [...]string{"waiting", "running", "done", "cancelled"}[s]
}

// stream is one request in the engine. The batch owns the fields below the
// mutex's group; readers follow the tokens.
type stream struct {
	id       string
	path     string
	model    string
	priority int
	// limit is the number of tokens; natural answers end by their text before.
	limit     int
	unlimited bool
	// includeUsage asks for a last event with the tokens used.
	includeUsage bool
	started      time.Time
	imported     bool
	// release is called once when the stream has ended.
	release func()

	source       generator
	promptTokens int
	cachedTokens int
	prefillLeft  float64
	credit       float64

	mu      sync.Mutex
	tokens  []string
	state   streamState
	changed chan struct{}
	readers int
	// keepUntil is when a stream without a reader is given up.
	keepUntil time.Time
}

// produce appends up to count tokens and marks the end.
func (s *stream) produce(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range count {
		if s.state != streamRunning {
			break
		}
		s.tokens = append(s.tokens, s.source.next())
		if len(s.tokens) >= s.limit || s.unlimited && s.source.ended() {
			s.state = streamDone
		}
	}
	s.notify()
}

// notify wakes the readers. The mutex must be held.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setState moves the stream unless it has ended.
func (s *stream) setState(state streamState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state >= streamDone {
		return
	}
	s.state = state
	s.notify()
}

// after returns the tokens from an index on, the state and the channel that
// closes with the next change.
func (s *stream) after(index int) ([]string, streamState, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index > len(s.tokens) {
		index = len(s.tokens)
	}
	return s.tokens[index:], s.state, s.changed
}

// ended says whether the stream is done or cancelled.
func (s *stream) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state >= streamDone
}

// attach counts a reader in.
func (s *stream) attach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
}

// detach counts a reader out; without another one the stream is kept until
// the time given.
func (s *stream) detach(keepUntil time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers--
	s.keepUntil = keepUntil
}

// abandoned says whether the stream has waited too long for a reader.
func (s *stream) abandoned(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readers == 0 && now.After(s.keepUntil)
}
