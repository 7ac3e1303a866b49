package receiver

import (
	"time"

	"burdocklink/classifier"
)

// waits for progress. A class with targets waits a multiple of them: what is
// later has missed its target anyway, and another engine may be quicker.
const (
	firstEventTargetFactor = 2
	minFirstEventTimeout   = 2 * time.Second

	nextEventTargetFactor = 20
	minNextEventTimeout   = time.Second

	// resumeTimeout is the longest wait for an engine to say that it knows a
	// stream.
	resumeTimeout = time.Second

	answerTargetFactor = 2
	minAnswerTimeout   = 2 * time.Second
)

// firstEventTimeout returns the longest wait for the first event of a stream.
func (x *exchange) firstEventTimeout() time.Duration {
	target := x.class.Target.FirstToken
	if target <= 0 {
		return x.Settings.FirstEventTimeout
	}
	return max(minFirstEventTimeout, firstEventTargetFactor*target)
}

// nextEventTimeout returns the longest wait between two events of a stream.
func (x *exchange) nextEventTimeout() time.Duration {
	target := x.class.Target.BetweenTokens
	if target <= 0 {
		return x.Settings.NextEventTimeout
	}
	return max(minNextEventTimeout, nextEventTargetFactor*target)
}

// answerTimeout returns the longest wait for a whole answer, or the time given
// where the class promises nothing.
func answerTimeout(target classifier.Target, fallback time.Duration) time.Duration {
	if target.Whole <= 0 {
		return fallback
	}
	return max(minAnswerTimeout, answerTargetFactor*target.Whole)
}
