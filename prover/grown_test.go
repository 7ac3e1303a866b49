package prover_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"burdocklink/cataloger"
	"burdocklink/chooser"
	"burdocklink/follower"
	"burdocklink/linker"
	"burdocklink/placer"
	"burdocklink/router"
	"burdocklink/seeker"
	"burdocklink/surveyor"
)

// Size and load of a large site.
const (
	largeSiteEngines = 140
	largeSiteEntries = 67
	// Each busy model has several copies and adapters, each rare model one or two
	// copies and no adapters.
	busyModels       = 18
	rareModels       = 122
	adaptersPerModel = 24
	adapterSlots     = 8
	// maxLeaderCPU is the share of a core that a control VM has on such a site.
	maxLeaderCPU = 0.12
	// requestsPerSecond is the rate of adapter requests of all entries together.
	requestsPerSecond = 142
	// adapterWait is how long a request waits for its adapter.
	adapterWait = 2 * time.Second
	// loadDuration is how long adapters are requested.
	loadDuration = 12 * time.Second
)

// largeSiteEngine is a stand-in for a model engine that holds adapters by model.
type largeSiteEngine struct {
	id      string
	address string

	mutex    sync.Mutex
	models   map[string]map[string]bool
	sequence int
}

func (e *largeSiteEngine) describe() map[string]any {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	models := []map[string]any{}
	for name, adapters := range e.models {
		held := []string{}
		for adapter := range adapters {
			held = append(held, adapter)
		}
		models = append(models, map[string]any{"name": name, "version": 1, "adapters": held})
	}
	return map[string]any{
		"id": e.id, "service": "engines", "address": e.address, "zone": "z1", "version": "v1", "slots": 12,
		"state": "ready", "coldRemainingMs": 0, "born": 7, "models": models,
		"sequence": e.sequence, "busy": false, "queued": 0, "running": 0,
		"cachedModels": map[string]any{"inMemory": []string{}, "onDisk": []string{}},
	}
}

func (e *largeSiteEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if r.URL.Path != "/api/order" {
		_ = json.NewEncoder(w).Encode(e.describe())
		return
	}
	var order struct {
		Operation, Model, Adapter string
		Expect                    int
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if json.Unmarshal(body, &order) != nil || order.Expect != e.sequence || order.Adapter == "" {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.sequence++
	if order.Operation == "unload" {
		delete(e.models[order.Model], order.Adapter)
		return
	}
	e.models[order.Model][order.Adapter] = true
	w.WriteHeader(http.StatusAccepted)
}

// largeSite is a site of many engines with real control members and simulated
// entries.
type largeSite struct {
	*platformSite
	engines []*largeSiteEngine
	entries []*simulatedEntry
	// requested and served count requests by adapter.
	mutex     sync.Mutex
	requested map[string]int
	served    map[string]int
}

// simulatedEntry follows the leader, reports its demand and wants adapters from
// the leader like a real entry, but serves no callers.
type simulatedEntry struct {
	site     *largeSite
	number   int
	follower *follower.Follower
	seeker   *seeker.Seeker
	holdings atomic.Int64
	counts   sync.Map
	since    time.Time
}

func newLargeSite(t *testing.T) *largeSite {
	t.Helper()
	// a control VM has one core
	t.Setenv("GOMAXPROCS", "1")
	s := &largeSite{
		platformSite: &platformSite{t: t, root: t.TempDir(), nodes: map[string]*process{}, hosts: map[string]string{}},
		requested:    map[string]int{}, served: map[string]int{},
	}
	s.port = 20_000 + os.Getpid()%1000*portsPerVM
	for i := range largeSiteEngines {
		engine := &largeSiteEngine{id: "engine-" + strconv.Itoa(i), models: map[string]map[string]bool{
			busyModel(i): {}, rareModel(i): {},
		}}
		engine.address = s.listen(engine)
		s.engines = append(s.engines, engine)
	}
	s.listingAddress = s.listen(http.HandlerFunc(s.serveLargeListing))
	for i := range 3 {
		s.startNode("control", "core-"+strconv.Itoa(i+1), s.coreHost(i), true)
	}
	eventually(t, "a configuration is acknowledged", s.configurationAccepted)
	for i := range largeSiteEntries {
		s.entries = append(s.entries, s.newEntry(i))
	}
	return s
}

func busyModel(i int) string { return "busy-" + strconv.Itoa(i%busyModels) }
func rareModel(i int) string { return "rare-" + strconv.Itoa(i%rareModels) }

func (s *largeSite) serveLargeListing(w http.ResponseWriter, _ *http.Request) {
	lines := []any{}
	for _, engine := range s.engines {
		lines = append(lines, engine.describe())
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": lines, "nextToken": nil})
}

func (s *largeSite) configurationAccepted() bool {
	models := []map[string]any{}
	for i := range busyModels {
		models = append(models, map[string]any{"name": busyModel(i), "weightsMb": 70, "loadTimeS": 1, "adapters": adaptersPerModel, "adapterMb": 1})
	}
	for i := range rareModels {
		models = append(models, map[string]any{"name": rareModel(i), "weightsMb": 70, "loadTimeS": 1})
	}
	text, err := json.Marshal(map[string]any{
		"version": 1,
		"routes":  []any{map[string]any{"name": "draft", "host": "a.example", "pathPrefix": "/", "kind": "streaming", "timeoutMs": 8000, "service": "engines", "maxAttempts": 1}},
		"services": []any{map[string]any{"name": "engines", "engine": map[string]any{
			"slots": 12, "kvCapacity": 47431, "stride": 5, "weightsMb": 200, "adapterSlots": adapterSlots, "loadsPerS": 20, "models": models,
		}}},
		"limits": map[string]any{"maxBodyBytes": 1000},
	})
	assert.NilError(s.t, err)
	response, err := http.Post("http://"+s.address(s.coreHost(0), controlOffset)+"/api/Config.Put", "application/json", strings.NewReader(string(text)))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (s *largeSite) newEntry(number int) *simulatedEntry {
	s.t.Helper()
	e := &simulatedEntry{site: s, number: number, since: time.Now()}
	links := linker.New(nil, linker.NewMeter(metrics.NewRegistry()))
	s.t.Cleanup(links.Close)
	control := []string{}
	for i := range 3 {
		control = append(control, s.address(s.coreHost(i), rangeOffset))
	}
	e.follower = follower.New(follower.Settings{
		Entry: "front-" + strconv.Itoa(number), Incarnation: strconv.Itoa(number), AvailabilityZone: "z1",
		Control: control, Links: links, OnCatalog: func(*cataloger.Catalog) {}, Demand: e.demand, Loads: e.loads,
		PeerAddress: fmt.Sprintf("127.0.0.1:%d", 1+number), OnHoldings: e.receive,
		ReportInterval: 250 * time.Millisecond, DemandInterval: 500 * time.Millisecond, Log: zap.NewNop(),
	})
	e.seeker = seeker.New(seeker.Settings{Links: links, Leader: e.follower.Leader, UpdateHoldings: e.receive, Log: zap.NewNop()})
	assert.NilError(s.t, e.follower.Start(context.Background(), nil))
	s.t.Cleanup(func() { assert.NilError(s.t, e.follower.Stop(time.Now().Add(testTimeout))) })
	return e
}

func (e *simulatedEntry) receive(held []surveyor.EngineHoldings) { e.holdings.Add(int64(len(held))) }

// loads returns twelve requests in flight, spread over the engines.
func (e *simulatedEntry) loads() []router.Load {
	var loads []router.Load
	for i := range 12 {
		engine := e.site.engines[(e.number*12+i)%largeSiteEngines]
		load := router.Load{Upstream: engine.id, Incarnation: engine.id + "@7", Models: map[string]int{"engines/busy-0": 1}}
		load.Requests, load.KVCacheTokens = 1, 1500
		loads = append(loads, load)
	}
	return loads
}

func (e *simulatedEntry) demand() placer.Demand {
	counts := map[string]map[string]placer.Count{}
	e.counts.Range(func(name, count any) bool {
		counts[name.(string)] = map[string]placer.Count{"draft": {Arrivals: count.(uint64)}}
		return true
	})
	return placer.Demand{Since: e.since, Counts: counts}
}

// requestAdapter wants an adapter from the leader as a waiting request does, and
// counts whether it became available in time.
func (e *simulatedEntry) requestAdapter(model, adapter string) {
	name := e.seeker.Name("engines", model, adapter)
	count, _ := e.counts.LoadOrStore(name, uint64(0))
	e.counts.Store(name, count.(uint64)+1)
	err := e.seeker.Want(context.Background(), chooser.Requirement{
		Service: "engines", Model: model, Adapter: adapter, Deadline: time.Now().Add(adapterWait),
	})
	e.site.mutex.Lock()
	defer e.site.mutex.Unlock()
	e.site.requested[name]++
	if err == nil {
		e.site.served[name]++
	}
}

// run requests adapters at this entry's share of the site's rate.
func (e *simulatedEntry) run(until time.Time, ended *sync.WaitGroup) {
	defer ended.Done()
	draw := rand.New(rand.NewPCG(15, uint64(e.number)))
	pause := time.Second * largeSiteEntries / requestsPerSecond
	for next := time.Now().Add(time.Duration(draw.Float64() * float64(pause))); next.Before(until); next = next.Add(pause) {
		time.Sleep(time.Until(next))
		ended.Add(1)
		go e.runRequest(busyModel(draw.IntN(busyModels)), "a"+strconv.Itoa(draw.IntN(adaptersPerModel)), ended)
	}
}

func (e *simulatedEntry) runRequest(model, adapter string, ended *sync.WaitGroup) {
	defer ended.Done()
	e.requestAdapter(model, adapter)
}

// leaderCPUTime returns the CPU time of the control member that used the most.
func (s *largeSite) leaderCPUTime() time.Duration {
	var most time.Duration
	for i := range 3 {
		p := s.nodes["core-"+strconv.Itoa(i+1)]
		most = max(most, cpuTime(s.t, p.command.Process.Pid))
	}
	return most
}

// cpuTime returns the CPU time that a process has used.
func cpuTime(t *testing.T, pid int) time.Duration {
	t.Helper()
	const ticksPerSecond = 100
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	assert.NilError(t, err)
	// the fields after the command, which ends with the last parenthesis
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	user, err := strconv.Atoi(fields[11])
	assert.NilError(t, err)
	system, err := strconv.Atoi(fields[12])
	assert.NilError(t, err)
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

func TestAdaptersStarveOnAGrownSiteWithASmallLeader(t *testing.T) {
	s := newLargeSite(t)
	eventually(t, "the first entry has received the holdings of all engines", func() bool { return s.entries[0].holdings.Load() >= largeSiteEngines })
	probe := startCPUProbe()
	before, began := s.leaderCPUTime(), time.Now()
	var ended sync.WaitGroup
	for _, entry := range s.entries {
		ended.Add(1)
		go entry.run(began.Add(loadDuration), &ended)
	}
	ended.Wait()
	used := (s.leaderCPUTime() - before).Seconds() / time.Since(began).Seconds()
	slowdown := probe.end()
	used /= slowdown

	unserved := 0
	asks, served := 0, 0
	for name, count := range s.requested {
		asks, served = asks+count, served+s.served[name]
		if s.served[name] == 0 {
			unserved++
		}
	}
	t.Logf("%d adapters asked for, %d never served; %d of %d requests served; leader %.3f of a core, corrected by %.2f for other work",
		len(s.requested), unserved, served, asks, used, slowdown)
	assert.Assert(t, unserved <= 1+len(s.requested)/10, "%d of %d adapters never served", unserved, len(s.requested))
	assert.Assert(t, used <= maxLeaderCPU, "the leader used %.3f of a core, of %.2f", used, maxLeaderCPU)
}
