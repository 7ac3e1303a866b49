package admitter

import (
	"context"
	"sync"
	"time"

	"burdocklink/limiter"
	"burdocklink/placer"
	"burdocklink/registrar"
	"burdocklink/router"
)

// Settings configure an Admitter.
type Settings struct {
	// Now reads the clock; nil means time.Now.
	Now func() time.Time
	// RetryBudget bounds the retries of each service; the zero value selects
	// limiter.DefaultBudget.
	RetryBudget limiter.BudgetSettings
}

// Admitter runs a Queue on its own goroutine and hands its decisions to callers.
// Start must be called before Acquire.
type Admitter struct {
	settings       Settings
	router         *router.Router
	queue          *Queue
	arrivals       chan *Ticket
	cancellations  chan cancellation
	wakeups        chan struct{}
	reserveUpdates chan float64
	demandQueries  chan chan placer.Demand
	stopping       chan struct{}
	stopped        chan struct{}
	stopOnce       sync.Once

	// completions is appended to by callers and emptied by run.
	completionsMutex sync.Mutex
	completions      []completion
}

// cancellation reports that the caller of a ticket has gone.
type cancellation struct {
	ticket *Ticket
	err    error
}

// completion is a grant whose dispatch has ended, on its way to run.
type completion struct {
	grant  *Grant
	result Result
}

// New returns an admitter that has not been started.
func New(router *router.Router, settings Settings) *Admitter {
	if settings.Now == nil {
		settings.Now = time.Now
	}
	queue := NewQueue(router, settings.Now())
	if settings.RetryBudget != (limiter.BudgetSettings{}) {
		queue.retryBudgets = newRetryBudgets(settings.RetryBudget)
	}
	return &Admitter{
		settings:       settings,
		router:         router,
		queue:          queue,
		arrivals:       make(chan *Ticket),
		cancellations:  make(chan cancellation),
		wakeups:        make(chan struct{}, 1),
		reserveUpdates: make(chan float64, 1),
		demandQueries:  make(chan chan placer.Demand),
		stopping:       make(chan struct{}),
		stopped:        make(chan struct{}),
	}
}

// String returns the service name.
func (a *Admitter) String() string { return "admitter" }

// Start starts the goroutine that owns the queue.
func (a *Admitter) Start(context.Context, *registrar.Registrar) error {
	go a.run()
	return nil
}

// Stop refuses all waiting requests with *StoppedError and waits for run to return.
func (a *Admitter) Stop(time.Time) error {
	a.stopOnce.Do(func() { close(a.stopping) })
	<-a.stopped
	return nil
}

// Acquire waits for an upstream. It returns *TargetMissedError, *OverloadError,
// *router.NoUpstreamError, *router.PausedError, *router.RateLimitedError or
// *StoppedError, or the context's error if the caller has gone. With any error the
// request has not been dispatched.
func (a *Admitter) Acquire(ctx context.Context, request Request) (*Grant, error) {
	return a.wait(ctx, newTicket(request))
}

// Reacquire waits for another upstream after a failed grant and avoids the
// upstreams tried so far. It must not be called for a request that may have run and
// must not be repeated. It returns *RetryBudgetError if the retry budget is spent,
// and otherwise the same errors as Acquire.
func (a *Admitter) Reacquire(ctx context.Context, grant *Grant) (*Grant, error) {
	return a.wait(ctx, newRetry(grant))
}

// AcquireRetry waits for an upstream for a request whose grant from another entry
// failed. It must not be called for a request that may have run and must not be
// repeated. If covered is true, the retry needs no further retry budget.
func (a *Admitter) AcquireRetry(ctx context.Context, request Request, covered bool) (*Grant, error) {
	t := newTicket(request)
	t.failed = &Grant{request: request, retryCovered: covered}
	return a.wait(ctx, t)
}

// Demand returns the demand counted since the start, for the control plane.
func (a *Admitter) Demand() placer.Demand {
	reply := make(chan placer.Demand, 1)
	select {
	case a.demandQueries <- reply:
		return <-reply
	case <-a.stopped:
		return a.queue.Demand()
	}
}

// SetRetryReserve sets how many retries each service's budget can save up.
func (a *Admitter) SetRetryReserve(reserve float64) {
	select {
	case a.reserveUpdates <- reserve:
	case <-a.stopped:
	}
}

// Wake makes the queue look for room again, after a report has arrived or the
// catalog has changed.
func (a *Admitter) Wake() {
	select {
	case a.wakeups <- struct{}{}:
	default:
	}
}

func (a *Admitter) wait(ctx context.Context, t *Ticket) (*Grant, error) {
	select {
	case a.arrivals <- t:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-a.stopping:
		return nil, &StoppedError{}
	}
	select {
	case d := <-t.answer:
		return d.Grant, d.Err
	case <-ctx.Done():
	}
	select {
	case a.cancellations <- cancellation{ticket: t, err: ctx.Err()}:
	case <-a.stopped:
	}
	d := <-t.answer
	if d.Grant != nil {
		d.Grant.Done(Result{Ended: a.settings.Now(), Outcome: router.OutcomeCancelled})
		return nil, ctx.Err()
	}
	return nil, d.Err
}

func (a *Admitter) complete(e completion) {
	a.completionsMutex.Lock()
	a.completions = append(a.completions, e)
	a.completionsMutex.Unlock()
	a.Wake()
}
