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

// Guards against the speed of a small model being taken for that of a large one on
// the same engines: prompts of the large one were sent several times too fast.
func TestSpeedsAreKeptByModel(t *testing.T) {
	var speeds Speeds
	assert.Assert(t, !speeds.Of("large").Known())
	speeds.Observe("small", time.Millisecond)
	speeds.Observe("large", 5*time.Millisecond)
	assert.Assert(t, speeds.Of("small").DecodeRate() > 900)
	assert.Assert(t, speeds.Of("large").DecodeRate() < 210)
	assert.Assert(t, !speeds.Of("other").Known())
}

// Guards against first tokens that are predicted seconds too late, and requests that
// are refused for it, because the backlog of prompts drained at a fifth of the
// engine's speed.
func TestBacklogDrainsAtTheMeasuredSpeed(t *testing.T) {
	var speeds Speeds
	speeds.Observe("m", 5*time.Millisecond)
	size := RequestSize{PromptTokens: 1000, AnswerTokens: 300, Speed: speeds.Of("m")}
	e := New(64, 1)
	now := epoch
	for range 200 {
		// 20,000 prompt tokens per second, of 40,000 possible ones
		e.Started(now, size)
		e.Finished(now, size, 300)
		now = now.Add(50 * time.Millisecond)
	}
	wait := e.Predict(now, size).FirstToken
	assert.Assert(t, wait < 100*time.Millisecond, "%s", wait)
}
