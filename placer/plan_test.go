package placer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"burdocklink/cataloger"
	"burdocklink/orderer"
)

var epoch = time.Date(2030, time.May, 1, 10, 0, 0, 0, time.UTC)

// simulation is a small fleet that carries out moves.
type simulation struct {
	catalog *cataloger.Catalog
	state   State
	now     time.Time
	orders  []orderer.Order
	next    time.Time
	ids     uint64
	counts  map[string]map[string]Count
	limits  orderer.StoreLimits
	moves   int
}

func newSimulation(engines, models, adapters int) *simulation {
	s := &simulation{
		catalog: cataloger.New(), now: epoch, counts: map[string]map[string]Count{},
		limits: orderer.StoreLimits{LoadsPerSecond: 1.4, LoadsAtOnce: 3, AdaptersInTransit: 2},
	}
	for i := range models {
		s.applyChange(cataloger.PutModel{Model: cataloger.Model{
			Name: fmt.Sprintf("m%d", i), Service: "chat", MemoryBytes: int64(20 + 10*(i%2)),
		}})
	}
	for i := range adapters {
		s.applyChange(cataloger.PutAdapter{Adapter: cataloger.Adapter{
			Name: fmt.Sprintf("a%d", i), Model: fmt.Sprintf("m%d", i%models), MemoryBytes: 2,
		}})
	}
	for i := range engines {
		s.applyChange(cataloger.PutUpstream{Upstream: cataloger.Upstream{
			Name: fmt.Sprintf("e%d", i), Incarnation: "1", Service: "chat",
			Kind: cataloger.EngineUpstream, State: cataloger.UpstreamLive, MemoryBytes: 100, Slots: 8,
		}})
	}
	return s
}

func (s *simulation) applyChange(change cataloger.Change) {
	next, err := s.catalog.With(cataloger.Delta{
		From: s.catalog.Revision, To: s.catalog.Revision + 1, Changes: []cataloger.Change{change},
	})
	if err == nil {
		s.catalog = next
	}
}

// plan makes a plan, checks its moves and adds them as orders.
func (s *simulation) plan(t assert.TestingT) []Move {
	output := Plan(Input{
		Now: s.now, Catalog: s.catalog, Unsettled: s.orders, Limits: s.limits, NextLoad: s.next,
		State: s.state, Demands: map[string]Demand{"entry": {Since: epoch, Counts: s.counts}},
	})
	s.state = output.State
	for _, m := range output.Moves {
		s.checkMove(t, m)
		s.ids++
		s.moves++
		s.orders = append(s.orders, orderer.Order{
			ID: s.ids, Upstream: m.Upstream, Incarnation: m.Incarnation, Work: m.Work,
		})
	}
	return output.Moves
}

// checkMove checks that a move keeps all guarantees of Plan.
func (s *simulation) checkMove(t assert.TestingT, m Move) {
	busy := slices.ContainsFunc(s.orders, func(o orderer.Order) bool { return o.Upstream == m.Upstream })
	assert.Assert(t, !busy, "two orders for %s", m.Upstream)
	switch work := m.Work.(type) {
	case orderer.LoadModel:
		s.checkLoad(t, m.Upstream, work.MemoryBytes, false)
	case orderer.LoadAdapter:
		s.checkLoad(t, m.Upstream, work.MemoryBytes, true)
		assert.Assert(t, slices.Contains(s.catalog.Placements[m.Upstream].Models, work.Model))
	case orderer.UnloadModel:
		s.checkUnload(t, m.Upstream, work.Model)
		for _, adapter := range s.catalog.Placements[m.Upstream].Adapters {
			assert.Assert(t, s.catalog.Adapters[adapter].Model != work.Model)
		}
	case orderer.UnloadAdapter:
		s.checkUnload(t, m.Upstream, work.Adapter)
	}
}

func (s *simulation) checkLoad(t assert.TestingT, upstream string, bytes int64, adapter bool) {
	assert.Assert(t, s.maxUsed(upstream)+bytes <= s.catalog.Upstreams[upstream].MemoryBytes, "memory")
	assert.Assert(t, !s.now.Before(s.next), "store rate")
	s.next = s.now.Add(time.Duration(float64(time.Second) / s.limits.LoadsPerSecond))
	loads, adapters := 0, 0
	for _, order := range s.orders {
		switch order.Work.(type) {
		case orderer.LoadModel:
			loads++
		case orderer.LoadAdapter:
			loads++
			adapters++
		}
	}
	assert.Assert(t, loads < s.limits.LoadsAtOnce, "loads at once")
	assert.Assert(t, !adapter || adapters < s.limits.AdaptersInTransit, "adapters in transit")
}

// checkUnload checks that another copy remains.
func (s *simulation) checkUnload(t assert.TestingT, upstream, name string) {
	for _, holder := range s.catalog.Holders[name] {
		live := s.catalog.Upstreams[holder].State == cataloger.UpstreamLive
		if holder != upstream && live && !s.unloading(holder, name) {
			return
		}
	}
	assert.Assert(t, false, "last copy of %s", name)
}

func (s *simulation) unloading(upstream, name string) bool {
	return slices.ContainsFunc(s.orders, func(o orderer.Order) bool {
		return o.Upstream == upstream &&
			(o.Work == orderer.UnloadModel{Model: name} || o.Work == orderer.UnloadAdapter{Adapter: name})
	})
}

// maxUsed returns the most memory that an engine could use.
func (s *simulation) maxUsed(upstream string) int64 {
	used := int64(0)
	placement := s.catalog.Placements[upstream]
	for _, name := range placement.Models {
		used += s.catalog.Models[name].MemoryBytes
	}
	for _, name := range placement.Adapters {
		used += s.catalog.Adapters[name].MemoryBytes
	}
	for _, order := range s.orders {
		if order.Upstream != upstream {
			continue
		}
		switch work := order.Work.(type) {
		case orderer.LoadModel:
			used += work.MemoryBytes
		case orderer.LoadAdapter:
			used += work.MemoryBytes
		}
	}
	return used
}

// settle carries out the order at an index, or drops it if it was lost.
func (s *simulation) settle(i int, done bool) {
	order := s.orders[i]
	s.orders = slices.Delete(s.orders, i, i+1)
	if !done {
		return
	}
	placement := s.catalog.Placements[order.Upstream]
	placement.Upstream, placement.Incarnation = order.Upstream, order.Incarnation
	switch work := order.Work.(type) {
	case orderer.LoadModel:
		placement.Models = added(placement.Models, work.Model)
	case orderer.LoadAdapter:
		placement.Adapters = added(placement.Adapters, work.Adapter)
	case orderer.UnloadModel:
		placement.Models = removed(placement.Models, work.Model)
	case orderer.UnloadAdapter:
		placement.Adapters = removed(placement.Adapters, work.Adapter)
	}
	s.applyChange(cataloger.PutPlacement{Placement: placement})
}

func added(list []string, name string) []string {
	list = append(slices.Clone(list), name)
	slices.Sort(list)
	return list
}

func removed(list []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(other string) bool { return other == name })
}

// demand adds requests for a name that take three seconds each.
func (s *simulation) demand(name string, requests uint64) {
	if s.counts[name] == nil {
		s.counts[name] = map[string]Count{}
	}
	s.counts[name]["couple"] = s.counts[name]["couple"].Add(Count{
		Arrivals: requests, Ended: requests, Busy: time.Duration(requests) * 3 * time.Second,
	})
}

// run plans once a second and settles each order at once.
func (s *simulation) run(t assert.TestingT, seconds int, demand func()) {
	for range seconds {
		s.now = s.now.Add(time.Second)
		demand()
		s.plan(t)
		for len(s.orders) > 0 {
			s.settle(0, true)
		}
	}
}

func (s *simulation) unheld() []string {
	var unheld []string
	for name := range s.catalog.Models {
		if len(s.catalog.Holders[name]) == 0 {
			unheld = append(unheld, name)
		}
	}
	for name := range s.catalog.Adapters {
		if len(s.catalog.Holders[name]) == 0 {
			unheld = append(unheld, name)
		}
	}
	return unheld
}

// The name stays: rapid replays the failures in testdata/rapid by test name.
func TestPromisesHoldUnderAnyTrouble(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(3, 6).Draw(t, "engines"), rapid.IntRange(2, 7).Draw(t, "models"), rapid.IntRange(0, 8).Draw(t, "adapters"))
		steps := rapid.SliceOfN(rapid.IntRange(0, 99), 20, 150).Draw(t, "steps")
		lost := 0
		for _, step := range steps {
			s.now = s.now.Add(time.Duration(200+step*10) * time.Millisecond)
			s.demand(fmt.Sprintf("m%d", step%len(s.catalog.Models)), uint64(step%7))
			switch {
			case step < 50 && len(s.orders) > 0:
				s.settle(step%len(s.orders), step != 13)
			case step == 50 && lost == 0:
				lost++
				s.loseEngine("e0")
			case step == 51 && lost < 2:
				lost++
				upstream := s.catalog.Upstreams["e1"]
				upstream.State = cataloger.UpstreamLeaving
				s.applyChange(cataloger.PutUpstream{Upstream: upstream})
			}
			s.plan(t)
		}
	})
}

func (s *simulation) loseEngine(name string) {
	s.applyChange(cataloger.RemoveUpstream{Name: name})
	s.orders = slices.DeleteFunc(s.orders, func(o orderer.Order) bool { return o.Upstream == name })
}

func TestAllNamesGetACopyAndPlacementSettles(t *testing.T) {
	s := newSimulation(4, 6, 8)
	even := func() {
		for i := range 6 {
			s.demand(fmt.Sprintf("m%d", i), 1)
		}
	}
	s.run(t, 60, even)
	assert.Equal(t, len(s.unheld()), 0, "%v", s.unheld())
	before := s.moves
	s.run(t, 300, even)
	assert.Equal(t, s.moves, before)
}

func TestLostCopiesComeFirst(t *testing.T) {
	s := newSimulation(3, 2, 2)
	s.run(t, 20, func() {})
	assert.Equal(t, len(s.unheld()), 0)
	holder := s.catalog.Holders["m1"][0]
	s.loseEngine(holder)
	s.applyChange(cataloger.PutModel{Model: cataloger.Model{Name: "m-new", Service: "chat", MemoryBytes: 20}})
	s.now = s.now.Add(time.Second)
	moves := s.plan(t)
	assert.Assert(t, len(moves) > 0)
	assert.Equal(t, moves[0].Reason, ReasonRestore)
	s.run(t, 30, func() {})
	assert.Equal(t, len(s.unheld()), 0)
}

func TestDemandAddsCopiesAndMakesRoom(t *testing.T) {
	s := newSimulation(4, 6, 0)
	s.run(t, 30, func() {})
	s.run(t, 30, func() { s.demand("m0", 1) })
	assert.Equal(t, len(s.catalog.Holders["m0"]), 1)
	s.run(t, 60, func() { s.demand("m0", 8) })
	assert.Assert(t, len(s.catalog.Holders["m0"]) > 1, "%v", s.catalog.Holders)
	settled := len(s.catalog.Holders["m0"])
	s.run(t, 60, func() {})
	assert.Equal(t, len(s.catalog.Holders["m0"]), settled)
}
