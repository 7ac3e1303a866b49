package surveyor_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"burdocklink/cataloger"
	"burdocklink/router"
	"burdocklink/surveyor"
)

// Large sites have 90 to 140 engines, 160 to 170 models and 450 to 717 adapters; an
// engine holds two models and a few adapters.
const (
	siteEngines      = 140
	siteModels       = 171
	siteAdapters     = 717
	modelsPerEngine  = 2
	adaptersPerModel = 4
	engineNameFormat = "engine-%04d"
)

// siteUpstream returns one engine of a large site.
func siteUpstream(number int) surveyor.Upstream {
	return surveyor.Upstream{
		Name: fmt.Sprintf(engineNameFormat, number), Incarnation: "1", Service: "chat",
		Address: fmt.Sprintf("10.0.%d.%d:80", number/250, number%250), Slots: 16, State: surveyor.Live,
		AvailabilityZone: fmt.Sprintf("z%d", number%3),
	}
}

// siteEngineHoldings returns the holdings of one engine, in different variants.
func siteEngineHoldings(number, variant int) surveyor.EngineHoldings {
	holdings := surveyor.EngineHoldings{
		Upstream: fmt.Sprintf(engineNameFormat, number), Incarnation: "1", ValidUntil: time.Now().Add(time.Hour),
	}
	for model := range modelsPerEngine {
		held := surveyor.HeldModel{Model: fmt.Sprintf("model-%03d", (number*modelsPerEngine+model)%siteModels), Version: 1}
		for adapter := range adaptersPerModel {
			held.Adapters = append(held.Adapters, fmt.Sprintf("adapter-%03d", (number*7+model*3+adapter+variant)%siteAdapters))
		}
		holdings.Holds = append(holdings.Holds, held)
	}
	return holdings
}

// entry is a surveyor that publishes to a router.
type entry struct {
	*surveyor.Surveyor
	router        *router.Router
	notifications int
}

// newEntry returns an entry that knows a fleet and its holdings.
func newEntry(t testing.TB, engines int) *entry {
	t.Helper()
	e := &entry{router: router.New(router.Settings{})}
	e.Surveyor = surveyor.New(surveyor.Settings{
		FetchPage: func(context.Context, string) (surveyor.Page, error) { return surveyor.Page{}, nil },
		Notify:    e.take,
		Log:       zap.NewNop(),
	})
	changes := surveyor.Changes{Full: true}
	for number := range engines {
		changes.Upstreams = append(changes.Upstreams, siteUpstream(number))
	}
	e.ApplyChanges(changes)
	e.UpdateHoldings(siteHoldings(engines, 0))
	return e
}

func (e *entry) take(changes []cataloger.Change) {
	e.notifications++
	e.router.Apply(changes)
}

func siteHoldings(engines, variant int) []surveyor.EngineHoldings {
	var holdings []surveyor.EngineHoldings
	for number := range engines {
		holdings = append(holdings, siteEngineHoldings(number, variant))
	}
	return holdings
}

// BenchmarkUpdateHoldings measures updates of holdings by the control group.
func BenchmarkUpdateHoldings(b *testing.B) {
	for _, engines := range []int{siteEngines, 10 * siteEngines, 7400} {
		variants := [][]surveyor.EngineHoldings{{siteEngineHoldings(1, 0)}, {siteEngineHoldings(1, 1)}}
		all := siteHoldings(engines, 0)
		cases := map[string]func(round int) []surveyor.EngineHoldings{
			"one changed":   func(round int) []surveyor.EngineHoldings { return variants[round%2] },
			"one unchanged": func(int) []surveyor.EngineHoldings { return variants[0] },
			"all unchanged": func(int) []surveyor.EngineHoldings { return all },
		}
		for name, next := range cases {
			b.Run(fmt.Sprintf("%s/upstreams-%d", name, engines), func(b *testing.B) {
				e := newEntry(b, engines)
				round := 0
				b.ReportAllocs()
				for b.Loop() {
					round++
					e.UpdateHoldings(next(round))
				}
			})
		}
	}
}

// BenchmarkApplyChanges measures an update of one restarted engine and an empty
// update.
func BenchmarkApplyChanges(b *testing.B) {
	for _, engines := range []int{siteEngines, 10 * siteEngines, 7400} {
		b.Run(fmt.Sprintf("one restarted/upstreams-%d", engines), func(b *testing.B) {
			e := newEntry(b, engines)
			round := 0
			b.ReportAllocs()
			for b.Loop() {
				round++
				upstream := siteUpstream(1)
				upstream.Incarnation = fmt.Sprint(round)
				e.ApplyChanges(surveyor.Changes{Upstreams: []surveyor.Upstream{upstream}})
			}
		})
		b.Run(fmt.Sprintf("empty/upstreams-%d", engines), func(b *testing.B) {
			e := newEntry(b, engines)
			b.ReportAllocs()
			for b.Loop() {
				e.ApplyChanges(surveyor.Changes{})
			}
		})
	}
}

// measureAllocations returns the bytes and allocations per call of step.
func measureAllocations(step func()) (bytes, allocations uint64) {
	const rounds = 100
	var before, after runtime.MemStats
	step()
	runtime.ReadMemStats(&before)
	for range rounds {
		step()
	}
	runtime.ReadMemStats(&after)
	return (after.TotalAlloc - before.TotalAlloc) / rounds, (after.Mallocs - before.Mallocs) / rounds
}

// Bounds for one change. The load estimate of a new incarnation takes half of them.
// At 100 changes a second this stays below 1 MB/s.
const (
	maxBytes       = 8 << 10
	maxAllocations = 50
)

// Each update of one engine used to make an entry describe, compare and index all
// upstreams again, which took 2 to 4 ms on a large site.
func TestCostOfOneChangeIsIndependentOfFleetSize(t *testing.T) {
	variants := [][]surveyor.EngineHoldings{{siteEngineHoldings(1, 0)}, {siteEngineHoldings(1, 1)}}
	restarted := siteUpstream(2)
	cases := map[string]func(e *entry, round int){
		"holdings of one engine": func(e *entry, round int) { e.UpdateHoldings(variants[round%2]) },
		"one engine restarted": func(e *entry, round int) {
			restarted.Incarnation = fmt.Sprint("again-", round)
			e.ApplyChanges(surveyor.Changes{Upstreams: []surveyor.Upstream{restarted}})
		},
	}
	for name, change := range cases {
		for _, engines := range []int{siteEngines, 10 * siteEngines} {
			t.Run(fmt.Sprintf("%s of %d", name, engines), func(t *testing.T) {
				e := newEntry(t, engines)
				round, before := 0, e.notifications
				bytes, allocations := measureAllocations(func() { round++; change(e, round) })
				assert.Assert(t, bytes <= maxBytes, "%d bytes", bytes)
				assert.Assert(t, allocations <= maxAllocations, "%d allocations", allocations)
				assert.Equal(t, e.notifications-before, round)
			})
		}
	}
}

func TestUnchangedInputAllocatesNothing(t *testing.T) {
	all := siteHoldings(siteEngines, 0)
	cases := map[string]func(e *entry){
		"no holdings":                      func(e *entry) { e.UpdateHoldings(nil) },
		"holdings of one engine unchanged": func(e *entry) { e.UpdateHoldings(all[:1]) },
		"all holdings unchanged":           func(e *entry) { e.UpdateHoldings(all) },
		"no changes":                       func(e *entry) { e.ApplyChanges(surveyor.Changes{}) },
		"list confirmed":                   func(e *entry) { e.ConfirmRead(time.Now()) },
	}
	for name, input := range cases {
		t.Run(name, func(t *testing.T) {
			e := newEntry(t, siteEngines)
			before := e.notifications
			_, allocations := measureAllocations(func() { input(e) })
			assert.Equal(t, e.notifications, before)
			assert.Equal(t, allocations, uint64(0))
		})
	}
}

func TestRouterFollowsUpdatedHoldings(t *testing.T) {
	e := newEntry(t, 3)
	request := router.Request{Service: "chat", Model: surveyor.HeldName("chat", "model-002", "")}
	choice, err := e.router.Choose(time.Now(), &request)
	assert.NilError(t, err)
	assert.Equal(t, choice.Upstream, "engine-0001")
}
