package receiver

import (
	"time"

	"burdocklink/classifier"
)

// waits for progress. A class with targets waits a multiple of them: what is
// later has missed its target anyway, and another engine may be quicker.
const (
	firstSilenceTargets = 2
	firstSilenceLeast   = 2 * time.Second

	nextSilenceTargets = 20
	nextSilenceLeast   = time.Second

	// resumeSilence is the longest wait for an engine to say that it knows a
	// stream.
	resumeSilence = time.Second

	wholeSilenceTargets = 2
	wholeSilenceLeast   = 2 * time.Second
)

// firstSilence returns the longest wait for the first event of a stream.
func (x *exchange) firstSilence() time.Duration {
	promised := x.class.Target.FirstToken
	if promised <= 0 {
		return x.Settings.FirstSilence
	}
	return max(firstSilenceLeast, firstSilenceTargets*promised)
}

// nextSilence returns the longest wait between two events of a stream.
func (x *exchange) nextSilence() time.Duration {
	promised := x.class.Target.BetweenTokens
	if promised <= 0 {
		return x.Settings.NextSilence
	}
	return max(nextSilenceLeast, nextSilenceTargets*promised)
}

// wholeSilence returns the longest wait for a whole answer, or the time given
// where the class promises nothing.
func wholeSilence(target classifier.Target, otherwise time.Duration) time.Duration {
	if target.Whole <= 0 {
		return otherwise
	}
	return max(wholeSilenceLeast, wholeSilenceTargets*target.Whole)
}
