// Package supervisor performs the leader's duties: it drives unsettled orders
// to their settlement, records what upstreams hold, expires claims, applies the
// store's limits and turns plans into orders. It runs on every control member
// and is idle while another one leads.
package supervisor

import (
	"context"
	"time"

	"go.uber.org/zap"

	"burdocklink/conductor"
	"burdocklink/estimator"
	"burdocklink/orderer"
	"burdocklink/placer"
	"burdocklink/registrar"
	"burdocklink/sender"
)

// Planner decides on moves.
type Planner interface {
	// Plan returns the moves to make now. It is pure and called from one
	// goroutine.
	Plan(input placer.Input) placer.Output
}

// Settings configure the intervals and timeouts of a Supervisor. Zero fields
// take their defaults.
type Settings struct {
	// RoundInterval is the time between two rounds.
	RoundInterval time.Duration
	// PlanInterval is the time between two plans.
	PlanInterval time.Duration
	// OrderLifetime is the time from submitting an order to its NotAfter.
	OrderLifetime time.Duration
	// ProposeTimeout is the timeout of a proposal.
	ProposeTimeout time.Duration
	// ForgetDelay is how long an upstream must be unlisted before it is
	// forgotten with its orders.
	ForgetDelay time.Duration
}

// Defaults of Settings.
const (
	DefaultRoundInterval  = 100 * time.Millisecond
	DefaultPlanInterval   = time.Second
	DefaultOrderLifetime  = 30 * time.Second
	DefaultProposeTimeout = 2 * time.Second
	DefaultForgetDelay    = 10 * time.Minute
)

// minExpireInterval is the minimum time between two commands that expire
// claims.
const minExpireInterval = time.Second

// maxObservations bounds the reports recorded in one round, so that a large
// fleet does not hold up the other duties.
const maxObservations = 64

// Config configures a supervisor.
type Config struct {
	Proposer conductor.Proposer
	Planner  Planner
	// Demands returns the last reported demand by entry, Reports the last load
	// reports by upstream. They are called from the supervisor's goroutine at
	// any time; the returned maps must not change afterwards.
	Demands func() map[string]placer.Demand
	Reports func() map[string]estimator.Report
	// Limits are those of the weight store.
	Limits   orderer.StoreLimits
	Settings Settings
	Sender   sender.Settings
	Log      *zap.Logger
}

// Supervisor is the service.
type Supervisor struct {
	config  Config
	log     *zap.Logger
	sender  *sender.Sender
	ctx     context.Context
	cancel  context.CancelFunc
	stopped chan struct{}

	// The fields below belong to run.

	// outcomes are the outcomes of orders that are not committed yet. They stay
	// valid across leaders.
	outcomes  map[uint64]orderer.Outcome
	leading   bool
	planState placer.State
	nextPlan  time.Time
	// nextClaimExpiry is when the next expiry of claims may be committed.
	nextClaimExpiry time.Time
	unlistedSince   map[string]time.Time
}

// LateStopError reports that the supervisor did not stop before the deadline.
type LateStopError struct{}

// Error describes the failure.
func (e *LateStopError) Error() string { return "supervisor did not stop in time" }

// New returns a supervisor that has not started.
func New(config Config) *Supervisor {
	config.Settings = config.Settings.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Supervisor{
		config:        config,
		log:           config.Log,
		sender:        sender.New(config.Sender, config.Log),
		ctx:           ctx,
		cancel:        cancel,
		stopped:       make(chan struct{}),
		outcomes:      map[uint64]orderer.Outcome{},
		unlistedSince: map[string]time.Time{},
	}
}

func (s Settings) withDefaults() Settings {
	if s.RoundInterval <= 0 {
		s.RoundInterval = DefaultRoundInterval
	}
	if s.PlanInterval <= 0 {
		s.PlanInterval = DefaultPlanInterval
	}
	if s.OrderLifetime <= 0 {
		s.OrderLifetime = DefaultOrderLifetime
	}
	if s.ProposeTimeout <= 0 {
		s.ProposeTimeout = DefaultProposeTimeout
	}
	if s.ForgetDelay <= 0 {
		s.ForgetDelay = DefaultForgetDelay
	}
	return s
}

// String returns the service name.
func (s *Supervisor) String() string { return "supervisor" }

// Start starts the loop.
func (s *Supervisor) Start(_ context.Context, _ *registrar.Registrar) error {
	go s.run()
	return nil
}

// Stop stops the loop. Orders in flight stay in the ledger for the next leader.
func (s *Supervisor) Stop(deadline time.Time) error {
	s.cancel()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-s.stopped:
		return nil
	case <-timer.C:
		return &LateStopError{}
	}
}

func (s *Supervisor) run() {
	defer close(s.stopped)
	defer s.sender.Stop()
	ticker := time.NewTicker(s.config.Settings.RoundInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case event := <-s.sender.Events():
			s.recordOutcome(event)
		case <-ticker.C:
		}
		s.drainEvents()
		if s.round(time.Now()) {
			s.round(time.Now())
		}
	}
}

// recordOutcome records an outcome reported by the sender.
func (s *Supervisor) recordOutcome(event sender.Event) {
	settled, ok := event.(sender.Settled)
	if !ok {
		return
	}
	s.outcomes[settled.Order.ID] = settled.Outcome
	if settled.Outcome != orderer.OutcomeDone {
		s.log.Warn("order was not carried out",
			zap.Uint64("order", settled.Order.ID), zap.String("upstream", settled.Order.Upstream),
			zap.Int("outcome", int(settled.Outcome)), zap.String("reason", settled.Reason))
	}
}

func (s *Supervisor) drainEvents() {
	for {
		select {
		case event := <-s.sender.Events():
			s.recordOutcome(event)
		default:
			return
		}
	}
}
