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
	Read(ctx context.Context, read func(*applier.State)) error
	Status() conductor.Status
}

// Limits are the limits of requests that engines name, under which the requests of
// all VMs are scheduled.
type Limits interface {
	// ObserveAnswer takes in the limit that an answer to a request sent at a time names,
	// or that it names none.
	ObserveAnswer(now, sentAt time.Time, upstream, incarnation string, limit router.RateLimit)
	// Charge counts a request of this member to an engine and returns its limit.
	Charge(now time.Time, upstream, incarnation string) router.RateLimit
	// Limit returns the limit of an engine.
	Limit(upstream, incarnation string) router.RateLimit
}

// Settings are what a mover needs.
type Settings struct {
	// Holder names this VM in orders.
	Holder string
	Group  Group
	// Fetch reads a page of the platform's list; empty names the first one.
	Fetch   func(ctx context.Context, page string) (surveyor.Page, error)
	Engines Engines
	// Unpack reads a stored configuration.
	Unpack func(content []byte) (*matcher.Configuration, error)
	// Fresh returns what entries were asked for since the call before, by the
	// router's name and by class. Loads returns what they have in flight by
	// upstream.
	Fresh func() map[string]map[string]placer.Count
	Loads func() map[string]router.Load
	// TellTime is the time in which entries hear of a change beside the way
	// there; nil for none.
	TellTime func() time.Duration
	// Listed takes in the list as read, for those who follow this member.
	Listed *surveyor.ListFeed
	// Limits are the limits of requests that engines name; nil for none.
	Limits Limits
	// Lease is the shortest time between orders of two holders.
	Lease time.Duration
	// StoreWindow and StoreOverage bound the loads from the weight store.
	StoreWindow  time.Duration
	StoreOverage float64
	// Metrics takes the leader's counters and histograms; nil for none.
	Metrics metrics.Registry
	Log     *zap.Logger
}

const (
	// tick is the time between two looks at what is due.
	tick = 100 * time.Millisecond
	// listEvery is the time between two readings of the platform's list. A
	// leaving upstream must get no more work within three seconds.
	listEvery = 600 * time.Millisecond
	// demandEvery is the time between two readings of demand.
	demandEvery = 500 * time.Millisecond
	// loadsEvery is the time between two sums of what entries have in flight,
	// which they tell as often.
	loadsEvery = 250 * time.Millisecond
	// callTime is the longest that a call may take.
	callTime = time.Second
	// leaseMargin is added to the wait of a new leader: two clocks may differ in
	// pace.
	leaseMargin = 200 * time.Millisecond
	// wantTime is how long a model counts as wanted after it was asked for, and
	// wantGap the longest time between two questions about the same want.
	wantTime = 2 * time.Second
	wantGap  = 15 * time.Second
	// eventQueue is how many events may wait for the loop.
	eventQueue = 256
)

// Mover is the service.
type Mover struct {
	settings Settings
	ctx      context.Context
	cancel   context.CancelFunc
	ended    chan struct{}
	events   chan event
	calls    sync.WaitGroup
	// told is what entries are told that engines hold.
	told *surveyor.Changelog[surveyor.EngineHoldings]

	// what follows belongs to run.
	lead          lead
	configuration *matcher.Configuration
	engines       map[string]*engine
	meter         *meter
	demandAt      time.Time
	// planAt is when the next plan may be made.
	planAt  time.Time
	listAt  time.Time
	listing bool
	// wanted are the models that entries asked for in vain, by the router's name.
	wanted map[string]wanted
	// crowded are those whose holders had no room for an adapter that an entry
	// waited for.
	crowded map[string]wanted
	waiters []waiter
	// storeLoads are the times of loads from the weight store.
	storeLoads []time.Time
	// storeFrom is when the loads that the leader before may have begun no longer
	// count.
	storeFrom time.Time
	// loads are what all entries have in flight by upstream, as of loadsAt.
	loads   map[string]router.Load
	loadsAt time.Time
	tally   tally
}

// lead is one time of leading.
type lead struct {
	// term is zero while another member leads.
	term uint64
	// ordersFrom is when orders may be given.
	ordersFrom time.Time
	// suspended is true while the lease of this lead has lapsed.
	suspended bool
	// fenced is true once an engine has seen a later holder.
	fenced bool
}

// wanted is a model that entries asked for in vain from one time to another.
type wanted struct{ since, last time.Time }

// waiter is an entry that waits for an adapter.
type waiter struct {
	want   Want
	answer chan Wanted
	until  time.Time
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
		settings: settings,
		ctx:      ctx,
		cancel:   cancel,
		ended:    make(chan struct{}),
		events:   make(chan event, eventQueue),
		told:     surveyor.NewChangelog(func(a, b surveyor.EngineHoldings) bool { return reflect.DeepEqual(a, b) }),
	}
	m.reset()
	return m
}

// String names the service.
func (m *Mover) String() string { return Name }

// Start begins the duties.
func (m *Mover) Start(context.Context, *registrar.Registrar) error {
	go m.run()
	return nil
}

// Stop ends the duties. An order that is on its way may still be carried out.
func (m *Mover) Stop(deadline time.Time) error {
	m.cancel()
	select {
	case <-m.ended:
		return nil
	case <-time.After(time.Until(deadline)):
		return &LateStopError{}
	}
}

// LateStopError says that the mover did not end in time.
type LateStopError struct{}

// Error describes the failure.
func (e *LateStopError) Error() string { return "mover did not stop in time" }

// Held returns what engines hold after a serial number, and the number of the
// newest change.
func (m *Mover) Held(after uint64) ([]surveyor.EngineHoldings, uint64) {
	told, newest, _ := m.told.After(after)
	return told, newest
}

// Changed returns a channel that is closed when engines hold something else.
func (m *Mover) Changed() <-chan struct{} { return m.told.Changed() }

// Want returns the engines that hold a model or adapter, or when one is
// expected to. It waits for an adapter that is on its way.
func (m *Mover) Want(ctx context.Context, want Want) Wanted {
	call := wantCalled{want: want, answer: make(chan Wanted, 1)}
	select {
	case m.events <- call:
	case <-ctx.Done():
		return Wanted{}
	case <-m.ended:
		return Wanted{}
	}
	select {
	case wanted := <-call.answer:
		return wanted
	case <-ctx.Done():
		return Wanted{}
	case <-m.ended:
		return Wanted{}
	}
}

func (m *Mover) run() {
	defer close(m.ended)
	defer m.calls.Wait()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case happened := <-m.events:
			m.handle(happened, time.Now())
		case <-ticker.C:
			m.round(time.Now())
		}
	}
}

// reset forgets everything, as when another member leads.
func (m *Mover) reset() {
	m.dismissWaiters()
	m.engines = map[string]*engine{}
	m.meter = newMeter()
	m.wanted, m.crowded = map[string]wanted{}, map[string]wanted{}
	m.listAt, m.demandAt, m.loadsAt = time.Time{}, time.Time{}, time.Time{}
	m.listing = false
	m.told.Clear()
	m.settings.Listed.Reset()
}

// round does what is due.
func (m *Mover) round(now time.Time) {
	if !m.leading(now) {
		return
	}
	m.readConfiguration()
	if m.configuration == nil {
		return
	}
	m.report(now)
	m.askList(now)
	m.askReports(now)
	m.readDemand(now)
	m.readLoads(now)
	m.expireWaiters(now)
	m.loadAdapters(now)
	m.plan(now)
}

// leading is true while this member leads, and notes when that changes.
func (m *Mover) leading(now time.Time) bool {
	status := m.settings.Group.Status()
	switch {
	case m.lead.term != 0 && !status.Leading && status.Term != m.lead.term:
		m.settings.Log.Info("gives no more orders", zap.Uint64("term", m.lead.term))
		m.lead = lead{}
		m.reset()
	case m.lead.term != 0 && status.Leading == m.lead.suspended && status.Term == m.lead.term:
		m.suspend(!status.Leading)
	case status.Leading && status.Term != m.lead.term:
		m.reset()
		m.lead = lead{term: status.Term, ordersFrom: now.Add(m.settings.Lease + leaseMargin)}
		m.storeFrom = now.Add(m.settings.StoreWindow)
		if status.Term == firstTerm {
			// the group is new: nobody has given orders before
			m.lead.ordersFrom, m.storeFrom = now, now
		}
		m.settings.Log.Info("will give orders", zap.Uint64("fence", status.Term),
			zap.Time("from", m.lead.ordersFrom))
	}
	return status.Leading
}

// suspend stops orders while the lease has lapsed. Where the lead comes back in
// its term, nobody else has led meanwhile: what is known stays, and orders need
// not wait.
func (m *Mover) suspend(suspended bool) {
	m.lead.suspended = suspended
	m.settings.Log.Info("orders suspended", zap.Bool("suspended", suspended), zap.Uint64("term", m.lead.term))
	if suspended {
		m.dismissWaiters()
	}
}

// dismissWaiters answers all that wait for an adapter.
func (m *Mover) dismissWaiters() {
	m.tally.dismissed += len(m.waiters)
	for _, one := range m.waiters {
		one.answer <- Wanted{}
	}
	m.waiters = nil
}

// firstTerm is the first in which a group has a leader: it is founded in the
// one before.
const firstTerm = 2

// mayOrder is true where this member may give orders now.
func (m *Mover) mayOrder(now time.Time) bool {
	return m.lead.term != 0 && !m.lead.suspended && !m.lead.fenced && !now.Before(m.lead.ordersFrom)
}

// readConfiguration takes in the configuration that is stored.
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
}

// engineOf returns what the engines of a service can do; nil for a plain
// service.
func (m *Mover) engineOf(service string) *matcher.Engine {
	return m.configuration.Services[service].Engine
}

func (m *Mover) readDemand(now time.Time) {
	if now.Before(m.demandAt) {
		return
	}
	m.demandAt = now.Add(demandEvery)
	m.meter.slots = map[string]int{}
	for name, service := range m.configuration.Services {
		if service.Engine != nil {
			m.meter.slots[name] = service.Engine.Slots
		}
	}
	m.meter.observe(now, m.settings.Fresh())
}

// readLoads adds up what entries have in flight.
func (m *Mover) readLoads(now time.Time) {
	if now.Sub(m.loadsAt) < loadsEvery {
		return
	}
	m.loadsAt = now
	m.loads = m.settings.Loads()
}

// publish tells entries what an engine holds.
func (m *Mover) publish(name string) {
	if one := m.engines[name]; one != nil && one.reported {
		m.told.Set(name, one.told())
	}
}
