// Package sender carries committed orders to the upstreams and finds out what
// became of them. An order is driven until it is seen to be done or refused,
// or until it can surely no longer begin.
package sender

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"burdocklink/orderer"
)

// Settings of a sender. A zero field takes its standard value.
type Settings struct {
	// Silence is how long one call may go without an answer.
	Silence time.Duration
	// AskEvery is the shortest time between two questions for an order, and
	// AskAtMost the longest; it doubles in between.
	AskEvery  time.Duration
	AskAtMost time.Duration
	// Upstreams is how many upstreams are driven at once; more wait.
	Upstreams int
}

// Standard values of Settings.
const (
	StandardSilence   = 2 * time.Second
	StandardAskEvery  = 50 * time.Millisecond
	StandardAskAtMost = 250 * time.Millisecond
	StandardUpstreams = 256
)

// silentCalls is how many calls in a row, each on a connection of its own,
// must fail before an upstream is said to be silent.
const silentCalls = 2

// reportQueue is how many reports may wait to be read.
const reportQueue = 64

// Task is an unsettled order with the address of its upstream.
type Task struct {
	Order   orderer.Order
	Address string
}

// Report is what the sender found out. It is one of the types below.
type Report interface{ report() }

// Settled says how an order ended.
type Settled struct {
	Order   orderer.Order
	Outcome orderer.Outcome
	// Reason is what the upstream said of a refusal.
	Reason string
}

// Silent says that an upstream does not answer on new connections either.
type Silent struct {
	Upstream, Incarnation string
	Cause                 error
}

func (Settled) report() {}
func (Silent) report()  {}

// Sender drives orders. Each upstream with unsettled orders has a goroutine,
// up to Settings.Upstreams.
type Sender struct {
	settings Settings
	log      *zap.Logger
	client   *http.Client
	reports  chan Report
	ctx      context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup

	mu      sync.Mutex
	drivers map[string]*driver
}

// New returns a sender without orders.
func New(settings Settings, log *zap.Logger) *Sender {
	ctx, cancel := context.WithCancel(context.Background())
	return &Sender{
		settings: settings.filled(),
		log:      log,
		client:   newClient(),
		reports:  make(chan Report, reportQueue),
		ctx:      ctx,
		cancel:   cancel,
		drivers:  map[string]*driver{},
	}
}

func (s Settings) filled() Settings {
	if s.Silence <= 0 {
		s.Silence = StandardSilence
	}
	if s.AskEvery <= 0 {
		s.AskEvery = StandardAskEvery
	}
	if s.AskAtMost <= 0 {
		s.AskAtMost = StandardAskAtMost
	}
	if s.Upstreams <= 0 {
		s.Upstreams = StandardUpstreams
	}
	return s
}

// newClient makes a connection for each call, so that none can have gone
// silent before, and follows no redirects.
func newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// Reports gives what is found out. An order that stays among the tasks after
// its report is not reported again by the same driver.
func (s *Sender) Reports() <-chan Report { return s.reports }

// Drive replaces the set of orders to be driven. Orders left out are no longer
// sent or asked for. It does not wait for calls in flight.
func (s *Sender) Drive(tasks []Task) {
	byUpstream := map[string][]Task{}
	for _, task := range tasks {
		name := task.Order.Upstream
		byUpstream[name] = append(byUpstream[name], task)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, d := range s.drivers {
		d.assign(byUpstream[name])
	}
	for name, assigned := range byUpstream {
		if s.drivers[name] == nil {
			s.begin(name, assigned)
		}
	}
}

// begin starts a driver where one more may run. The mutex must be held.
func (s *Sender) begin(name string, tasks []Task) {
	if len(s.drivers) >= s.settings.Upstreams || s.ctx.Err() != nil {
		return
	}
	d := newDriver(s, name, tasks)
	s.drivers[name] = d
	s.running.Add(1)
	go d.run()
}

// Stop ends all calls and waits for the drivers to end.
func (s *Sender) Stop() {
	s.mu.Lock()
	s.cancel()
	s.mu.Unlock()
	s.running.Wait()
}

// tell passes a report on; it gives up when the sender stops.
func (s *Sender) tell(report Report) {
	select {
	case s.reports <- report:
	case <-s.ctx.Done():
	}
}
