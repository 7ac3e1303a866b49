package estimator

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fastTokenTime is the decode time per token of the fastest engines of the tests.
const fastTokenTime = 6 * time.Millisecond

// unequalEngine returns an engine that takes slowness times as long as the fastest ones,
// after some answers under varying load.
func unequalEngine(slowness float64) (*Engine, *Speed) {
	speed, e := &Speed{}, New(12, 1)
	random := rand.New(rand.NewPCG(3, 9))
	for range 30 {
		speed.Observe(fastTokenTime)
	}
	for range 10 {
		busy := 1 + 0.6*random.Float64()
		e.ObserveTokenTime(time.Duration(slowness*busy*float64(fastTokenTime)), speed)
	}
	return e, speed
}

// Load answered: as many prompts as are allowed, to engines that differ in speed by 0.6 :
// 1.0 : 1.6. Guards against streams that pause on slow engines, because prompts are sent at
// the rate of the fastest ones.
func TestPromptsDontStallStreamsOfSlowEngines(t *testing.T) {
	const (
		maxPause     = 300 * time.Millisecond
		promptTokens = 1400
		step         = 5 * time.Millisecond
	)
	for name, slowness := range map[string]float64{"fast": 1, "middle": 1.0 / 0.6, "slow": 1.6 / 0.6} {
		t.Run(name, func(t *testing.T) {
			e, speed := unequalEngine(slowness)
			prefill := speed.PrefillRate() / slowness
			backlog, sent := 0.0, 0
			size := RequestSize{PromptTokens: promptTokens, AnswerTokens: 100, Speed: speed}
			for at := time.Duration(0); at < 10*time.Second; at += step {
				now := epoch.Add(at)
				backlog = max(0, backlog-prefill*step.Seconds())
				for e.AllowsPrompt(now, size) {
					e.Started(now, size)
					e.Finished(now, size, 100)
					backlog += promptTokens
					sent++
				}
				pause := time.Duration(backlog / prefill * float64(time.Second))
				assert.Assert(t, pause <= maxPause, "%s after %s", pause, at)
			}
			// most of what the engine can prefill is used
			assert.Assert(t, float64(sent*promptTokens) >= 0.6*prefill*10, "%d prompts", sent)
		})
	}
}

// Guards against engines of equal speed that are told apart by how busy they are.
func TestBusyEnginesDontCountAsSlow(t *testing.T) {
	e, _ := unequalEngine(1)
	assert.Equal(t, e.Slowness(), 1.0)
	slow, _ := unequalEngine(2.67)
	assert.Assert(t, slow.Slowness() > 2.5 && slow.Slowness() < 3.6, "%.2f", slow.Slowness())
}

// Guards against a slow engine that is predicted to answer as soon as a fast one.
func TestSlowEnginesArePredictedToAnswerLater(t *testing.T) {
	fast, speed := unequalEngine(1)
	slow, _ := unequalEngine(2.67)
	size := RequestSize{PromptTokens: 2000, Speed: speed}
	for _, e := range []*Engine{fast, slow} {
		e.Started(epoch, size)
	}
	assert.Assert(t, slow.Predict(epoch, size).FirstToken > 2*fast.Predict(epoch, size).FirstToken)
}

// Guards against an engine that counts as slow for good after a slow spell.
func TestSlownessEnds(t *testing.T) {
	e, speed := unequalEngine(5)
	for range 10 {
		e.ObserveTokenTime(fastTokenTime, speed)
	}
	assert.Equal(t, e.Slowness(), 1.0)
}
