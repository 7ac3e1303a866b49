// Package delegator has the requests for a model admitted by one entry of a large
// fleet. It answers the load of hundreds of entries that each see a few requests a
// second: none of them can know from its own dispatches, and from what the others
// tell of theirs, how much room an engine has left. The entry that a model belongs
// to knows all requests for it, queues them and chooses their engines; the entry
// that took a request from its caller sends it there itself.
package delegator

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"burdocklink/admitter"
	"burdocklink/chooser"
	"burdocklink/linker"
)

const (
	// leastEntries is from how many entries on requests are delegated. Fewer tell
	// each other all that they dispatch.
	leastEntries = 26
	// answerTime is how long an entry may take for its first answer, a new
	// connection included, and silence the longest time between two answers. A
	// target of half a second can still be met after the first.
	answerTime = 200 * time.Millisecond
	silence    = 600 * time.Millisecond
	// waitingFirst is when a request that is still in the queue is first told so,
	// and waitingEvery the time between two such words.
	waitingFirst = 30 * time.Millisecond
	waitingEvery = 200 * time.Millisecond
	// avoidTime is how long an entry that gave no answer is passed over.
	avoidTime = time.Second
	// settleTime is how long after its caller's time a request's call may last.
	settleTime = 2 * time.Second
	// longestCall bounds the call for a request without a deadline.
	longestCall = 2 * time.Minute
)

// Admitter admits requests in this process.
type Admitter interface {
	Acquire(ctx context.Context, request admitter.Request) (*admitter.Grant, error)
	Reacquire(ctx context.Context, grant *admitter.Grant) (*admitter.Grant, error)
	// AcquireRetry admits a request whose grant by another entry failed.
	AcquireRetry(ctx context.Context, request admitter.Request, paid bool) (*admitter.Grant, error)
}

// Settings are what a delegator needs.
type Settings struct {
	// Listen is the IP address and port at which other entries reach this one.
	Listen string
	Links  *linker.Linker
	Local  Admitter
	// Holders brings about that a model is held, for requests of other entries.
	Holders chooser.Holders
	// Held returns the models that an upstream holds, by the router's names.
	Held func(upstream string) []string
	// Metrics takes the counters; nil for none.
	Metrics metrics.Registry
	Log     *zap.Logger
}

// Delegator is safe for concurrent use.
type Delegator struct {
	settings Settings
	ring     *ring
	counts   counts
}

// counts are the delegator's metrics.
type counts struct{ delegated, silent, served metrics.Counter }

// New returns a delegator that knows no other entry.
func New(settings Settings) *Delegator {
	if settings.Metrics == nil {
		settings.Metrics = metrics.NewRegistry()
	}
	return &Delegator{
		settings: settings,
		ring:     newRing(settings.Listen),
		counts: counts{
			delegated: metrics.GetOrRegisterCounter("admissions-delegated", settings.Metrics),
			silent:    metrics.GetOrRegisterCounter("admissions-unanswered", settings.Metrics),
			served:    metrics.GetOrRegisterCounter("admissions-for-others", settings.Metrics),
		},
	}
}

// Meet sets the addresses of the other entries.
func (d *Delegator) Meet(others []string) { d.ring.meet(others) }

// Acquire waits for an upstream: at the entry that the model belongs to, at its
// deputy where that one is silent, and else in this process. It returns what the
// admitter returns, or a *chooser.AbsentError.
func (d *Delegator) Acquire(ctx context.Context, request admitter.Request) (*admitter.Grant, error) {
	ask := question{request: request}
	return d.admit(ctx, &ask, func() (*admitter.Grant, error) {
		local := ask.request
		local.Route.Thorough = d.delegates(local.Route.BaseModel)
		return d.settings.Local.Acquire(ctx, local)
	})
}

// Reacquire waits for another upstream after a grant that failed, avoiding those tried
// so far. It must not be called for a request that may have run and must not be
// repeated.
func (d *Delegator) Reacquire(ctx context.Context, grant *admitter.Grant) (*admitter.Grant, error) {
	request, paid := grant.RetryRequest()
	ask := question{request: request, retry: true, paid: paid}
	return d.admit(ctx, &ask, func() (*admitter.Grant, error) { return d.settings.Local.Reacquire(ctx, grant) })
}

// delegates says whether requests for a model are admitted by one entry.
func (d *Delegator) delegates(model string) bool {
	return model != "" && d.ring.size() >= leastEntries
}

// admit asks the entries that a request's model belongs to, one after the other,
// and admits the request here where this entry is the next.
func (d *Delegator) admit(ctx context.Context, ask *question, local func() (*admitter.Grant, error)) (*admitter.Grant, error) {
	model := ask.request.Route.BaseModel
	if !d.delegates(model) {
		return local()
	}
	for _, address := range d.ring.candidates(model, time.Now()) {
		if address == d.settings.Listen {
			return local()
		}
		began := time.Now()
		grant, err := d.ask(ctx, address, ask)
		var silent *SilentError
		if !errors.As(err, &silent) {
			return grant, err
		}
		d.counts.silent.Inc(1)
		d.ring.avoid(address, time.Now().Add(avoidTime))
		d.settings.Log.Info("entry admits no requests", zap.String("entry", address), zap.String("model", model),
			zap.Duration("waited", time.Since(began)), zap.Error(err))
		// it may have counted the request before it went silent
		ask.request.Counted = true
	}
	return local()
}

// Interested returns the entries that should know what this one dispatches to an
// upstream: those that admit requests for what it holds. It returns nil where all
// should, as for plain services.
func (d *Delegator) Interested(upstream string) []string {
	models := d.settings.Held(upstream)
	if len(models) == 0 || d.ring.size() < leastEntries {
		return nil
	}
	now := time.Now()
	interested := make([]string, 0, len(models))
	for _, model := range models {
		candidates := d.ring.candidates(model, now)
		if len(candidates) > 0 && candidates[0] != d.settings.Listen {
			interested = append(interested, candidates[0])
		}
	}
	slices.Sort(interested)
	return slices.Compact(interested)
}

// UnknownReplyError says that an answer of another entry is none that is known.
type UnknownReplyError struct{}

// Error describes the answer.
func (e *UnknownReplyError) Error() string { return "the answer is not known" }

// SilentError says that an entry gave no answer in time, or admits no requests for
// others any more.
type SilentError struct{ Cause error }

// Error describes the failure.
func (e *SilentError) Error() string {
	if e.Cause == nil {
		return "no answer in time"
	}
	return "no answer: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *SilentError) Unwrap() error { return e.Cause }
