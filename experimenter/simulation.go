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

// Times of the fleet around the policy.
const (
	reportEvery = 500 * time.Millisecond
	reportLag   = 300 * time.Millisecond
	planEvery   = 500 * time.Millisecond
	// learnLag is how long a catalog takes to the entries.
	learnLag = 200 * time.Millisecond
	// noticeLag is how long a loss stays unnoticed by the control plane.
	noticeLag = 3 * time.Second
	// dialTimeout is what an attempt at a lost upstream takes.
	dialTimeout = 500 * time.Millisecond
	// drainTime is how long requests may run on after the last arrival.
	drainTime = 10 * time.Minute
	// unloadRetry is how often an engine looks whether the last request for
	// what it unloads has ended.
	unloadRetry = 200 * time.Millisecond
	// crossZone is the price of another availability zone.
	crossZone = time.Millisecond
)

// server is one upstream of the fleet.
type server struct {
	name     string
	engine   *emulator.Engine
	lost     bool
	attempts map[uint64]*attempt
	order    *orderer.Order
}

// simulation is one run. It is a single event loop over virtual time.
type simulation struct {
	c       Case
	policy  Policy
	now     time.Time
	agenda  agenda
	catalog *cataloger.Catalog
	servers map[string]*server
	entries []*entry
	calls   []*call
	open    int
	ids     uint64
	orders  uint64
	store   store
	state   placer.State
	moves   []move
	// overcommitted is the most bytes any engine was over its memory.
	overcommitted int64
}

// Run runs a case under a policy.
func Run(c Case, policy Policy) Result {
	s := newSimulation(c, policy)
	end := epoch.Add(c.Length + drainTime)
	for s.open > 0 {
		next, ok := s.agenda.next()
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
	s := &simulation{c: c, policy: policy, now: epoch, servers: map[string]*server{}}
	s.catalog = initial(d, d.catalog())
	s.store = store{speed: 1, limits: d.Limits, bytesPerSecond: float64(d.StoreBytesPerSecond)}
	for name, upstream := range s.catalog.Upstreams {
		s.servers[name] = s.newServer(upstream)
	}
	for i := range d.Entries {
		s.entries = append(s.entries, s.newEntry(i))
	}
	s.learn()
	for i, p := range generate(c) {
		made := &call{planned: p, entry: s.entries[int(mixed(uint64(i))%uint64(d.Entries))]}
		s.calls = append(s.calls, made)
		s.agenda.add(epoch.Add(p.at), arrive{call: made})
	}
	s.open = len(s.calls)
	for _, trouble := range c.Trouble {
		s.agenda.add(epoch.Add(starts(trouble)), happen{trouble: trouble})
	}
	s.agenda.add(epoch, sample{})
	if policy == Default {
		s.agenda.add(epoch.Add(planEvery), plan{})
	}
	return s
}

func (s *simulation) newServer(upstream cataloger.Upstream) *server {
	settings := s.c.Deployment.Plain
	if upstream.Kind == cataloger.EngineUpstream {
		settings = s.c.Deployment.Engine
	}
	settings.Name = upstream.Name
	settings.Incarnation = upstream.Incarnation
	made := &server{name: upstream.Name, engine: emulator.New(settings), attempts: map[uint64]*attempt{}}
	placement := s.catalog.Placements[upstream.Name]
	for _, name := range placement.Models {
		made.engine.Put(name, s.catalog.Models[name].MemoryBytes)
	}
	for _, name := range placement.Adapters {
		made.engine.Put(name, s.catalog.Adapters[name].MemoryBytes)
	}
	return made
}

func (s *simulation) newEntry(i int) *entry {
	d := s.c.Deployment
	made := &entry{calls: map[*admitter.Ticket]*call{}}
	if s.policy.naive() {
		made.naive = &naive{policy: s.policy, next: map[string]int{"": i}, outstanding: map[string]int{}}
		return made
	}
	made.router = router.New(router.Settings{
		AvailabilityZone: d.zone(i), Seed: s.c.Seed + uint64(i), Entries: d.Entries, CrossZoneCost: crossZone,
	})
	made.queue = admitter.NewQueue(made.router, s.now)
	return made
}

func (s *simulation) handle(e event) {
	switch e := e.(type) {
	case arrive:
		s.admit(e.call)
	case step:
		s.step(e.server)
	case wake:
		s.wake(e.entry)
	case sample:
		s.sample()
	case hear:
		s.hear(e)
	case plan:
		s.plan()
	case complete:
		s.complete(e.server)
	case happen:
		s.happen(e.trouble)
	case notice:
		s.change(cataloger.RemoveUpstream{Name: e.name})
	case learn:
		s.learn()
	case unreachable:
		s.end(e.attempt, router.OutcomeUnreachable)
	}
}

// change makes a new catalog, which the entries learn of a little later.
func (s *simulation) change(change cataloger.Change) {
	s.catalog = with(s.catalog, []cataloger.Change{change})
	s.agenda.add(s.now.Add(learnLag), learn{})
}

func (s *simulation) learn() {
	for _, e := range s.entries {
		if e.queue == nil {
			continue
		}
		e.router.Update(s.catalog)
		s.wake(e)
	}
}

func (s *simulation) sample() {
	for _, name := range names(s.servers) {
		server := s.servers[name]
		if server.lost {
			continue
		}
		report := server.engine.Report(s.now, s.catalog)
		s.overcommitted = max(s.overcommitted, server.engine.Overcommit())
		s.agenda.add(s.now.Add(reportLag), hear{report: report})
	}
	s.agenda.add(s.now.Add(reportEvery), sample{})
}

func (s *simulation) hear(h hear) {
	h.report.Received = s.now
	for _, e := range s.entries {
		if e.queue == nil {
			continue
		}
		e.router.Observe(h.report)
		s.wake(e)
	}
}
