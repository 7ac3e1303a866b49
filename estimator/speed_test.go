package estimator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSpeedFollowsEngineCapability(t *testing.T) {
	var s Speed
	assert.Assert(t, !s.Known())
	assert.Equal(t, s.PrefillRate(), promptTokensPerStep*unmeasuredDecodeRate)
	s.Observe(0)
	assert.Assert(t, !s.Known())
	for range 20 {
		s.Observe(5 * time.Millisecond)
	}
	assert.Assert(t, s.DecodeRate() > 199 && s.DecodeRate() < 201, "%.1f", s.DecodeRate())
	// Busy engines are slower but not less capable.
	for range 100 {
		s.Observe(15 * time.Millisecond)
	}
	assert.Assert(t, s.DecodeRate() > 160, "%.1f", s.DecodeRate())
	// Engines that have become slower are detected eventually.
	for range 10000 {
		s.Observe(15 * time.Millisecond)
	}
	assert.Assert(t, s.DecodeRate() < 70, "%.1f", s.DecodeRate())
}

func TestSpeedIsBounded(t *testing.T) {
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

// Guards against sending prompts no faster to engines that prefill twice as fast as
// others.
func TestPromptRateFollowsFasterEngines(t *testing.T) {
	var fast Speed
	fast.Observe(4 * time.Millisecond)
	var bucket PromptBucket
	bucket.SetSpeed(&fast)
	bucket.Add(epoch, 2*promptBurst)
	assert.Assert(t, !bucket.Allows(epoch, 800))
	// The bucket drains 40,000 tokens per second.
	assert.Assert(t, bucket.Allows(epoch.Add(150*time.Millisecond), 800))
	var slow Speed
	slow.Observe(40 * time.Millisecond)
	bucket.SetSpeed(&slow)
	assert.Equal(t, bucket.rate, defaultPromptRate)
}
