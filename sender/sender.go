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
	// CallTimeout is how long one call may go without an answer.
	CallTimeout time.Duration
	// MinPollInterval is the shortest time between two questions for an order, and
	// AskAtMost the longest; it doubles in between.
	MinPollInterval time.Duration
	MaxPollInterval time.Duration
	// MaxUpstreams is how many upstreams are driven at once; more wait.
	MaxUpstreams int
}

// Standard values of Settings.
const (
	DefaultCallTimeout     = 2 * time.Second
	DefaultMinPollInterval = 50 * time.Millisecond
	DefaultMaxPollInterval = 250 * time.Millisecond
	DefaultMaxUpstreams    = 256
)

// maxFailedCalls is how many calls in a row, each on a connection of its own,
// must fail before an upstream is said to be silent.
const maxFailedCalls = 2

// eventQueueSize is how many reports may wait to be read.
const eventQueueSize = 64

// Task is an unsettled order with the address of its upstream.
type Task struct {
	Order   orderer.Order
	Address string
}

// Event is what the sender found out. It is one of the types below.
type Event interface{ isEvent() }

// Settled says how an order ended.
type Settled struct {
	Order   orderer.Order
	Outcome orderer.Outcome
	// Reason is what the upstream said of a refusal.
	Reason string
}

// Unresponsive says that an upstream does not answer on new connections either.
type Unresponsive struct {
	Upstream, Incarnation string
	Cause                 error
}

func (Settled) isEvent()      {}
func (Unresponsive) isEvent() {}

// Sender drives orders. Each upstream with unsettled orders has a goroutine,
// up to Settings.Upstreams.
type Sender struct {
	settings Settings
	log      *zap.Logger
	client   *http.Client
	events   chan Event
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
		settings: settings.withDefaults(),
		log:      log,
		client:   newClient(),
		events:   make(chan Event, eventQueueSize),
		ctx:      ctx,
		cancel:   cancel,
		drivers:  map[string]*driver{},
	}
}

func (s Settings) withDefaults() Settings {
	if s.CallTimeout <= 0 {
		s.CallTimeout = DefaultCallTimeout
	}
	if s.MinPollInterval <= 0 {
		s.MinPollInterval = DefaultMinPollInterval
	}
	if s.MaxPollInterval <= 0 {
		s.MaxPollInterval = DefaultMaxPollInterval
	}
	if s.MaxUpstreams <= 0 {
		s.MaxUpstreams = DefaultMaxUpstreams
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

// Events gives what is found out. An order that stays among the tasks after
// its report is not reported again by the same driver.
func (s *Sender) Events() <-chan Event { return s.events }

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
			s.startDriver(name, assigned)
		}
	}
}

// startDriver starts a driver where one more may run. The mutex must be held.
func (s *Sender) startDriver(name string, tasks []Task) {
	if len(s.drivers) >= s.settings.MaxUpstreams || s.ctx.Err() != nil {
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

// publish passes a report on; it gives up when the sender stops.
func (s *Sender) publish(event Event) {
	select {
	case s.events <- event:
	case <-s.ctx.Done():
	}
}
