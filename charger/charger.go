// Package charger charges requests against the quotas of their organisations. The leader of
// the control group grants the units, since a quota covers all entries together; an entry
// asks for what its requests need and keeps a small stock for frequent organisations.
package charger

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"burdocklink/accountant"
	"burdocklink/encoder"
	"burdocklink/encoder/wire"
	"burdocklink/linker"
	"burdocklink/matcher"
	"burdocklink/registrar"
	"burdocklink/timekeeper"
)

// Name is the service's name in the kernel.
const Name = "charger"

const (
	// callTimeout bounds the wait for the leader's answer.
	callTimeout = 500 * time.Millisecond
	// initialBackoff is the pause after the first unanswered call; each further one doubles
	// it, up to maxBackoff.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 200 * time.Millisecond
	// maxPause bounds the pause that a leader can request.
	maxPause = 2 * time.Second
	// retryDelay is when a request may come back that no leader has answered.
	retryDelay = 500 * time.Millisecond
)

// Settings configure a Charger.
type Settings struct {
	// Entry is the name of this entry.
	Entry string
	Links *linker.Linker
	// Leader returns the last known address of the leader, or an empty string.
	Leader func() string
	Bounds matcher.QuotaBounds
	// Now reads a clock that advances during suspensions; nil means timekeeper.Now.
	Now func() time.Time
	Log *zap.Logger
}

// Charger runs a Ledger. It is safe for concurrent use.
type Charger struct {
	settings Settings
	ctx      context.Context
	cancel   context.CancelFunc
	stopped  chan struct{}
	wakeups  chan struct{}
	// backoff is the pause before the next call; zero after one that was answered.
	backoff time.Duration

	mutex  sync.Mutex
	ledger *Ledger
}

// New returns a charger that has not been started.
func New(settings Settings) *Charger {
	if settings.Now == nil {
		settings.Now = timekeeper.Now
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Charger{
		settings: settings, ctx: ctx, cancel: cancel, ledger: NewLedger(),
		stopped: make(chan struct{}), wakeups: make(chan struct{}, 1),
	}
}

// String returns the service name.
func (c *Charger) String() string { return Name }

// Start starts the calls to the leader.
func (c *Charger) Start(context.Context, *registrar.Registrar) error {
	go c.run()
	return nil
}

// Stop ends the call in flight and refuses the waiting requests.
func (c *Charger) Stop(time.Time) error {
	c.cancel()
	<-c.stopped
	return nil
}

// Charge is the units that a request uses.
type Charge struct{ giveBack func() }

// NewCharge returns a charge whose units giveBack takes back.
func NewCharge(giveBack func()) *Charge { return &Charge{giveBack: giveBack} }

// Return gives the units back if the request was not run. It may be called once.
func (c *Charge) Return() { c.giveBack() }

// Charge waits until the quota of its organisation covers a request. It returns a
// *QuotaError if that takes too long, an *UnavailableError if no leader answers in time,
// or the context's error. The times of the request are on the clock of time.Now.
func (c *Charger) Charge(ctx context.Context, request Request) (*Charge, error) {
	now := c.settings.Now()
	if request.Units > c.largest(request.Quota) {
		return nil, &QuotaError{Organisation: request.Organisation, Units: request.Units}
	}
	useful := time.NewTimer(time.Until(request.UsefulUntil))
	defer useful.Stop()
	request.PatientUntil = now.Add(time.Until(request.PatientUntil))
	c.mutex.Lock()
	ticket := c.ledger.Charge(now, request)
	c.mutex.Unlock()
	select {
	case decision := <-ticket.decided:
		return c.finish(ctx, request, decision)
	default:
		c.wake()
	}
	select {
	case decision := <-ticket.decided:
		return c.finish(ctx, request, decision)
	case <-ctx.Done():
		return nil, c.withdraw(ticket, context.Cause(ctx))
	case <-useful.C:
		return nil, c.withdraw(ticket, &UnavailableError{RetryAt: time.Now().Add(retryDelay)})
	}
}

// largest returns how many units a single request may count: more than that never fits into
// a window.
func (c *Charger) largest(quota matcher.Quota) float64 {
	window := max(time.Second, c.settings.Bounds.Window)
	return quota.PerSecond*window.Seconds() + quota.Burst
}

// withdraw forgets a ticket. Units that were granted meanwhile are kept for others.
func (c *Charger) withdraw(ticket *Ticket, err error) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	select {
	case decision := <-ticket.decided:
		if decision.Err == nil {
			c.ledger.Return(c.settings.Now(), ticket.request, decision.ExpiresAt)
		}
	default:
		c.ledger.Withdraw(ticket)
	}
	return err
}

// finish waits until the request is due.
func (c *Charger) finish(ctx context.Context, request Request, decision Decision) (*Charge, error) {
	now := c.settings.Now()
	if decision.Err != nil {
		if refused, ok := decision.Err.(*QuotaError); ok {
			refused.RetryAt = time.Now().Add(refused.RetryAt.Sub(now))
		}
		return nil, decision.Err
	}
	charge := NewCharge(func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.ledger.Return(c.settings.Now(), request, decision.ExpiresAt)
	})
	if wait := decision.DueAt.Sub(now); wait > 0 && !linker.Sleep(ctx, wait) {
		charge.Return()
		return nil, context.Cause(ctx)
	}
	return charge, nil
}

func (c *Charger) wake() {
	select {
	case c.wakeups <- struct{}{}:
	default:
	}
}

// run asks the leader when requests wait.
func (c *Charger) run() {
	defer close(c.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-c.ctx.Done():
			c.mutex.Lock()
			c.ledger.Stop(c.settings.Now())
			c.mutex.Unlock()
			return
		case <-c.wakeups:
		case <-timer.C:
		}
		if pause := c.poll(); pause > 0 && !linker.Sleep(c.ctx, pause) {
			continue
		}
		c.resetTimer(timer)
	}
}

// resetTimer sets the timer to the next question, if any.
func (c *Charger) resetTimer(timer *time.Timer) {
	now := c.settings.Now()
	c.mutex.Lock()
	next, waiting := c.ledger.Next(now)
	c.mutex.Unlock()
	timer.Stop()
	if waiting {
		timer.Reset(next.Sub(now))
	}
}

// poll asks the leader for what is wanted. It returns the least time to the next question.
func (c *Charger) poll() time.Duration {
	leader := c.settings.Leader()
	sentAt := c.settings.Now()
	c.mutex.Lock()
	wants := c.ledger.Wants(sentAt)
	c.mutex.Unlock()
	if len(wants) == 0 {
		return 0
	}
	reply, err := c.ask(leader, wants)
	now := c.settings.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err != nil || !reply.GetLeading() {
		c.ledger.Fail()
		c.backoff = min(maxBackoff, max(initialBackoff, 2*c.backoff))
		c.settings.Log.Info("quota request failed", zap.String("leader", leader), zap.Int("organisations", len(wants)),
			zap.Duration("took", now.Sub(sentAt)), zap.Duration("pause", c.backoff), zap.Error(err))
		return c.backoff
	}
	c.backoff = 0
	grants := encoder.DecodeQuotaGrants(reply.GetGrants(), sentAt, now)
	c.ledger.Grant(now, grants)
	c.log(leader, wants, grants, sentAt, now)
	return min(time.Duration(reply.GetPauseMs())*time.Millisecond, maxPause)
}

func (c *Charger) ask(leader string, wants []accountant.Want) (*wire.ChargeReply, error) {
	if leader == "" {
		return nil, &NoLeaderError{}
	}
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	link, err := c.settings.Links.Connect(leader)
	if err != nil {
		return nil, err
	}
	reply, err := wire.NewControlClient(link).Charge(ctx, encoder.EncodeQuotaWants(c.settings.Entry, wants))
	if ctx.Err() == context.DeadlineExceeded {
		c.settings.Links.Drop(leader, link)
	}
	return reply, err
}

// log writes what was granted to each organisation.
func (c *Charger) log(leader string, wants []accountant.Want, grants []accountant.Grant, sentAt, now time.Time) {
	for i, grant := range grants {
		if i >= len(wants) {
			return
		}
		units, granted := 0.0, grant.Spare
		for at, cost := range wants[i].Costs {
			units += cost
			if at < grant.Covered {
				granted += cost
			}
		}
		c.settings.Log.Info("quota granted", zap.String("organisation", grant.Organisation), zap.String("leader", leader),
			zap.Int("requests", len(wants[i].Costs)), zap.Float64("units", units), zap.Int("covered", grant.Covered),
			zap.Float64("spare", grant.Spare), zap.Float64("granted", granted), zap.Duration("due", grant.DueAt.Sub(now)),
			zap.Duration("expires", grant.ExpiresAt.Sub(now)), zap.Duration("took", now.Sub(sentAt)))
	}
}
