package faker

import (
	"sync"
	"time"
)

// streamState is the state of a request in the engine.
type streamState int

const (
	streamWaiting streamState = iota
	streamRunning
	streamDone
	streamCancelled
)

// String returns the state's name in the record.
func (s streamState) String() string {
	return [...]string{"waiting", "running", "done", "cancelled"}[s]
}

// stream is one request in the engine. The batch owns the fields from source to
// credit; the mutex guards the last group, which readers follow.
type stream struct {
	id       string
	path     string
	model    string
	priority int
	// limit is the maximum number of tokens. An unlimited answer, whose request
	// set no max_tokens, may end before it.
	limit     int
	unlimited bool
	// includeUsage requests a last event with the token usage.
	includeUsage bool
	started      time.Time
	imported     bool
	// release is called once after the stream has ended.
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
	// keepUntil is when a stream without a reader is cancelled.
	keepUntil time.Time
}

// produce appends up to count tokens and sets the state at the end.
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

// setState changes the state unless the stream has ended.
func (s *stream) setState(state streamState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state >= streamDone {
		return
	}
	s.state = state
	s.notify()
}

// after returns the tokens from an index on, the state and a channel that is
// closed on the next change.
func (s *stream) after(index int) ([]string, streamState, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index > len(s.tokens) {
		index = len(s.tokens)
	}
	return s.tokens[index:], s.state, s.changed
}

// ended reports whether the stream is done or cancelled.
func (s *stream) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state >= streamDone
}

// attach adds a reader.
func (s *stream) attach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
}

// detach removes a reader. A stream without readers is kept until the given
// time.
func (s *stream) detach(keepUntil time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers--
	s.keepUntil = keepUntil
}

// abandoned reports whether the stream has no reader and is past keepUntil.
func (s *stream) abandoned(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readers == 0 && now.After(s.keepUntil)
}
