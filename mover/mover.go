package mover

import (
	"context"
	"reflect"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"burdocklink/applier"
	"burdocklink/cataloger"
	"burdocklink/conductor"
	"burdocklink/historian"
	"burdocklink/matcher"
	"burdocklink/placer"
	"burdocklink/registrar"
	"burdocklink/router"
	"burdocklink/surveyor"
)

// Name is the service's name in the kernel.
const Name = "mover"

// Group is the control member that the mover runs on.
type Group interface {
	Propose(ctx context.Context, command applier.Command) (applier.Applied, error)
	Read(ctx context.Context, read func(*applier.State)) error
	Status() conductor.Status
}

// Limits are the rate limits of engines. The requests of all VMs are scheduled
// within them.
type Limits interface {
	// ObserveAnswer applies the rate limit, or its absence, from the answer to a
	// request sent at sentAt.
	ObserveAnswer(now, sentAt time.Time, upstream, incarnation string, limit router.RateLimit)
	// Charge counts a request of this member to an engine and returns its rate
	// limit.
	Charge(now time.Time, upstream, incarnation string) router.RateLimit
	// Limit returns the rate limit of an engine.
	Limit(upstream, incarnation string) router.RateLimit
}

// Settings configure a mover.
type Settings struct {
	// Holder names this VM in orders, as the holder of the fence.
	Holder string
	Group  Group
	// Fetch reads a page of the platform's list; the empty page is the first.
	Fetch   func(ctx context.Context, page string) (surveyor.Page, error)
	Engines Engines
	// Unpack decodes a stored configuration.
	Unpack func(content []byte) (*matcher.Configuration, error)
	// OnConfiguration is called with each configuration that this member reads while it
	// leads; nil for none.
	OnConfiguration func(*matcher.Configuration)
	// TakeDemand returns the requests that entries counted since the last
	// call, by held name and class. Loads returns their in-flight requests by
	// upstream.
	TakeDemand func() map[string]map[string]placer.Count
	Loads      func() map[string]router.Load
	// PropagationTime returns how long announcing a change to the entries may
	// take, without the network; nil for none.
	PropagationTime func() time.Duration
	// Listed receives the list as read, for followers of this member.
	Listed *surveyor.ListFeed
	// Streams receives the software versions in the list; nil for none.
	Streams *historian.Archive
	// Limits are the rate limits of engines; nil for none.
	Limits Limits
	// Lease is the minimum time between the orders of two leaders.
	Lease time.Duration
	// StoreWindow and StoreOverage bound the loads from the weight store.
	StoreWindow  time.Duration
	StoreOverage float64
	// Metrics receives the leader's counters and histograms; nil for none.
	Metrics metrics.Registry
	Log     *zap.Logger
}

const (
	// roundInterval is the time between two rounds of the loop.
	roundInterval = 100 * time.Millisecond
	// listInterval is the time between two reads of the platform's list. A
	// leaving upstream must get no more requests within three seconds.
	listInterval = 600 * time.Millisecond
	// demandInterval is the time between two reads of demand.
	demandInterval = 500 * time.Millisecond
	// loadsInterval is the time between two sums of in-flight requests, which
	// entries report as often.
	loadsInterval = 250 * time.Millisecond
	callTimeout   = time.Second
	// leaseMargin is added to the wait of a new leader, since clocks may run at
	// different rates.
	leaseMargin = 200 * time.Millisecond
	// wantLifetime is how long a model counts as wanted after a request for it,
	// and maxWantGap the longest time between two requests of the same wait.
	wantLifetime = 2 * time.Second
	maxWantGap   = 15 * time.Second
	// eventQueueSize is how many events may wait for the loop.
	eventQueueSize = 256
)

// Mover is the service.
type Mover struct {
	settings Settings
	ctx      context.Context
	cancel   context.CancelFunc
	stopped  chan struct{}
	events   chan event
	calls    sync.WaitGroup
	// announced holds what is announced to the entries about engines.
	announced *surveyor.Changelog[surveyor.EngineHoldings]

	// The fields below belong to run.
	leadership    leadership
	configuration *matcher.Configuration
	engines       map[string]*engine
	meter         *meter
	demandAt      time.Time
	// planAt is when the next plan may be made.
	planAt time.Time
	// reviewAt is when the next plan is logged.
	reviewAt     time.Time
	listAt       time.Time
	listInFlight bool
	// releasesInFlight is set while a change of the releases is proposed.
	releasesInFlight bool
	// waitingModels are models that entries requested and no engine holds.
	waitingModels map[awaitedModel]waitPeriod
	// waitingAdapters are models whose holders had no room for an adapter that
	// an entry waited for.
	waitingAdapters map[string]waitPeriod
	waiters         []waiter
	// storeLoads are the times of loads from the weight store.
	storeLoads []time.Time
	// storeFrom is when loads that the previous leader may have begun no longer
	// count.
	storeFrom time.Time
	// loads are the in-flight requests of all entries by upstream, as of
	// loadsAt.
	loads   map[string]router.Load
	loadsAt time.Time
	tally   tally
}

// leadership is the state of one term as leader.
type leadership struct {
	// term is zero while another member leads.
	term uint64
	// orderFrom is when orders may be given.
	orderFrom time.Time
	// suspended is set while the lease of the term has lapsed.
	suspended bool
	// fenced is set once an engine has seen the order of a later leader.
	fenced bool
}

// waitPeriod is the time of the first and last request of a wait.
type waitPeriod struct{ since, last time.Time }

// waiter is an entry that waits for an adapter.
type waiter struct {
	want     Want
	answer   chan WantResult
	deadline time.Time
}

// New returns a mover that has not started.
func New(settings Settings) *Mover {
	ctx, cancel := context.WithCancel(context.Background())
	if settings.Limits == nil {
		settings.Limits = noLimits{}
	}
	if settings.Metrics == nil {
		settings.Metrics = metrics.NewRegistry()
	}
	m := &Mover{
		settings:  settings,
		ctx:       ctx,
		cancel:    cancel,
		stopped:   make(chan struct{}),
		events:    make(chan event, eventQueueSize),
		announced: surveyor.NewChangelog(func(a, b surveyor.EngineHoldings) bool { return reflect.DeepEqual(a, b) }),
	}
	m.reset()
	return m
}

// String returns the service name.
func (m *Mover) String() string { return Name }

// Start starts the loop.
func (m *Mover) Start(context.Context, *registrar.Registrar) error {
	go m.run()
	return nil
}

// Stop stops the loop. An order in flight may still be carried out.
func (m *Mover) Stop(deadline time.Time) error {
	m.cancel()
	select {
	case <-m.stopped:
		return nil
	case <-time.After(time.Until(deadline)):
		return &LateStopError{}
	}
}

// LateStopError reports that the mover did not stop before the deadline.
type LateStopError struct{}

// Error describes the failure.
func (e *LateStopError) Error() string { return "mover did not stop in time" }

// Held returns the announcements after a serial number, and the latest serial
// number.
func (m *Mover) Held(after uint64) ([]surveyor.EngineHoldings, uint64) {
	engines, newest, _ := m.announced.After(after)
	return engines, newest
}

// Changed returns a channel that is closed at the next announcement.
func (m *Mover) Changed() <-chan struct{} { return m.announced.Changed() }

// Want returns the engines that hold a model or adapter, or when one is
// expected to. It waits for an adapter being loaded.
func (m *Mover) Want(ctx context.Context, want Want) WantResult {
	call := wantReceived{want: want, answer: make(chan WantResult, 1)}
	select {
	case m.events <- call:
	case <-ctx.Done():
		return WantResult{}
	case <-m.stopped:
		return WantResult{}
	}
	select {
	case result := <-call.answer:
		return result
	case <-ctx.Done():
		return WantResult{}
	case <-m.stopped:
		return WantResult{}
	}
}

func (m *Mover) run() {
	defer close(m.stopped)
	defer m.calls.Wait()
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case ev := <-m.events:
			m.handle(ev, time.Now())
		case <-ticker.C:
			m.round(time.Now())
		}
	}
}

// reset clears all state, as when another member leads.
func (m *Mover) reset() {
	m.dismissWaiters()
	m.engines = map[string]*engine{}
	m.meter = newMeter()
	m.waitingModels, m.waitingAdapters = map[awaitedModel]waitPeriod{}, map[string]waitPeriod{}
	m.listAt, m.demandAt, m.loadsAt = time.Time{}, time.Time{}, time.Time{}
	m.listInFlight = false
	m.announced.Clear()
	m.settings.Listed.Reset()
}

// round performs the actions that are due.
func (m *Mover) round(now time.Time) {
	if !m.leading(now) {
		return
	}
	m.readConfiguration()
	if m.configuration == nil {
		return
	}
	m.logTally(now)
	m.requestList(now)
	m.requestReports(now)
	m.readDemand(now)
	m.readLoads(now)
	m.expireWaiters(now)
	m.loadAdapters(now)
	m.plan(now)
}

// leading reports whether this member leads, and applies changes of leadership.
func (m *Mover) leading(now time.Time) bool {
	status := m.settings.Group.Status()
	switch {
	case m.leadership.term != 0 && !status.Leading && status.Term != m.leadership.term:
		m.settings.Log.Info("gives no more orders", zap.Uint64("term", m.leadership.term))
		m.leadership = leadership{}
		m.reset()
	case m.leadership.term != 0 && status.Leading == m.leadership.suspended && status.Term == m.leadership.term:
		m.suspend(!status.Leading)
	case status.Leading && status.Term != m.leadership.term:
		m.reset()
		m.leadership = leadership{term: status.Term, orderFrom: now.Add(m.settings.Lease + leaseMargin)}
		m.storeFrom = now.Add(m.settings.StoreWindow)
		if status.Term == firstTerm {
			// no earlier leader can have given orders in a new group
			m.leadership.orderFrom, m.storeFrom = now, now
		}
		m.settings.Log.Info("will give orders", zap.Uint64("fence", status.Term),
			zap.Time("from", m.leadership.orderFrom))
	}
	return status.Leading
}

// suspend stops orders while the lease has lapsed. If it is regained in the
// same term, no other member has led: the state stays valid and orders need not
// wait.
func (m *Mover) suspend(suspended bool) {
	m.leadership.suspended = suspended
	m.settings.Log.Info("orders suspended", zap.Bool("suspended", suspended), zap.Uint64("term", m.leadership.term))
	if suspended {
		m.dismissWaiters()
	}
}

// dismissWaiters answers all entries that wait for an adapter.
func (m *Mover) dismissWaiters() {
	m.tally.dismissed += len(m.waiters)
	for _, w := range m.waiters {
		w.answer <- WantResult{}
	}
	m.waiters = nil
}

// firstTerm is the first term with a leader: the group is founded in the one
// before.
const firstTerm = 2

// canOrder reports whether this member may give orders now.
func (m *Mover) canOrder(now time.Time) bool {
	return m.leadership.term != 0 && !m.leadership.suspended && !m.leadership.fenced && !now.Before(m.leadership.orderFrom)
}

// readConfiguration loads the stored configuration.
func (m *Mover) readConfiguration() {
	var stored cataloger.Configuration
	err := m.settings.Group.Read(m.ctx, func(state *applier.State) { stored = state.Catalog().Configuration })
	if err != nil || stored.Version == 0 {
		return
	}
	if m.configuration != nil && m.configuration.Version == stored.Version {
		return
	}
	configuration, err := m.settings.Unpack(stored.Content)
	if err != nil {
		m.settings.Log.Error("configuration can't be used", zap.Uint64("version", stored.Version), zap.Error(err))
		return
	}
	m.configuration = configuration
	if m.settings.OnConfiguration != nil {
		m.settings.OnConfiguration(configuration)
	}
}

// engineSpec returns the properties of a service's engines; nil for a plain
// service.
func (m *Mover) engineSpec(service string) *matcher.Engine {
	return m.configuration.Services[service].Engine
}

func (m *Mover) readDemand(now time.Time) {
	if now.Before(m.demandAt) {
		return
	}
	m.demandAt = now.Add(demandInterval)
	m.meter.slots = map[string]int{}
	for name, service := range m.configuration.Services {
		if service.Engine != nil {
			m.meter.slots[name] = service.Engine.Slots
		}
	}
	m.meter.concurrency = meanConcurrency(m.loads)
	m.meter.observe(now, m.settings.TakeDemand())
}

// meanConcurrency returns how many requests are in flight at the engine of a mean
// request for each model, by the model's held name.
func meanConcurrency(loads map[string]router.Load) map[string]float64 {
	requests, total := map[string]float64{}, map[string]float64{}
	for _, load := range loads {
		for model, count := range load.Models {
			requests[model] += float64(count)
			total[model] += float64(count) * float64(load.Requests)
		}
	}
	for model, count := range requests {
		total[model] /= max(1, count)
	}
	return total
}

// readLoads sums the in-flight requests of the entries.
func (m *Mover) readLoads(now time.Time) {
	if now.Sub(m.loadsAt) < loadsInterval {
		return
	}
	m.loadsAt = now
	m.loads = m.settings.Loads()
}

// publish announces what an engine holds to the entries.
func (m *Mover) publish(name string) {
	if e := m.engines[name]; e != nil && e.reported {
		m.announced.Set(name, e.announcement())
	}
}
