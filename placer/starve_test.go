package placer

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"burdocklink/cataloger"
)

// hold has a simulated engine hold models.
func (w *simulation) hold(engine string, models ...string) {
	w.applyChange(cataloger.PutPlacement{Placement: cataloger.Placement{Upstream: engine, Incarnation: "1", Models: models}})
}

// copies returns how many engines hold a model.
func (w *simulation) copies(model string) int { return len(w.catalog.Holders[model]) }

func TestDemandIsFollowedBesideEnginesThatCannotMakeRoom(t *testing.T) {
	const lastCopies = 8
	w := newSimulation(lastCopies+2, 0, 0)
	put := func(name string, bytes int64) {
		w.applyChange(cataloger.PutModel{Model: cataloger.Model{Name: name, Service: "chat", MemoryBytes: bytes}})
	}
	put("hot", 30)
	put("lent", 100)
	for i := range lastCopies {
		only := fmt.Sprintf("only-%d", i)
		put(only, 100)
		w.hold(fmt.Sprintf("e%d", i), only)
	}
	w.hold(fmt.Sprintf("e%d", lastCopies), "hot")
	w.hold(fmt.Sprintf("e%d", lastCopies+1), "lent")
	w.applyChange(cataloger.PutUpstream{Upstream: cataloger.Upstream{
		Name: "x", Incarnation: "1", Service: "chat",
		Kind: cataloger.EngineUpstream, State: cataloger.UpstreamLive, MemoryBytes: 100, Slots: 8,
	}})
	w.hold("x", "lent")
	w.run(t, 120, func() {
		w.demand("hot", 16)
		w.demand("lent", 1)
	})
	assert.Assert(t, w.copies("hot") > 1)
}

func TestDemandIsFollowedBesideHotterModelsThatFitNowhere(t *testing.T) {
	const large = 6
	w := newSimulation(2, 0, 0)
	put := func(name string, bytes int64) {
		w.applyChange(cataloger.PutModel{Model: cataloger.Model{Name: name, Service: "chat", MemoryBytes: bytes}})
	}
	put("hot", 30)
	w.hold("e0", "hot")
	for i := range large {
		name := fmt.Sprintf("large-%d", i)
		put(name, 300)
		w.applyChange(cataloger.PutUpstream{Upstream: cataloger.Upstream{
			Name: name, Incarnation: "1", Service: "chat",
			Kind: cataloger.EngineUpstream, State: cataloger.UpstreamLive, MemoryBytes: 300, Slots: 8,
		}})
		w.hold(name, name)
	}
	w.run(t, 120, func() {
		w.demand("hot", 16)
		for i := range large {
			w.demand(fmt.Sprintf("large-%d", i), 40)
		}
	})
	assert.Assert(t, w.copies("hot") > 1)
}
