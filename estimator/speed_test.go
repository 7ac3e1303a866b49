package estimator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSpeedFollowsWhatEnginesCanDo(t *testing.T) {
	var s Speed
	assert.Assert(t, !s.Known())
	assert.Equal(t, s.PrefillRate(), promptTokensPerStep*unmeasuredDecodeRate)
	s.Observe(0)
	assert.Assert(t, !s.Known())
	for range 20 {
		s.Observe(5 * time.Millisecond)
	}
	assert.Assert(t, s.DecodeRate() > 199 && s.DecodeRate() < 201, "%.1f", s.DecodeRate())
	// much to do makes engines slow, not unable
	for range 100 {
		s.Observe(15 * time.Millisecond)
	}
	assert.Assert(t, s.DecodeRate() > 160, "%.1f", s.DecodeRate())
	// engines that have become slower are known after a while
	for range 10000 {
		s.Observe(15 * time.Millisecond)
	}
	assert.Assert(t, s.DecodeRate() < 70, "%.1f", s.DecodeRate())
}

func TestSpeedBelievesNothingAbsurd(t *testing.T) {
	var s Speed
	for range 100 {
		s.Observe(time.Nanosecond)
	}
	assert.Assert(t, s.DecodeRate() <= 1001, "%.1f", s.DecodeRate())
	for range 100000 {
		s.Observe(time.Hour)
	}
	assert.Assert(t, s.DecodeRate() >= 19, "%.1f", s.DecodeRate())
}

// Found on the users' bench, vandermeulen-atelier: engines that read twice as fast
// as the others were sent prompts no faster.
func TestPaceFollowsFasterEngines(t *testing.T) {
	var fast Speed
	fast.Observe(4 * time.Millisecond)
	var bucket PromptBucket
	bucket.SetSpeed(&fast)
	bucket.Add(epoch, 2*promptBurst)
	assert.Assert(t, !bucket.Allows(epoch, 800))
	// 40,000 tokens a second
	assert.Assert(t, bucket.Allows(epoch.Add(150*time.Millisecond), 800))
	var slow Speed
	slow.Observe(40 * time.Millisecond)
	bucket.SetSpeed(&slow)
	assert.Equal(t, bucket.rate, defaultPromptRate)
}
