// Package sender sends committed orders to the upstreams and polls their outcome. An
// order is polled until the upstream has carried out or refused it, or until it can no
// longer start.
package sender

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"burdocklink/dispatcher"
	"burdocklink/orderer"
)

// Settings configure a Sender. A zero field takes its default.
type Settings struct {
	// CallTimeout is the timeout of one call.
	CallTimeout time.Duration
	// MinPollInterval and MaxPollInterval are the shortest and the longest time between
	// two queries for an order. The time doubles after each query.
	MinPollInterval time.Duration
	MaxPollInterval time.Duration
	// MaxUpstreams is the number of upstreams with orders in progress at the same time.
	// Others wait.
	MaxUpstreams int
}

// Defaults of Settings.
const (
	DefaultCallTimeout     = 2 * time.Second
	DefaultMinPollInterval = 50 * time.Millisecond
	DefaultMaxPollInterval = 250 * time.Millisecond
	DefaultMaxUpstreams    = 256
)

// maxFailedCalls is the number of consecutive failed calls, each on a new connection,
// after which an upstream is unresponsive.
const maxFailedCalls = 2

// eventQueueSize is the number of events that may wait to be read.
const eventQueueSize = 64

// Task is an unsettled order with the address of its upstream.
type Task struct {
	Order   orderer.Order
	Address string
}

// Event is published by the sender. It is one of the types below.
type Event interface{ isEvent() }

// Settled is published once the outcome of an order is known.
type Settled struct {
	Order   orderer.Order
	Outcome orderer.Outcome
	// Reason is the upstream's reason if it refused the order.
	Reason string
}

// Unresponsive is published if an upstream does not answer on new connections either.
type Unresponsive struct {
	Upstream, Incarnation string
	Cause                 error
}

func (Settled) isEvent()      {}
func (Unresponsive) isEvent() {}

// Sender sends orders and polls their outcome. Each upstream with unsettled orders has a
// goroutine, up to Settings.MaxUpstreams.
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

// newClient returns a client that opens a new connection for each call, because a reused
// one may have gone silent, and that follows no redirects.
func newClient() *http.Client {
	return &http.Client{
		Transport: dispatcher.NewTransport(),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// Events returns the published events. An order that stays among the tasks after it was
// settled is not published again by the same driver.
func (s *Sender) Events() <-chan Event { return s.events }

// Drive replaces the set of orders. Orders that are not in it are no longer sent or
// polled. It does not wait for calls in flight.
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

// startDriver starts a driver unless MaxUpstreams are running. The mutex must be held.
func (s *Sender) startDriver(name string, tasks []Task) {
	if len(s.drivers) >= s.settings.MaxUpstreams || s.ctx.Err() != nil {
		return
	}
	d := newDriver(s, name, tasks)
	s.drivers[name] = d
	s.running.Add(1)
	go d.run()
}

// Stop cancels all calls and waits for the drivers to return.
func (s *Sender) Stop() {
	s.mu.Lock()
	s.cancel()
	s.mu.Unlock()
	s.running.Wait()
}

// publish sends an event unless the sender stops first.
func (s *Sender) publish(event Event) {
	select {
	case s.events <- event:
	case <-s.ctx.Done():
	}
}
