// Package supervisor carries out the leader's duties: it drives unsettled
// orders to their end, records what upstreams hold, lets claims expire, keeps
// the store's limits set and turns plans into orders. It runs on every control
// member and is idle while another one leads.
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
	// Plan returns the moves to make now. It is pure and is called from one
	// goroutine.
	Plan(input placer.Input) placer.Output
}

// Settings of a supervisor. A zero field takes its standard value.
type Settings struct {
	// RoundInterval is the time between two looks at the state.
	RoundInterval time.Duration
	// PlanInterval is the time between two plans.
	PlanInterval time.Duration
	// OrderLifetime is the time from an order's intent to its NotAfter.
	OrderLifetime time.Duration
	// ProposeTimeout is how long one proposal may take.
	ProposeTimeout time.Duration
	// ForgetDelay is how long after its last NotAfter an upstream that is no longer
	// listed is forgotten with its orders.
	ForgetDelay time.Duration
}

// Standard values of Settings.
const (
	DefaultRoundInterval  = 100 * time.Millisecond
	DefaultPlanInterval   = time.Second
	DefaultOrderLifetime  = 30 * time.Second
	DefaultProposeTimeout = 2 * time.Second
	DefaultForgetDelay    = 10 * time.Minute
)

// minExpireInterval is the shortest time between two commands that let claims expire.
const minExpireInterval = time.Second

// maxObservations is how many reports one round records, so that a large fleet
// does not hold up the other duties.
const maxObservations = 64

// Config is what a supervisor needs.
type Config struct {
	Proposer conductor.Proposer
	Planner  Planner
	// Demands returns the last readings by entry, Reports the last load
	// reports by upstream. They may be called at any time from the
	// supervisor's goroutine; what they return must not change afterwards.
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

	// The rest belongs to run.

	// outcomes are ends of orders that are not committed yet. They stay true
	// whoever leads.
	outcomes  map[uint64]orderer.Outcome
	leading   bool
	planState placer.State
	nextPlan  time.Time
	// nextClaimExpiry is when claims may be let expire again.
	nextClaimExpiry time.Time
	unlistedSince   map[string]time.Time
}

// LateStopError says that the supervisor did not end in time.
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

// String is the service's name.
func (s *Supervisor) String() string { return "supervisor" }

// Start begins the duties.
func (s *Supervisor) Start(_ context.Context, _ *registrar.Registrar) error {
	go s.run()
	return nil
}

// Stop ends the duties. Orders that are under way stay in the ledger for the
// next leader.
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
		case report := <-s.sender.Reports():
			s.recordOutcome(report)
		case <-ticker.C:
		}
		s.drainReports()
		if s.round(time.Now()) {
			s.round(time.Now())
		}
	}
}

// recordOutcome notes what the sender found out.
func (s *Supervisor) recordOutcome(report sender.Report) {
	settled, ok := report.(sender.Settled)
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

func (s *Supervisor) drainReports() {
	for {
		select {
		case report := <-s.sender.Reports():
			s.recordOutcome(report)
		default:
			return
		}
	}
}
