package historian

import "time"

// UnknownOriginError reports that a stream can't continue, since it is not known which
// software version began it.
type UnknownOriginError struct {
	// RetryAt is when it may be known; zero if it never will be.
	RetryAt time.Time
}

// Error describes the failure.
func (e *UnknownOriginError) Error() string { return "it is not known which software began the stream" }

// NoLeaderError reports that no leader of the control group is known.
type NoLeaderError struct{}

// Error describes the failure.
func (e *NoLeaderError) Error() string { return "no leader of the control group is known" }
