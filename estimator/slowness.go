package estimator

import "time"

const (
	// slowFrom is the slowness from which on an engine counts as slower than others. Less
	// may be the difference between a busy engine and an idle one.
	slowFrom = 2.0
	// quickerWeight and laggingWeight are the weights of a new measurement. A low one shows
	// what the engine can do, a high one often that it was busy.
	quickerWeight = 0.5
	laggingWeight = 0.05
	// maxSlowness bounds the measurements that are believed.
	maxSlowness = 20.0
)

// slowness is how many times as long an engine takes for a token as the fastest ones take
// for the same model. The zero value is unknown.
type slowness struct{ ratio float64 }

// observe records the mean decode time per token of an answer, beside the model's speed.
func (s *slowness) observe(timePerToken time.Duration, speed *Speed) {
	if timePerToken <= 0 || !speed.Known() {
		return
	}
	ratio := min(maxSlowness, max(1, timePerToken.Seconds()*speed.DecodeRate()))
	switch {
	case s.ratio == 0:
		s.ratio = ratio
	case ratio < s.ratio:
		s.ratio += quickerWeight * (ratio - s.ratio)
	default:
		s.ratio += laggingWeight * (ratio - s.ratio)
	}
}

// factor returns the slowness, 1 for an engine that is not known to be slower than others.
func (s *slowness) factor() float64 {
	if s.ratio < slowFrom {
		return 1
	}
	return s.ratio
}

// measured returns the slowness as measured, which may show load; 1 if unknown.
func (s *slowness) measured() float64 { return max(1, s.ratio) }
