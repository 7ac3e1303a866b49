package prover_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"burdocklink/encoder"
)

func TestFaultyStreamsAreCompleted(t *testing.T) {
	t.Parallel()
	f := newSmallFleet(t, 1)
	tests := map[string]encoder.EngineFaults{
		"cut once":              {CutAfterTokens: 7, CutTimes: 1},
		"cut thrice":            {CutAfterTokens: 5, CutTimes: 3},
		"cut and forgotten":     {CutAfterTokens: 7, CutTimes: 2, ForgetStreams: true},
		"reordered":             {ReorderEvents: true},
		"duplicated":            {DuplicateEvents: true},
		"reordered, twice, cut": {ReorderEvents: true, DuplicateEvents: true, CutAfterTokens: 6, CutTimes: 2},
		"refused as not run":    {RefuseRequests: true},
	}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			f.setFaults(f.engines[0], faults)
			for range 4 {
				for _, each := range f.entries {
					answer := f.chat(each, "torta", 30)
					assert.Equal(t, answer.Complete, true)
					assert.Equal(t, answer.Text, answer.Want)
				}
			}
			f.setFaults(f.engines[0], encoder.EngineFaults{})
		})
	}
	f.checkGuarantees()
}

func TestEveryEngineFaultyAtOnce(t *testing.T) {
	t.Parallel()
	f := newSmallFleet(t, 1)
	for _, engine := range f.engines {
		f.setFaults(engine, encoder.EngineFaults{CutAfterTokens: 9, ForgetStreams: true})
	}
	traffic := f.startTraffic(4, 30, "torta", "krem")
	f.awaitAnswers(20)
	traffic.end()
	f.checkGuarantees()
}

func TestKilledEngineIsContinuedElsewhere(t *testing.T) {
	t.Parallel()
	f := newSmallFleet(t, 1)
	traffic := f.startTraffic(6, 100, "torta", "krem")
	f.awaitAnswers(6)

	f.loseEngine(f.engines[0])

	f.awaitAnswers(20)
	traffic.end()
	assert.Equal(t, f.countAnswers().broken, 0)
	f.checkGuarantees()
}

func TestFrozenEngineIsContinuedElsewhere(t *testing.T) {
	t.Parallel()
	f := newSmallFleet(t, 1)
	traffic := f.startTraffic(6, 100, "torta")
	f.awaitAnswers(6)

	f.engines[0].process.freeze()

	f.awaitAnswers(20)
	traffic.end()
	f.engines[0].process.thaw()
	assert.Equal(t, f.countAnswers().broken, 0)
	f.checkGuarantees()
}

func TestSilentConnectionsAreReplaced(t *testing.T) {
	t.Parallel()
	f := newSmallFleet(t, 1)
	traffic := f.startTraffic(6, 60, "torta")
	f.awaitAnswers(12)

	for _, engine := range f.engines {
		engine.link.stallOpenConnections(t)
	}

	f.awaitAnswers(20)
	traffic.end()
	assert.Equal(t, f.countAnswers().broken, 0)
	f.checkGuarantees()
}

func TestEngineIsUnreachableInOneDirection(t *testing.T) {
	t.Parallel()
	for name, direction := range map[string]string{"to the engine": toServer, "from the engine": toClient} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newSmallFleet(t, 1)
			traffic := f.startTraffic(4, 40, "torta")
			f.awaitAnswers(8)

			f.engines[0].link.blackhole(t, direction)

			f.awaitAnswers(20)
			traffic.end()
			assert.Equal(t, f.countAnswers().broken, 0)
			f.checkGuarantees()
		})
	}
}
