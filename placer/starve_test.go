package placer

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"burdocklink/cataloger"
)

// hold has an engine of the world hold models.
func (w *world) hold(engine string, models ...string) {
	w.change(cataloger.PutPlacement{Placement: cataloger.Placement{Upstream: engine, Incarnation: "1", Models: models}})
}

// copies is how many engines hold a model.
func (w *world) copies(model string) int { return len(w.catalog.Holders[model]) }

func TestDemandIsFollowedBesideEnginesThatCannotMakeRoom(t *testing.T) {
	const lastCopies = 8
	w := newWorld(lastCopies+2, 0, 0)
	put := func(name string, bytes int64) {
		w.change(cataloger.PutModel{Model: cataloger.Model{Name: name, Service: "chat", MemoryBytes: bytes}})
	}
	put("hot", 30)
	put("lent", 100)
	for at := range lastCopies {
		only := fmt.Sprintf("only-%d", at)
		put(only, 100)
		w.hold(fmt.Sprintf("e%d", at), only)
	}
	w.hold(fmt.Sprintf("e%d", lastCopies), "hot")
	w.hold(fmt.Sprintf("e%d", lastCopies+1), "lent")
	w.change(cataloger.PutUpstream{Upstream: cataloger.Upstream{
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
	w := newWorld(2, 0, 0)
	put := func(name string, bytes int64) {
		w.change(cataloger.PutModel{Model: cataloger.Model{Name: name, Service: "chat", MemoryBytes: bytes}})
	}
	put("hot", 30)
	w.hold("e0", "hot")
	for at := range large {
		name := fmt.Sprintf("large-%d", at)
		put(name, 300)
		w.change(cataloger.PutUpstream{Upstream: cataloger.Upstream{
			Name: name, Incarnation: "1", Service: "chat",
			Kind: cataloger.EngineUpstream, State: cataloger.UpstreamLive, MemoryBytes: 300, Slots: 8,
		}})
		w.hold(name, name)
	}
	w.run(t, 120, func() {
		w.demand("hot", 16)
		for at := range large {
			w.demand(fmt.Sprintf("large-%d", at), 40)
		}
	})
	assert.Assert(t, w.copies("hot") > 1)
}
