package estimator

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPaceLetsALongPromptThroughAlone(t *testing.T) {
	var bucket PromptBucket
	assert.Assert(t, bucket.Allows(epoch, 10*promptBurst))
	bucket.Add(epoch, 10*promptBurst)
	assert.Assert(t, !bucket.Allows(epoch, 1))
	assert.Assert(t, bucket.Allows(epoch.Add(time.Second), 10) == (10*promptBurst < defaultPromptRate))
}

// eventGapTarget is the longest pause between two events that the users' services
// promise.
const eventGapTarget = 250 * time.Millisecond

// TestPaceKeepsStreamsGoing plays bursts of prompts on an engine that reads
// 2,048 tokens of them in a step of 90 ms, between the tokens of its streams,
// three of which make an event. While a burst is worked off, at most one event
// in twenty may come later than promised, which a stream of 20 events meets
// once; without the pace it is more than one in two.
func TestPaceKeepsStreamsGoing(t *testing.T) {
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

// lateEvents counts the pauses over the target, and all of them, until a burst
// has been read.
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

func TestOthersTakeThePlaceOfAGuess(t *testing.T) {
	e := New(64, 4)
	e.Started(epoch, Work{PromptTokens: 100, AnswerTokens: 50})
	assert.Equal(t, e.Load(epoch), 4.0)
	assert.Equal(t, e.ReservedTokens(epoch), 600)
	e.SetPeers(epoch, EntryLoad{Requests: 2, KVCacheTokens: 400})
	assert.Equal(t, e.Load(epoch), 3.0)
	assert.Equal(t, e.ReservedTokens(epoch), 550)
	// the word of others ages
	assert.Equal(t, e.Load(epoch.Add(peerLoadTTL)), 4.0)
	e.Finished(epoch, Work{PromptTokens: 100, AnswerTokens: 50}, 10)
	assert.Equal(t, e.OwnLoad(), EntryLoad{})
}
