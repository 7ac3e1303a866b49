package estimator

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPromptBucketAllowsLongPromptWhenEmpty(t *testing.T) {
	var bucket PromptBucket
	assert.Assert(t, bucket.Allows(epoch, 10*promptBurst))
	bucket.Add(epoch, 10*promptBurst)
	assert.Assert(t, !bucket.Allows(epoch, 1))
	assert.Assert(t, bucket.Allows(epoch.Add(time.Second), 10) == (10*promptBurst < defaultPromptRate))
}

// eventGapTarget is the longest gap between two events that services promise.
const eventGapTarget = 250 * time.Millisecond

// TestPromptBucketKeepsStreamsFlowing simulates bursts of prompts on an engine that
// prefills 2,048 tokens in a step of 90 ms between the tokens of its streams, three of
// which make an event. During a burst, at most one event in twenty may be late, which a
// stream of 20 events sees once. Without the bucket it is more than one in two.
func TestPromptBucketKeepsStreamsFlowing(t *testing.T) {
	lateShare := func(limited bool) float64 {
		late, total := 0, 0
		for seed := range uint64(200) {
			l, n := lateEvents(seed, limited)
			late, total = late+l, total+n
		}
		return float64(late) / float64(total)
	}
	assert.Assert(t, lateShare(true) <= 0.05, "%.3f", lateShare(true))
	assert.Assert(t, lateShare(false) >= 0.5, "%.3f", lateShare(false))
}

// lateEvents counts the late events and all events until a burst has been prefilled.
func lateEvents(seed uint64, limited bool) (late, total int) {
	const (
		prefillChunk   = 2048
		decodeStep     = 10 * time.Millisecond
		prefillStep    = 80 * time.Millisecond
		tokensPerEvent = 3
	)
	random := rand.New(rand.NewPCG(seed, 3))
	var bucket PromptBucket
	now, backlog := epoch, 0
	var waiting []int
	for range 24 {
		waiting = append(waiting, 300+random.IntN(1800))
	}
	lastEvent, tokens := now, 0
	for len(waiting) > 0 || backlog > 0 {
		for len(waiting) > 0 && (!limited || bucket.Allows(now, float64(waiting[0]))) {
			bucket.Add(now, float64(waiting[0]))
			backlog += waiting[0]
			waiting = waiting[1:]
		}
		read := min(backlog, prefillChunk)
		backlog -= read
		now = now.Add(decodeStep + prefillStep*time.Duration(read)/prefillChunk)
		if tokens++; tokens%tokensPerEvent == 0 {
			total++
			if now.Sub(lastEvent) > eventGapTarget {
				late++
			}
			lastEvent = now
		}
	}
	return late, total
}

func TestPeerLoadReplacesAssumption(t *testing.T) {
	e := New(64, 4)
	e.Started(epoch, RequestSize{PromptTokens: 100, AnswerTokens: 50})
	assert.Equal(t, e.Load(epoch), 4.0)
	assert.Equal(t, e.ReservedTokens(epoch), 600)
	e.SetPeers(epoch, EntryLoad{Requests: 2, KVCacheTokens: 400})
	assert.Equal(t, e.Load(epoch), 3.0)
	assert.Equal(t, e.ReservedTokens(epoch), 550)
	// The load of the other entries expires.
	assert.Equal(t, e.Load(epoch.Add(peerLoadTTL)), 4.0)
	e.Finished(epoch, RequestSize{PromptTokens: 100, AnswerTokens: 50}, 10)
	assert.Equal(t, e.OwnLoad(), EntryLoad{})
}
