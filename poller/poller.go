// Package poller polls the upstreams in the catalog for load reports.
package poller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"burdocklink/cataloger"
	"burdocklink/dispatcher"
	"burdocklink/estimator"
	"burdocklink/registrar"
)

// Name is the service name.
const Name = "poller"

// Settings configure a Poller. Zero durations and counts select defaults.
type Settings struct {
	// Interval is the mean time between rounds.
	Interval time.Duration
	// Timeout limits the wait for one report.
	Timeout time.Duration
	// PerRound is the number of upstreams polled in one round. The others are polled
	// in the next rounds.
	PerRound int
	// Seed is the seed of the jitter. It should differ between entries, so that they
	// do not poll at the same time.
	Seed uint64
	// Catalog returns the catalog in force, nil if there is none yet.
	Catalog func() *cataloger.Catalog
	// RateLimited reports whether an upstream has a rate limit. Such upstreams are not
	// polled, to leave their capacity to callers. Nil means that none has a limit.
	RateLimited func(cataloger.Upstream) bool
	// Observe handles a report.
	Observe func(estimator.Report)
	// OnUnreachable is called for an upstream that did not respond on a new
	// connection, after the previous poll had failed too.
	OnUnreachable func(cataloger.Upstream)
	// Wake is called after the reports of a round.
	Wake  func()
	Calls *dispatcher.Dispatcher
	Log   *zap.Logger
}

// Defaults of Settings, and limits.
const (
	defaultInterval = time.Second
	defaultTimeout  = time.Second
	defaultPerRound = 3
	// workers is the number of concurrent polls.
	workers = 16
	// jitterDivisor divides the interval to give the width of its jitter.
	jitterDivisor = 4
)

// Poller polls for reports until it is stopped.
type Poller struct {
	settings Settings
	random   *rand.Rand
	tasks    chan task
	stopping chan struct{}
	cancel   context.CancelFunc
	running  sync.WaitGroup
	// states is used only by run, but its values also by the workers.
	states map[string]*upstreamState
	// cursor is the index of the last upstream polled in turn, in the order of
	// names.
	cursor int
}

// New returns a poller that has not started.
func New(settings Settings) *Poller {
	settings = settings.withDefaults()
	return &Poller{
		settings: settings,
		random:   rand.New(rand.NewPCG(settings.Seed, 1)),
		tasks:    make(chan task),
		stopping: make(chan struct{}),
		states:   map[string]*upstreamState{},
	}
}

// String returns the service name.
func (p *Poller) String() string { return Name }

// Start starts polling.
func (p *Poller) Start(context.Context, *registrar.Registrar) error {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	for range workers {
		p.running.Add(1)
		go p.loop(ctx)
	}
	p.running.Add(1)
	go p.run()
	return nil
}

// Stop stops polling and cancels polls in progress.
func (p *Poller) Stop(time.Time) error {
	close(p.stopping)
	p.cancel()
	p.running.Wait()
	return nil
}

// run runs rounds until the poller stops.
func (p *Poller) run() {
	defer p.running.Done()
	defer close(p.tasks)
	for {
		p.round()
		timer := time.NewTimer(p.nextDelay())
		select {
		case <-timer.C:
		case <-p.stopping:
			timer.Stop()
			return
		}
	}
}

// nextDelay returns the delay until the next round: Interval with jitter.
func (p *Poller) nextDelay() time.Duration {
	spread := p.settings.Interval / jitterDivisor
	if spread <= 0 {
		return p.settings.Interval
	}
	return p.settings.Interval - spread/2 + time.Duration(p.random.Int64N(int64(spread)))
}

// round passes the upstreams of one round to the workers and waits until they are
// polled.
func (p *Poller) round() {
	catalog := p.settings.Catalog()
	if catalog == nil {
		return
	}
	var pending sync.WaitGroup
	for _, next := range p.selectTasks(catalog) {
		next.done = &pending
		pending.Add(1)
		select {
		case p.tasks <- next:
		case <-p.stopping:
			return
		}
	}
	pending.Wait()
	p.settings.Wake()
}

// loop is a worker that polls the upstreams of p.tasks.
func (p *Poller) loop(ctx context.Context) {
	defer p.running.Done()
	for next := range p.tasks {
		p.poll(ctx, next)
		next.done.Done()
	}
}

func (s Settings) withDefaults() Settings {
	if s.Interval <= 0 {
		s.Interval = defaultInterval
	}
	if s.Timeout <= 0 {
		s.Timeout = defaultTimeout
	}
	if s.PerRound <= 0 {
		s.PerRound = defaultPerRound
	}
	return s
}
