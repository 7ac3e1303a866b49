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

// Settings of an admitter.
type Settings struct {
	// Now reads the clock; nil is time.Now.
	Now func() time.Time
	// RetryBudget bound second dispatches to each service; zero takes the standard
	// bounds.
	RetryBudget limiter.BudgetSettings
}

// Admitter is the driver of the queue. Start it before Acquire.
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

	// endings is filled by callers and emptied by the loop.
	completionsMutex sync.Mutex
	completions      []completion
}

// cancellation is a caller that has gone.
type cancellation struct {
	ticket *Ticket
	err    error
}

// completion is a grant with its result on the way to the loop.
type completion struct {
	grant  *Grant
	result Result
}

// New returns an admitter that has not started.
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

// String names the service.
func (a *Admitter) String() string { return "admitter" }

// Start begins to admit requests.
func (a *Admitter) Start(context.Context, *registrar.Registrar) error {
	go a.run()
	return nil
}

// Stop answers all waiting requests with *StoppedError and ends.
func (a *Admitter) Stop(time.Time) error {
	a.stopOnce.Do(func() { close(a.stopping) })
	<-a.stopped
	return nil
}

// Acquire waits for an upstream. It returns *HopelessError, *OverloadError,
// *router.NoUpstreamError, *router.PausedError, *router.RationedError or
// *StoppedError, or the context's error where the caller has gone; in each case the
// request has not been dispatched.
func (a *Admitter) Acquire(ctx context.Context, request Request) (*Grant, error) {
	return a.wait(ctx, newTicket(request))
}

// Reacquire waits for another upstream after a grant that failed, avoiding the
// upstreams tried so far. It must not be called for a request that may have
// run and must not be repeated. It returns *BudgetError where too many
// requests are retries already, and else what Acquire returns.
func (a *Admitter) Reacquire(ctx context.Context, grant *Grant) (*Grant, error) {
	return a.wait(ctx, newRetry(grant))
}

// AcquireRetry waits for an upstream for a request whose grant by another entry failed. It
// must not be called for a request that may have run and must not be repeated. Paid
// is true where it needs none of the retry budget.
func (a *Admitter) AcquireRetry(ctx context.Context, request Request, covered bool) (*Grant, error) {
	t := newTicket(request)
	t.failed = &Grant{request: request, retryCovered: covered}
	return a.wait(ctx, t)
}

// Demand returns what was asked for since the start, for the control plane.
func (a *Admitter) Demand() placer.Demand {
	reply := make(chan placer.Demand, 1)
	select {
	case a.demandQueries <- reply:
		return <-reply
	case <-a.stopped:
		return a.queue.Demand()
	}
}

// SetRetryReserve changes how many retries can be saved up for each service.
func (a *Admitter) SetRetryReserve(reserve float64) {
	select {
	case a.reserveUpdates <- reserve:
	case <-a.stopped:
	}
}

// Wake says that capacity may have changed: a report arrived or the catalog
// changed.
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
