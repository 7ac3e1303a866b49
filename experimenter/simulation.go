package experimenter

import (
	"time"

	"burdocklink/admitter"
	"burdocklink/cataloger"
	"burdocklink/emulator"
	"burdocklink/orderer"
	"burdocklink/placer"
	"burdocklink/router"
)

// Times and costs of the fleet that are independent of the policy.
const (
	reportInterval = 500 * time.Millisecond
	reportLag      = 300 * time.Millisecond
	planInterval   = 500 * time.Millisecond
	// catalogLag is how long a catalog takes to reach the entries.
	catalogLag = 200 * time.Millisecond
	// lossDetectionLag is how long the control plane takes to detect a loss.
	lossDetectionLag = 3 * time.Second
	// dialTimeout is how long an attempt at a lost upstream takes.
	dialTimeout = 500 * time.Millisecond
	// drainTime is how long requests may run after the last arrival.
	drainTime = 10 * time.Minute
	// unloadRetryInterval is how often an engine checks whether the last request
	// for a model or adapter that it unloads has ended.
	unloadRetryInterval = 200 * time.Millisecond
	// crossZoneCost is the routing cost of another availability zone.
	crossZoneCost = time.Millisecond
)

// server is the state of an upstream of the fleet.
type server struct {
	name     string
	engine   *emulator.Engine
	lost     bool
	attempts map[uint64]*attempt
	order    *orderer.Order
}

// simulation is the state of a run.
type simulation struct {
	experiment  Case
	policy      Policy
	now         time.Time
	events      eventQueue
	catalog     *cataloger.Catalog
	servers     map[string]*server
	entries     []*entry
	calls       []*call
	unfinished  int
	lastAttempt uint64
	lastOrder   uint64
	store       store
	state       placer.State
	moves       []move
	// overcommitted is the highest overcommitment of an engine's memory, in bytes.
	overcommitted int64
}

// Run simulates a case under a policy.
func Run(c Case, policy Policy) Result {
	s := newSimulation(c, policy)
	end := epoch.Add(c.Length + drainTime)
	for s.unfinished > 0 {
		next, ok := s.events.next()
		if !ok || next.at.After(end) {
			break
		}
		s.now = next.at
		s.handle(next.event)
	}
	return s.result()
}

func newSimulation(c Case, policy Policy) *simulation {
	d := c.Deployment
	s := &simulation{experiment: c, policy: policy, now: epoch, servers: map[string]*server{}}
	s.catalog = placeInitially(d, d.newCatalog())
	s.store = store{speed: 1, limits: d.Limits, bytesPerSecond: float64(d.StoreBytesPerSecond)}
	for name, upstream := range s.catalog.Upstreams {
		s.servers[name] = s.newServer(upstream)
	}
	for i := range d.Entries {
		s.entries = append(s.entries, s.newEntry(i))
	}
	s.updateRouters()
	for i, p := range generate(c) {
		created := &call{plannedRequest: p, entry: s.entries[int(spread(uint64(i))%uint64(d.Entries))]}
		s.calls = append(s.calls, created)
		s.events.schedule(epoch.Add(p.at), arrive{call: created})
	}
	s.unfinished = len(s.calls)
	for _, disturbance := range c.Disturbances {
		s.events.schedule(epoch.Add(startOf(disturbance)), disturb{disturbance: disturbance})
	}
	s.events.schedule(epoch, sampleReports{})
	if policy == Default {
		s.events.schedule(epoch.Add(planInterval), plan{})
	}
	return s
}

func (s *simulation) newServer(upstream cataloger.Upstream) *server {
	settings := s.experiment.Deployment.Plain
	if upstream.Kind == cataloger.EngineUpstream {
		settings = s.experiment.Deployment.Engine
	}
	settings.Name = upstream.Name
	settings.Incarnation = upstream.Incarnation
	created := &server{name: upstream.Name, engine: emulator.New(settings), attempts: map[uint64]*attempt{}}
	placement := s.catalog.Placements[upstream.Name]
	for _, name := range placement.Models {
		created.engine.Put(name, s.catalog.Models[name].MemoryBytes)
	}
	for _, name := range placement.Adapters {
		created.engine.Put(name, s.catalog.Adapters[name].MemoryBytes)
	}
	return created
}

func (s *simulation) newEntry(i int) *entry {
	d := s.experiment.Deployment
	created := &entry{calls: map[*admitter.Ticket]*call{}}
	if s.policy.bypassesAdmission() {
		created.baseline = &baseline{policy: s.policy, next: map[string]int{"": i}, outstanding: map[string]int{}}
		return created
	}
	created.router = router.New(router.Settings{
		AvailabilityZone: d.zone(i), Seed: s.experiment.Seed + uint64(i), Entries: d.Entries, CrossZoneCost: crossZoneCost,
	})
	created.queue = admitter.NewQueue(created.router, s.now)
	return created
}

func (s *simulation) handle(e event) {
	switch e := e.(type) {
	case arrive:
		s.enqueue(e.call)
	case step:
		s.step(e.server)
	case pump:
		s.pumpQueue(e.entry)
	case sampleReports:
		s.sampleReports()
	case deliverReport:
		s.observeReport(e)
	case plan:
		s.plan()
	case complete:
		s.completeOrder(e.server)
	case disturb:
		s.disturb(e.disturbance)
	case detectLoss:
		s.change(cataloger.RemoveUpstream{Name: e.name})
	case deliverCatalog:
		s.updateRouters()
	case unreachable:
		s.endAttempt(e.attempt, router.OutcomeUnreachable)
	}
}

// change creates a new catalog, which reaches the entries after catalogLag.
func (s *simulation) change(change cataloger.Change) {
	s.catalog = withChanges(s.catalog, []cataloger.Change{change})
	s.events.schedule(s.now.Add(catalogLag), deliverCatalog{})
}

func (s *simulation) updateRouters() {
	for _, e := range s.entries {
		if e.queue == nil {
			continue
		}
		e.router.Update(s.catalog)
		s.pumpQueue(e)
	}
}

func (s *simulation) sampleReports() {
	for _, name := range sortedKeys(s.servers) {
		server := s.servers[name]
		if server.lost {
			continue
		}
		report := server.engine.Report(s.now, s.catalog)
		s.overcommitted = max(s.overcommitted, server.engine.Overcommit())
		s.events.schedule(s.now.Add(reportLag), deliverReport{report: report})
	}
	s.events.schedule(s.now.Add(reportInterval), sampleReports{})
}

func (s *simulation) observeReport(h deliverReport) {
	h.report.Received = s.now
	for _, e := range s.entries {
		if e.queue == nil {
			continue
		}
		e.router.Observe(h.report)
		s.pumpQueue(e)
	}
}
