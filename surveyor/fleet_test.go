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

// The grown sites have 90 to 140 engines, 160 to 170 models and 450 to 717
// adapters; an engine has room for two models and a few adapters.
const (
	grownEngines   = 140
	grownModels    = 171
	grownAdapters  = 717
	modelsOfOne    = 2
	adaptersOfOne  = 4
	grownFleetName = "engine-%04d"
)

// grownUpstream is one engine of a grown site.
func grownUpstream(number int) surveyor.Upstream {
	return surveyor.Upstream{
		Name: fmt.Sprintf(grownFleetName, number), Incarnation: "1", Service: "chat",
		Address: fmt.Sprintf("10.0.%d.%d:80", number/250, number%250), Slots: 16, State: surveyor.Live,
		AvailabilityZone: fmt.Sprintf("z%d", number%3),
	}
}

// grownTold is what one engine holds; turn varies it.
func grownTold(number, turn int) surveyor.Told {
	told := surveyor.Told{
		Upstream: fmt.Sprintf(grownFleetName, number), Incarnation: "1", Until: time.Now().Add(time.Hour),
	}
	for model := range modelsOfOne {
		held := surveyor.Held{Model: fmt.Sprintf("model-%03d", (number*modelsOfOne+model)%grownModels), Version: 1}
		for adapter := range adaptersOfOne {
			held.Adapters = append(held.Adapters, fmt.Sprintf("adapter-%03d", (number*7+model*3+adapter+turn)%grownAdapters))
		}
		told.Holds = append(told.Holds, held)
	}
	return told
}

// entry is a surveyor whose pictures go to a router.
type entry struct {
	*surveyor.Surveyor
	router   *router.Router
	pictures int
}

// newEntry returns an entry that knows a fleet and what it holds.
func newEntry(t testing.TB, engines int) *entry {
	t.Helper()
	e := &entry{router: router.New(router.Settings{})}
	e.Surveyor = surveyor.New(surveyor.Settings{
		Fetch:  func(context.Context, string) (surveyor.Page, error) { return surveyor.Page{}, nil },
		Notify: e.take,
		Log:    zap.NewNop(),
	})
	changes := surveyor.Changes{Whole: true}
	for number := range engines {
		changes.Upstreams = append(changes.Upstreams, grownUpstream(number))
	}
	e.Learn(changes)
	e.Tell(grownHoldings(engines, 0))
	return e
}

func (e *entry) take(changes []cataloger.Change) {
	e.pictures++
	e.router.Apply(changes)
}

func grownHoldings(engines, turn int) []surveyor.Told {
	var told []surveyor.Told
	for number := range engines {
		told = append(told, grownTold(number, turn))
	}
	return told
}

// BenchmarkTell gives what the control group's word on engines costs an entry.
func BenchmarkTell(b *testing.B) {
	for _, engines := range []int{grownEngines, 10 * grownEngines, 7400} {
		one := [][]surveyor.Told{{grownTold(1, 0)}, {grownTold(1, 1)}}
		all := grownHoldings(engines, 0)
		cases := map[string]func(round int) []surveyor.Told{
			"one changed": func(round int) []surveyor.Told { return one[round%2] },
			"one stands":  func(int) []surveyor.Told { return one[0] },
			"all stand":   func(int) []surveyor.Told { return all },
		}
		for name, told := range cases {
			b.Run(fmt.Sprintf("%s/upstreams-%d", name, engines), func(b *testing.B) {
				e := newEntry(b, engines)
				round := 0
				b.ReportAllocs()
				for b.Loop() {
					round++
					e.Tell(told(round))
				}
			})
		}
	}
}

// BenchmarkLearn gives what one engine that leaves, or nothing new of the
// platform's list, costs an entry.
func BenchmarkLearn(b *testing.B) {
	for _, engines := range []int{grownEngines, 10 * grownEngines, 7400} {
		b.Run(fmt.Sprintf("one restarted/upstreams-%d", engines), func(b *testing.B) {
			e := newEntry(b, engines)
			round := 0
			b.ReportAllocs()
			for b.Loop() {
				round++
				upstream := grownUpstream(1)
				upstream.Incarnation = fmt.Sprint(round)
				e.Learn(surveyor.Changes{Upstreams: []surveyor.Upstream{upstream}})
			}
		})
		b.Run(fmt.Sprintf("nothing/upstreams-%d", engines), func(b *testing.B) {
			e := newEntry(b, engines)
			b.ReportAllocs()
			for b.Loop() {
				e.Learn(surveyor.Changes{})
			}
		})
	}
}

// sizeOf returns the bytes and allocations of one step.
func sizeOf(step func()) (bytes, allocations uint64) {
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

// One change may allocate no more than this; half of it is a new incarnation's
// estimate of its load. A hundred changes a second are then under a megabyte.
const (
	mostBytes       = 8 << 10
	mostAllocations = 50
)

// Found on the grown cpf-verifica, trouble-1: each word on one engine made an
// entry describe, compare and index all upstreams anew, 2 to 4 ms each time.
func TestOneChangeCostsNoMoreInALargeFleet(t *testing.T) {
	turns := [][]surveyor.Told{{grownTold(1, 0)}, {grownTold(1, 1)}}
	restarted := grownUpstream(2)
	cases := map[string]func(e *entry, turn int){
		"holdings of one engine": func(e *entry, turn int) { e.Tell(turns[turn%2]) },
		"one engine restarted": func(e *entry, turn int) {
			restarted.Incarnation = fmt.Sprint("again-", turn)
			e.Learn(surveyor.Changes{Upstreams: []surveyor.Upstream{restarted}})
		},
	}
	for name, change := range cases {
		for _, engines := range []int{grownEngines, 10 * grownEngines} {
			t.Run(fmt.Sprintf("%s of %d", name, engines), func(t *testing.T) {
				e := newEntry(t, engines)
				turn, pictures := 0, e.pictures
				bytes, allocations := sizeOf(func() { turn++; change(e, turn) })
				assert.Assert(t, bytes <= mostBytes, "%d bytes", bytes)
				assert.Assert(t, allocations <= mostAllocations, "%d allocations", allocations)
				assert.Equal(t, e.pictures-pictures, turn)
			})
		}
	}
}

func TestWhatIsNoNewsCostsNothing(t *testing.T) {
	all := grownHoldings(grownEngines, 0)
	cases := map[string]func(e *entry){
		"nothing told":                func(e *entry) { e.Tell(nil) },
		"one engine's holdings stand": func(e *entry) { e.Tell(all[:1]) },
		"all holdings stand":          func(e *entry) { e.Tell(all) },
		"nothing learned":             func(e *entry) { e.Learn(surveyor.Changes{}) },
		"the list was read again":     func(e *entry) { e.Confirm(time.Now()) },
	}
	for name, tell := range cases {
		t.Run(name, func(t *testing.T) {
			e := newEntry(t, grownEngines)
			pictures := e.pictures
			_, allocations := sizeOf(func() { tell(e) })
			assert.Equal(t, e.pictures, pictures)
			assert.Equal(t, allocations, uint64(0))
		})
	}
}

func TestAnEntryRoutesByWhatItIsTold(t *testing.T) {
	e := newEntry(t, 3)
	request := router.Request{Service: "chat", Model: surveyor.HeldName("chat", "model-002", "")}
	choice, err := e.router.Choose(time.Now(), &request)
	assert.NilError(t, err)
	assert.Equal(t, choice.Upstream, "engine-0001")
}
