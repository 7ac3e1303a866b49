package router

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/cataloger"
	"burdocklink/estimator"
)

// randomChange returns a change to one of a few upstreams, so that changes interact.
func randomChange(random *rand.Rand) cataloger.Change {
	name := fmt.Sprintf("e%d", random.IntN(5))
	switch random.IntN(4) {
	case 0:
		return cataloger.RemoveUpstream{Name: name}
	case 1:
		placement := cataloger.Placement{Upstream: name}
		for model := range 4 {
			if random.IntN(2) == 0 {
				placement.Models = append(placement.Models, fmt.Sprintf("m%d", model))
				placement.Adapters = append(placement.Adapters, fmt.Sprintf("a%d", random.IntN(3)))
			}
		}
		return cataloger.PutPlacement{Placement: placement}
	default:
		return cataloger.PutUpstream{Upstream: cataloger.Upstream{
			Name: name, Incarnation: fmt.Sprint(random.IntN(2)), Address: "10.0.0.1:1", Slots: 1 + random.IntN(2),
			Service: fmt.Sprintf("s%d", random.IntN(2)),
			State:   cataloger.UpstreamLive + cataloger.UpstreamState(random.IntN(2)),
		}}
	}
}

// tableState is the part of a table that tests compare.
type tableState struct {
	Upstreams         map[string]cataloger.Upstream
	Holders, Services map[string][]string
}

func stateOf(t *table) tableState {
	s := tableState{Upstreams: map[string]cataloger.Upstream{}, Holders: names(t.holders), Services: names(t.services)}
	for name, u := range t.upstreams {
		s.Upstreams[name] = u.info
	}
	return s
}

// names returns the names in each list, without empty lists.
func names(lists map[string][]*upstream) map[string][]string {
	found := map[string][]string{}
	for name, list := range lists {
		for _, u := range list {
			found[name] = append(found[name], u.info.Name)
		}
	}
	return found
}

func TestApplyMatchesRebuiltTable(t *testing.T) {
	const histories, steps = 300, 30
	for seed := range uint64(histories) {
		random := rand.New(rand.NewPCG(seed, 1))
		catalog, changed := cataloger.New(), New(Settings{})
		for range steps {
			changes := []cataloger.Change{randomChange(random), randomChange(random)}
			next, err := catalog.With(cataloger.Delta{From: catalog.Revision, To: catalog.Revision + 1, Changes: changes})
			assert.NilError(t, err)
			catalog = next
			changed.Apply(changes)
			rebuilt := New(Settings{})
			rebuilt.Update(catalog)
			assert.DeepEqual(t, stateOf(changed.table), stateOf(rebuilt.table))
		}
	}
}

func TestChangeKeepsMeasurements(t *testing.T) {
	original := fleetCatalog(t, 1).Upstreams["e0"]
	restarted, moved := original, original
	restarted.Incarnation, moved.Address = "2", "127.0.0.1:2"
	leaving := original
	leaving.State = cataloger.UpstreamLeaving
	cases := map[string]struct {
		change cataloger.Change
		kept   bool
	}{
		"unchanged":     {cataloger.PutUpstream{Upstream: original}, true},
		"leaves":        {cataloger.PutUpstream{Upstream: leaving}, true},
		"holds nothing": {cataloger.PutPlacement{Placement: cataloger.Placement{Upstream: "e0"}}, true},
		"restarted":     {cataloger.PutUpstream{Upstream: restarted}, false},
		"moved":         {cataloger.PutUpstream{Upstream: moved}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := New(Settings{})
			r.Update(fleetCatalog(t, 1))
			before := r.table.upstreams["e0"].measurements
			r.Apply([]cataloger.Change{c.change})
			assert.Equal(t, r.table.upstreams["e0"].measurements == before, c.kept)
		})
	}
}

// fleetGrowth is the ratio of the fleet sizes in a cost test, and costGrowth how much
// more a step may cost in the larger fleet, since CPU caches hold a smaller part of it.
const (
	fleetGrowth = 50
	costGrowth  = 8
)

// quickest returns the shortest of many measured times, which other work on the machine
// does not affect.
func quickest(step func()) time.Duration {
	const rounds, steps = 300, 20
	least := time.Hour
	for range rounds {
		began := time.Now()
		for range steps {
			step()
		}
		least = min(least, time.Since(began)/steps)
	}
	return least
}

// Guards against work per update that grows with the number of upstreams. It once took
// the whole CPU share of an entry in a large fleet.
func TestUpdateCostDoesNotGrowWithFleet(t *testing.T) {
	const engines = 140
	cases := map[string]func(r *Router) func(){
		"change of placement": func(r *Router) func() {
			round := 0
			return func() {
				round++
				r.Apply([]cataloger.Change{cataloger.PutPlacement{Placement: cataloger.Placement{
					Upstream: "e1", Incarnation: "1", Models: []string{"n" + fmt.Sprint(round%2)},
				}}})
			}
		},
		"no load change": func(r *Router) func() {
			return func() { r.LoadChanges() }
		},
		"all own loads": func(r *Router) func() {
			r.Started(Choice{Upstream: "e1", Incarnation: "1"}, newRequest(1), epoch)
			return func() { r.Loads() }
		},
		"complete load of another entry": func(r *Router) func() {
			loads := []Load{{Upstream: "e1", Incarnation: "1", EntryLoad: estimator.EntryLoad{Requests: 1}}}
			return func() { r.MergeLoads(epoch, "other", loads, true) }
		},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			cost := func(size int) time.Duration {
				r := New(Settings{})
				r.Apply(fleetChanges(size))
				return quickest(prepare(r))
			}
			small, large := cost(engines), cost(fleetGrowth*engines)
			assert.Assert(t, large < costGrowth*small+time.Microsecond, "%v at %d upstreams, %v at %d",
				small, engines, large, fleetGrowth*engines)
		})
	}
}

func TestCompleteLoadsClearUnlistedUpstreams(t *testing.T) {
	r := New(Settings{})
	r.Update(fleetCatalog(t, 2))
	send := func(complete bool, upstreams ...string) {
		var loads []Load
		for _, name := range upstreams {
			loads = append(loads, Load{Upstream: name, Incarnation: "1", EntryLoad: estimator.EntryLoad{Requests: 3}})
		}
		r.MergeLoads(epoch, "other", loads, complete)
	}
	load := func(name string) float64 { return r.table.upstreams[name].engine.Load(epoch) }
	send(false, "e0", "e1")
	assert.Equal(t, load("e0"), 3.0)
	assert.Equal(t, load("e1"), 3.0)
	send(true, "e1")
	assert.Equal(t, load("e0"), 0.0)
	assert.Equal(t, load("e1"), 3.0)
	send(true)
	assert.Equal(t, load("e1"), 0.0)
}
