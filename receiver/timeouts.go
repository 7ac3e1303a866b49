package receiver

import (
	"time"

	"burdocklink/classifier"
)

// Timeouts for progress. In a class with a target, the timeout is a multiple of the
// target: a later event misses it anyway, and another engine may be faster.
const (
	firstEventTargetFactor = 2
	minFirstEventTimeout   = 2 * time.Second

	nextEventTargetFactor = 20
	minNextEventTimeout   = time.Second

	// resumeTimeout bounds the wait for an engine to answer a request to resume a
	// stream.
	resumeTimeout = time.Second

	answerTargetFactor = 2
	minAnswerTimeout   = 2 * time.Second
)

// firstEventTimeout returns the timeout for the first event of a stream.
func (x *exchange) firstEventTimeout() time.Duration {
	target := x.class.Target.FirstToken
	if target <= 0 {
		return x.Settings.FirstEventTimeout
	}
	return max(minFirstEventTimeout, firstEventTargetFactor*target)
}

// nextEventTimeout returns the timeout between two events of a stream.
func (x *exchange) nextEventTimeout() time.Duration {
	target := x.class.Target.BetweenTokens
	if target <= 0 {
		return x.Settings.NextEventTimeout
	}
	return max(minNextEventTimeout, nextEventTargetFactor*target)
}

// answerTimeout returns the timeout for a whole answer, or the fallback if the class
// has no such target.
func answerTimeout(target classifier.Target, fallback time.Duration) time.Duration {
	if target.Whole <= 0 {
		return fallback
	}
	return max(minAnswerTimeout, answerTargetFactor*target.Whole)
}
