package emulator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/orderer"
)

var epoch = time.Date(2030, time.May, 1, 10, 0, 0, 0, time.UTC)

func newSmallEngine() *Engine {
	return New(Settings{
		Name: "e", Slots: 2, MemoryBytes: 100, PrefillTokensPerSecond: 1000,
		StepBase: 10 * time.Millisecond, CacheTokens: 100,
	})
}

// drain steps until idle and returns the IDs of the jobs in the order of their
// end.
func drain(e *Engine) []uint64 {
	var finished []uint64
	for !e.Next().IsZero() {
		for _, event := range e.Step(e.Next()) {
			if event.Finished {
				finished = append(finished, event.ID)
			}
		}
	}
	return finished
}

func TestHigherPriorityRunsFirst(t *testing.T) {
	e := newSmallEngine()
	e.Put("m", 10)
	for id, priority := range []int{0, 0, 0, 5} {
		assert.Assert(t, e.Submit(epoch, Job{
			ID: uint64(id), Model: "m", Priority: priority, PromptTokens: 10, AnswerTokens: 3 + id,
		}))
	}
	assert.DeepEqual(t, drain(e), []uint64{0, 3, 1, 2})
}

func TestPrefixCacheLimit(t *testing.T) {
	c := prefixCache{limit: 100}
	assert.Equal(t, c.access(1, 60), 0)
	assert.Equal(t, c.access(1, 60), 60)
	assert.Equal(t, c.access(2, 60), 0)
	assert.Equal(t, c.access(1, 60), 0)
}

func TestUnloadWaitsForRunningJobs(t *testing.T) {
	e := newSmallEngine()
	e.Put("m", 10)
	assert.Assert(t, e.Submit(epoch, Job{ID: 1, Model: "m", PromptTokens: 1, AnswerTokens: 2}))
	assert.Assert(t, e.Begin(orderer.Order{ID: 1, Work: orderer.UnloadModel{Model: "m"}}))
	assert.Assert(t, !e.Complete())
	drain(e)
	assert.Assert(t, e.Complete())
	assert.Assert(t, !e.Submit(epoch, Job{ID: 2, Model: "m"}))
}
