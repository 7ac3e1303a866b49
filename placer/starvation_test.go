package placer

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"burdocklink/cataloger"
)

// hold has a simulated engine hold models.
func (s *simulation) hold(engine string, models ...string) {
	s.applyChange(cataloger.PutPlacement{Placement: cataloger.Placement{Upstream: engine, Incarnation: "1", Models: models}})
}

// copies returns how many engines hold a model.
func (s *simulation) copies(model string) int { return len(s.catalog.Holders[model]) }

func TestDemandIsFollowedBesideEnginesThatCannotMakeRoom(t *testing.T) {
	const lastCopies = 8
	s := newSimulation(lastCopies+2, 0, 0)
	put := func(name string, bytes int64) {
		s.applyChange(cataloger.PutModel{Model: cataloger.Model{Name: name, Service: "chat", MemoryBytes: bytes}})
	}
	put("hot", 30)
	put("lent", 100)
	for i := range lastCopies {
		only := fmt.Sprintf("only-%d", i)
		put(only, 100)
		s.hold(fmt.Sprintf("e%d", i), only)
	}
	s.hold(fmt.Sprintf("e%d", lastCopies), "hot")
	s.hold(fmt.Sprintf("e%d", lastCopies+1), "lent")
	s.applyChange(cataloger.PutUpstream{Upstream: cataloger.Upstream{
		Name: "x", Incarnation: "1", Service: "chat",
		Kind: cataloger.EngineUpstream, State: cataloger.UpstreamLive, MemoryBytes: 100, Slots: 8,
	}})
	s.hold("x", "lent")
	s.run(t, 120, func() {
		s.demand("hot", 16)
		s.demand("lent", 1)
	})
	assert.Assert(t, s.copies("hot") > 1)
}

func TestDemandIsFollowedBesideBusierModelsThatFitNowhere(t *testing.T) {
	const large = 6
	s := newSimulation(2, 0, 0)
	put := func(name string, bytes int64) {
		s.applyChange(cataloger.PutModel{Model: cataloger.Model{Name: name, Service: "chat", MemoryBytes: bytes}})
	}
	put("hot", 30)
	s.hold("e0", "hot")
	for i := range large {
		name := fmt.Sprintf("large-%d", i)
		put(name, 300)
		s.applyChange(cataloger.PutUpstream{Upstream: cataloger.Upstream{
			Name: name, Incarnation: "1", Service: "chat",
			Kind: cataloger.EngineUpstream, State: cataloger.UpstreamLive, MemoryBytes: 300, Slots: 8,
		}})
		s.hold(name, name)
	}
	s.run(t, 120, func() {
		s.demand("hot", 16)
		for i := range large {
			s.demand(fmt.Sprintf("large-%d", i), 40)
		}
	})
	assert.Assert(t, s.copies("hot") > 1)
}
