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
	w := &simulation{
		catalog: cataloger.New(), now: epoch, counts: map[string]map[string]Count{},
		limits: orderer.StoreLimits{LoadsPerSecond: 1.4, LoadsAtOnce: 3, AdaptersInTransit: 2},
	}
	for i := range models {
		w.applyChange(cataloger.PutModel{Model: cataloger.Model{
			Name: fmt.Sprintf("m%d", i), Service: "chat", MemoryBytes: int64(20 + 10*(i%2)),
		}})
	}
	for i := range adapters {
		w.applyChange(cataloger.PutAdapter{Adapter: cataloger.Adapter{
			Name: fmt.Sprintf("a%d", i), Model: fmt.Sprintf("m%d", i%models), MemoryBytes: 2,
		}})
	}
	for i := range engines {
		w.applyChange(cataloger.PutUpstream{Upstream: cataloger.Upstream{
			Name: fmt.Sprintf("e%d", i), Incarnation: "1", Service: "chat",
			Kind: cataloger.EngineUpstream, State: cataloger.UpstreamLive, MemoryBytes: 100, Slots: 8,
		}})
	}
	return w
}

func (w *simulation) applyChange(change cataloger.Change) {
	next, err := w.catalog.With(cataloger.Delta{
		From: w.catalog.Revision, To: w.catalog.Revision + 1, Changes: []cataloger.Change{change},
	})
	if err == nil {
		w.catalog = next
	}
}

// plan makes a plan, checks its moves and adds them as orders.
func (w *simulation) plan(t assert.TestingT) []Move {
	output := Plan(Input{
		Now: w.now, Catalog: w.catalog, Unsettled: w.orders, Limits: w.limits, NextLoad: w.next,
		State: w.state, Demands: map[string]Demand{"entry": {Since: epoch, Counts: w.counts}},
	})
	w.state = output.State
	for _, m := range output.Moves {
		w.checkMove(t, m)
		w.ids++
		w.moves++
		w.orders = append(w.orders, orderer.Order{
			ID: w.ids, Upstream: m.Upstream, Incarnation: m.Incarnation, Work: m.Work,
		})
	}
	return output.Moves
}

// checkMove checks that a move keeps all guarantees of Plan.
func (w *simulation) checkMove(t assert.TestingT, m Move) {
	busy := slices.ContainsFunc(w.orders, func(o orderer.Order) bool { return o.Upstream == m.Upstream })
	assert.Assert(t, !busy, "two orders for %s", m.Upstream)
	switch work := m.Work.(type) {
	case orderer.LoadModel:
		w.checkLoad(t, m.Upstream, work.MemoryBytes, false)
	case orderer.LoadAdapter:
		w.checkLoad(t, m.Upstream, work.MemoryBytes, true)
		assert.Assert(t, slices.Contains(w.catalog.Placements[m.Upstream].Models, work.Model))
	case orderer.UnloadModel:
		w.checkUnload(t, m.Upstream, work.Model)
		for _, adapter := range w.catalog.Placements[m.Upstream].Adapters {
			assert.Assert(t, w.catalog.Adapters[adapter].Model != work.Model)
		}
	case orderer.UnloadAdapter:
		w.checkUnload(t, m.Upstream, work.Adapter)
	}
}

func (w *simulation) checkLoad(t assert.TestingT, upstream string, bytes int64, adapter bool) {
	assert.Assert(t, w.maxUsed(upstream)+bytes <= w.catalog.Upstreams[upstream].MemoryBytes, "memory")
	assert.Assert(t, !w.now.Before(w.next), "store rate")
	w.next = w.now.Add(time.Duration(float64(time.Second) / w.limits.LoadsPerSecond))
	loads, adapters := 0, 0
	for _, order := range w.orders {
		switch order.Work.(type) {
		case orderer.LoadModel:
			loads++
		case orderer.LoadAdapter:
			loads++
			adapters++
		}
	}
	assert.Assert(t, loads < w.limits.LoadsAtOnce, "loads at once")
	assert.Assert(t, !adapter || adapters < w.limits.AdaptersInTransit, "adapters in transit")
}

// checkUnload checks that another copy remains.
func (w *simulation) checkUnload(t assert.TestingT, upstream, name string) {
	for _, holder := range w.catalog.Holders[name] {
		live := w.catalog.Upstreams[holder].State == cataloger.UpstreamLive
		if holder != upstream && live && !w.unloading(holder, name) {
			return
		}
	}
	assert.Assert(t, false, "last copy of %s", name)
}

func (w *simulation) unloading(upstream, name string) bool {
	return slices.ContainsFunc(w.orders, func(o orderer.Order) bool {
		return o.Upstream == upstream &&
			(o.Work == orderer.UnloadModel{Model: name} || o.Work == orderer.UnloadAdapter{Adapter: name})
	})
}

// maxUsed returns the most memory that an engine could use.
func (w *simulation) maxUsed(upstream string) int64 {
	used := int64(0)
	placement := w.catalog.Placements[upstream]
	for _, name := range placement.Models {
		used += w.catalog.Models[name].MemoryBytes
	}
	for _, name := range placement.Adapters {
		used += w.catalog.Adapters[name].MemoryBytes
	}
	for _, order := range w.orders {
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
func (w *simulation) settle(i int, done bool) {
	order := w.orders[i]
	w.orders = slices.Delete(w.orders, i, i+1)
	if !done {
		return
	}
	placement := w.catalog.Placements[order.Upstream]
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
	w.applyChange(cataloger.PutPlacement{Placement: placement})
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
func (w *simulation) demand(name string, requests uint64) {
	if w.counts[name] == nil {
		w.counts[name] = map[string]Count{}
	}
	w.counts[name]["couple"] = w.counts[name]["couple"].Add(Count{
		Arrivals: requests, Ended: requests, Busy: time.Duration(requests) * 3 * time.Second,
	})
}

// run plans once a second and settles each order at once.
func (w *simulation) run(t assert.TestingT, seconds int, demand func()) {
	for range seconds {
		w.now = w.now.Add(time.Second)
		demand()
		w.plan(t)
		for len(w.orders) > 0 {
			w.settle(0, true)
		}
	}
}

func (w *simulation) unheld() []string {
	var unheld []string
	for name := range w.catalog.Models {
		if len(w.catalog.Holders[name]) == 0 {
			unheld = append(unheld, name)
		}
	}
	for name := range w.catalog.Adapters {
		if len(w.catalog.Holders[name]) == 0 {
			unheld = append(unheld, name)
		}
	}
	return unheld
}

func TestPromisesHoldUnderAnyTrouble(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.IntRange(3, 6).Draw(t, "engines"), rapid.IntRange(2, 7).Draw(t, "models"), rapid.IntRange(0, 8).Draw(t, "adapters"))
		steps := rapid.SliceOfN(rapid.IntRange(0, 99), 20, 150).Draw(t, "steps")
		lost := 0
		for _, step := range steps {
			w.now = w.now.Add(time.Duration(200+step*10) * time.Millisecond)
			w.demand(fmt.Sprintf("m%d", step%len(w.catalog.Models)), uint64(step%7))
			switch {
			case step < 50 && len(w.orders) > 0:
				w.settle(step%len(w.orders), step != 13)
			case step == 50 && lost == 0:
				lost++
				w.loseEngine("e0")
			case step == 51 && lost < 2:
				lost++
				upstream := w.catalog.Upstreams["e1"]
				upstream.State = cataloger.UpstreamLeaving
				w.applyChange(cataloger.PutUpstream{Upstream: upstream})
			}
			w.plan(t)
		}
	})
}

func (w *simulation) loseEngine(name string) {
	w.applyChange(cataloger.RemoveUpstream{Name: name})
	w.orders = slices.DeleteFunc(w.orders, func(o orderer.Order) bool { return o.Upstream == name })
}

func TestEverythingGetsACopyAndThenNothingMoves(t *testing.T) {
	w := newSimulation(4, 6, 8)
	even := func() {
		for i := range 6 {
			w.demand(fmt.Sprintf("m%d", i), 1)
		}
	}
	w.run(t, 60, even)
	assert.Equal(t, len(w.unheld()), 0, "%v", w.unheld())
	before := w.moves
	w.run(t, 300, even)
	assert.Equal(t, w.moves, before)
}

func TestLostCopiesComeFirst(t *testing.T) {
	w := newSimulation(3, 2, 2)
	w.run(t, 20, func() {})
	assert.Equal(t, len(w.unheld()), 0)
	holder := w.catalog.Holders["m1"][0]
	w.loseEngine(holder)
	w.applyChange(cataloger.PutModel{Model: cataloger.Model{Name: "m-new", Service: "chat", MemoryBytes: 20}})
	w.now = w.now.Add(time.Second)
	moves := w.plan(t)
	assert.Assert(t, len(moves) > 0)
	assert.Equal(t, moves[0].Reason, ReasonRestore)
	w.run(t, 30, func() {})
	assert.Equal(t, len(w.unheld()), 0)
}

func TestDemandAddsCopiesAndMakesRoom(t *testing.T) {
	w := newSimulation(4, 6, 0)
	w.run(t, 30, func() {})
	w.run(t, 30, func() { w.demand("m0", 1) })
	assert.Equal(t, len(w.catalog.Holders["m0"]), 1)
	w.run(t, 60, func() { w.demand("m0", 8) })
	assert.Assert(t, len(w.catalog.Holders["m0"]) > 1, "%v", w.catalog.Holders)
	settled := len(w.catalog.Holders["m0"])
	w.run(t, 60, func() {})
	assert.Equal(t, len(w.catalog.Holders["m0"]), settled)
}
