package prover_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"burdocklink/encoder"
)

// smallFleetWeights returns the models and adapters of small fleets.
func smallFleetWeights() []encoder.Weights {
	return []encoder.Weights{
		{Name: "torta", Kind: "model", Service: "models", Version: "1", MemoryBytes: 40},
		{Name: "krem", Kind: "model", Service: "models", Version: "1", MemoryBytes: 30},
		{Name: "torta-eskuvo", Kind: "adapter", Base: "torta", Version: "1", MemoryBytes: 5},
	}
}

func TestEndToEndUnderTraffic(t *testing.T) {
	t.Parallel()
	f := newFleet(t, smallFleetWeights()...)
	f.addEngine("engine-1", 100, "--holds", "torta,krem,torta-eskuvo")
	f.addEngine("engine-2", 100, "--holds", "torta,krem,torta-eskuvo")
	f.addService("naptar-1")
	f.addMembers("control-1")
	f.addEntries("entry-1", "entry-2")
	for _, model := range []string{"torta", "krem", "torta-eskuvo"} {
		eventually(t, model+" answers", func() bool { return f.chat(f.entries[0], model, 5).Complete })
	}

	traffic := f.startTraffic(4, 20, "torta", "krem", "torta-eskuvo")
	eventually(t, "more than 60 answers are complete", func() bool { return f.countAnswers().complete > 60 })
	traffic.end()

	assert.Equal(t, f.countAnswers().broken, 0)
	f.checkGuarantees()
}
