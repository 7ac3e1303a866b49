package estimator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Date(2030, time.May, 1, 10, 0, 0, 0, time.UTC)

func report(sequence uint64, taken time.Time) Report {
	return Report{
		Incarnation: "1", Sequence: sequence, Taken: taken, Slots: 8,
		PrefillTokensPerSecond: 1000, DecodeTokensPerSecond: 50,
	}
}

func TestLoadAddsDispatchesSinceReport(t *testing.T) {
	e := New(8, 3)
	first := report(1, epoch)
	first.Running = 4
	assert.Assert(t, e.Observe(first))
	e.Started(epoch.Add(time.Second), RequestSize{PromptTokens: 100})
	assert.Equal(t, e.Load(epoch.Add(2*time.Second)), 7.0)
	e.Finished(epoch.Add(2*time.Second), RequestSize{}, 50)
	assert.Equal(t, e.Load(epoch.Add(2*time.Second)), 4.0)
	e.Started(epoch.Add(3*time.Second), RequestSize{})
	// A report taken before the last dispatch arrives after it.
	second := report(2, epoch.Add(2500*time.Millisecond))
	second.Running = 1
	assert.Assert(t, e.Observe(second))
	assert.Equal(t, e.Load(epoch.Add(2*time.Second)), 4.0)
	assert.Assert(t, !e.Observe(first))
}

func TestBacklogDrains(t *testing.T) {
	e := New(8, 1)
	assert.Assert(t, e.Observe(report(1, epoch)))
	e.Started(epoch, RequestSize{PromptTokens: 1000, CachedTokens: 500})
	size := RequestSize{PromptTokens: 100}
	assert.Equal(t, e.Predict(epoch, size).FirstToken, 600*time.Millisecond)
	assert.Equal(t, e.Predict(epoch.Add(250*time.Millisecond), size).FirstToken, 350*time.Millisecond)
	assert.Equal(t, e.Predict(epoch.Add(time.Hour), size).FirstToken, 100*time.Millisecond)
	assert.Equal(t, e.Predict(epoch, size).BetweenTokens, 20*time.Millisecond)
}

func TestWaitingForASlotIsPredicted(t *testing.T) {
	e := New(8, 1)
	full := report(1, epoch)
	full.Running = 8
	assert.Assert(t, e.Observe(full))
	free := e.Predict(epoch, RequestSize{}).FirstToken
	full.Sequence, full.Waiting = 2, 8
	assert.Assert(t, e.Observe(full))
	assert.Assert(t, e.Predict(epoch, RequestSize{}).FirstToken > free)
}

func TestPredictionBiasFollowsMeasurements(t *testing.T) {
	e := New(8, 1)
	assert.Assert(t, e.Observe(report(1, epoch)))
	plain := e.Predict(epoch, RequestSize{}).FirstToken
	for range 100 {
		e.ObserveLateness(500*time.Millisecond - (e.Predict(epoch, RequestSize{}).FirstToken - plain))
	}
	learned := e.Predict(epoch, RequestSize{}).FirstToken - plain
	assert.Assert(t, learned > 450*time.Millisecond && learned < 550*time.Millisecond, "%s", learned)
	for range 100 {
		e.ObserveLateness(-time.Second)
	}
	assert.Equal(t, e.Predict(epoch, RequestSize{}).FirstToken, plain)
}
