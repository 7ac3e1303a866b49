package estimator

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPaceLetsALongPromptThroughAlone(t *testing.T) {
	var p Pace
	assert.Assert(t, p.Allows(epoch, 10*paceBurst))
	p.Add(epoch, 10*paceBurst)
	assert.Assert(t, !p.Allows(epoch, 1))
	assert.Assert(t, p.Allows(epoch.Add(time.Second), 10) == (10*paceBurst < paceRate))
}

// pauseTarget is the longest pause between two events that the users' services
// promise.
const pauseTarget = 250 * time.Millisecond

// TestPaceKeepsStreamsGoing plays bursts of prompts on an engine that reads
// 2,048 tokens of them in a step of 90 ms, between the tokens of its streams,
// three of which make an event. While a burst is worked off, at most one event
// in twenty may come later than promised, which a stream of 20 events meets
// once; without the pace it is more than one in two.
func TestPaceKeepsStreamsGoing(t *testing.T) {
	late := func(paced bool) float64 {
		over, all := 0, 0
		for seed := range uint64(200) {
			o, a := latePauses(seed, paced)
			over, all = over+o, all+a
		}
		return float64(over) / float64(all)
	}
	assert.Assert(t, late(true) <= 0.05, "%.3f", late(true))
	assert.Assert(t, late(false) >= 0.5, "%.3f", late(false))
}

// latePauses counts the pauses over the target, and all of them, until a burst
// has been read.
func latePauses(seed uint64, paced bool) (over, all int) {
	const (
		chunk     = 2048
		plainStep = 10 * time.Millisecond
		chunkStep = 80 * time.Millisecond
		perEvent  = 3
	)
	random := rand.New(rand.NewPCG(seed, 3))
	var p Pace
	now, backlog := epoch, 0
	var waiting []int
	for range 24 {
		waiting = append(waiting, 300+random.IntN(1800))
	}
	since, tokens := now, 0
	for len(waiting) > 0 || backlog > 0 {
		for len(waiting) > 0 && (!paced || p.Allows(now, float64(waiting[0]))) {
			p.Add(now, float64(waiting[0]))
			backlog += waiting[0]
			waiting = waiting[1:]
		}
		read := min(backlog, chunk)
		backlog -= read
		now = now.Add(plainStep + chunkStep*time.Duration(read)/chunk)
		if tokens++; tokens%perEvent == 0 {
			all++
			if now.Sub(since) > pauseTarget {
				over++
			}
			since = now
		}
	}
	return over, all
}

func TestOthersTakeThePlaceOfAGuess(t *testing.T) {
	e := New(64, 4)
	e.Started(epoch, Work{PromptTokens: 100, AnswerTokens: 50})
	assert.Equal(t, e.Load(epoch), 4.0)
	assert.Equal(t, e.Reserved(epoch), 600)
	e.Others(epoch, Share{Requests: 2, Tokens: 400})
	assert.Equal(t, e.Load(epoch), 3.0)
	assert.Equal(t, e.Reserved(epoch), 550)
	// the word of others ages
	assert.Equal(t, e.Load(epoch.Add(othersTime)), 4.0)
	e.Finished(epoch, Work{PromptTokens: 100, AnswerTokens: 50}, 10)
	assert.Equal(t, e.Own(), Share{})
}
