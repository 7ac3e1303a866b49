package prover_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"burdocklink/encoder"
)

func TestFaultyStreamsStayWhole(t *testing.T) {
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
			f.fault(f.engines[0], faults)
			for range 4 {
				for _, each := range f.entries {
					answer := f.chat(each, "torta", 30)
					assert.Equal(t, answer.Complete, true)
					assert.Equal(t, answer.Text, answer.Want)
				}
			}
			f.fault(f.engines[0], encoder.EngineFaults{})
		})
	}
	f.judge()
}

func TestEveryEngineFaultyAtOnce(t *testing.T) {
	t.Parallel()
	f := newSmallFleet(t, 1)
	for _, engine := range f.engines {
		f.fault(engine, encoder.EngineFaults{CutAfterTokens: 9, ForgetStreams: true})
	}
	traffic := f.startTraffic(4, 30, "torta", "krem")
	f.answered(20)
	traffic.end()
	f.judge()
}

func TestKilledEngineIsContinuedElsewhere(t *testing.T) {
	t.Parallel()
	f := newSmallFleet(t, 1)
	traffic := f.startTraffic(6, 100, "torta", "krem")
	f.answered(6)

	f.lose(f.engines[0])

	f.answered(20)
	traffic.end()
	assert.Equal(t, f.count().broken, 0)
	f.judge()
}

func TestFrozenEngineIsContinuedElsewhere(t *testing.T) {
	t.Parallel()
	f := newSmallFleet(t, 1)
	traffic := f.startTraffic(6, 100, "torta")
	f.answered(6)

	f.engines[0].process.freeze()

	f.answered(20)
	traffic.end()
	f.engines[0].process.thaw()
	assert.Equal(t, f.count().broken, 0)
	f.judge()
}

func TestSilentConnectionsAreLeft(t *testing.T) {
	t.Parallel()
	f := newSmallFleet(t, 1)
	traffic := f.startTraffic(6, 60, "torta")
	f.answered(12)

	for _, engine := range f.engines {
		engine.link.forget(t)
	}

	f.answered(20)
	traffic.end()
	assert.Equal(t, f.count().broken, 0)
	f.judge()
}

func TestOneWaySilenceOfAnEngine(t *testing.T) {
	t.Parallel()
	for name, direction := range map[string]string{"to the engine": toServer, "from the engine": toClient} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newSmallFleet(t, 1)
			traffic := f.startTraffic(4, 40, "torta")
			f.answered(8)

			f.engines[0].link.silence(t, direction)

			f.answered(20)
			traffic.end()
			assert.Equal(t, f.count().broken, 0)
			f.judge()
		})
	}
}
