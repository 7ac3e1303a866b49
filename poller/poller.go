// Package poller asks the upstreams in the catalog for their load reports.
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

// Name is the service's name in the kernel.
const Name = "poller"

// Settings of a poller. Zero durations and counts take their defaults.
type Settings struct {
	// Interval is the time between two rounds.
	Interval time.Duration
	// Timeout is the longest wait for one report.
	Timeout time.Duration
	// PerRound is how many upstreams are asked in one round; the rest have
	// their turn in the next ones.
	PerRound int
	// Seed sets entries apart, so that they do not all ask at once.
	Seed uint64
	// Catalog returns the catalog in force, nil before the first.
	Catalog func() *cataloger.Catalog
	// RateLimited says whether an upstream limits its requests: callers' go before
	// reports. Nil for none.
	RateLimited func(cataloger.Upstream) bool
	// Observe takes in a report.
	Observe func(estimator.Report)
	// OnUnreachable is told of an upstream that gave no answer over a new connection,
	// after the one before had failed too.
	OnUnreachable func(cataloger.Upstream)
	// Wake is called after the reports of a round.
	Wake  func()
	Calls *dispatcher.Dispatcher
	Log   *zap.Logger
}

// defaults of Settings.
const (
	defaultInterval = time.Second
	defaultTimeout  = time.Second
	defaultPerRound = 3
	// workers is how many upstreams are asked at the same time.
	workers = 16
	// jitterDivisor is the part of a round's length that varies.
	jitterDivisor = 4
)

// Poller asks for reports until it is stopped.
type Poller struct {
	settings Settings
	random   *rand.Rand
	tasks    chan task
	stopping chan struct{}
	cancel   context.CancelFunc
	running  sync.WaitGroup
	// states is owned by the loop of rounds, but for its records.
	states map[string]*upstreamState
	// cursor is where the next round begins in the list of upstreams.
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

// String names the service.
func (p *Poller) String() string { return Name }

// Start begins the rounds.
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

// Stop ends the rounds and the calls under way.
func (p *Poller) Stop(time.Time) error {
	close(p.stopping)
	p.cancel()
	p.running.Wait()
	return nil
}

// run begins rounds until the stop.
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

// nextDelay returns the time to the next round.
func (p *Poller) nextDelay() time.Duration {
	spread := p.settings.Interval / jitterDivisor
	if spread <= 0 {
		return p.settings.Interval
	}
	return p.settings.Interval - spread/2 + time.Duration(p.random.Int64N(int64(spread)))
}

// round hands out the upstreams whose turn it is and waits for their reports.
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

// loop asks the upstreams that it is handed.
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
