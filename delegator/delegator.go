// Package delegator has the requests for a model admitted by one entry of a large
// fleet. With hundreds of entries that each see a few requests per second, no entry can
// tell from its own dispatches and the loads shared by others how much room an engine
// has left. The entry that owns a model knows all requests for it, queues them and
// chooses their engines. The entry that received a request from its caller sends it to
// the engine itself.
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
	"burdocklink/router"
)

const (
	// minEntries is the smallest number of entries with delegation. In smaller fleets
	// the entries share all their dispatches.
	minEntries = 26
	// maxOwnedUpstreams is the largest number of upstreams of a plain service that one
	// entry admits the requests for. Where there are more, few entries choose the same one
	// at a time, and one entry could not admit the requests for all.
	maxOwnedUpstreams = 8
	// plainReplyTimeout bounds the wait for the first reply about a plain service, whose
	// answers are due in a fraction of a second.
	plainReplyTimeout = 60 * time.Millisecond
	// firstReplyTimeout bounds the wait for an entry's first reply, including a new
	// connection, and replyTimeout the time between two replies. After the first one
	// expires, a target of half a second can still be met.
	firstReplyTimeout = 200 * time.Millisecond
	replyTimeout      = 600 * time.Millisecond
	// firstKeepalive is when the first keepalive for a queued request is sent, and
	// keepaliveInterval the time between two of them.
	firstKeepalive    = 30 * time.Millisecond
	keepaliveInterval = 200 * time.Millisecond
	// avoidDuration is how long an entry that did not answer is avoided.
	avoidDuration = time.Second
	// resultTimeout is how long after the caller's deadline the call of a request may
	// last.
	resultTimeout = 2 * time.Second
	// maxCallTime bounds the call for a request without a deadline.
	maxCallTime = 2 * time.Minute
)

// Admitter admits requests in this process.
type Admitter interface {
	Acquire(ctx context.Context, request admitter.Request) (*admitter.Grant, error)
	Reacquire(ctx context.Context, grant *admitter.Grant) (*admitter.Grant, error)
	// AcquireRetry admits a request whose grant by another entry failed. If covered is
	// true, the retry needs no further retry budget.
	AcquireRetry(ctx context.Context, request admitter.Request, covered bool) (*admitter.Grant, error)
}

// Settings configure a delegator.
type Settings struct {
	// Listen is the IP address and port at which other entries reach this one.
	Listen string
	// Capacity is this entry's share of a core, in thousandths; zero if unknown.
	Capacity int
	Links    *linker.Linker
	Local    Admitter
	// Holders has models loaded for requests of other entries.
	Holders chooser.Holders
	// HeldModels returns the models that an upstream holds, by the router's names.
	HeldModels func(upstream string) []string
	// ServiceOf returns the service of an upstream, and Upstreams the number of upstreams of
	// a plain service, zero for other services. Nil if requests for plain services are
	// admitted where they arrive.
	ServiceOf func(upstream string) string
	Upstreams func(service string) int
	// Metrics registers the counters; nil for none.
	Metrics metrics.Registry
	Log     *zap.Logger
}

// Delegator is safe for concurrent use.
type Delegator struct {
	settings Settings
	ring     *ring
	counters counters
}

// counters are the delegator's metrics.
type counters struct{ delegated, unanswered, served metrics.Counter }

// New returns a delegator without other entries.
func New(settings Settings) *Delegator {
	if settings.Metrics == nil {
		settings.Metrics = metrics.NewRegistry()
	}
	return &Delegator{
		settings: settings,
		ring:     newRing(settings.Listen, settings.Capacity),
		counters: counters{
			delegated:  metrics.GetOrRegisterCounter("admissions-delegated", settings.Metrics),
			unanswered: metrics.GetOrRegisterCounter("admissions-unanswered", settings.Metrics),
			served:     metrics.GetOrRegisterCounter("admissions-for-others", settings.Metrics),
		},
	}
}

// SetPeers sets the addresses of the other entries, and their capacities.
func (d *Delegator) SetPeers(others map[string]int) { d.ring.setPeers(others) }

// Acquire waits for an upstream at the entry that owns the model or plain service, at its
// deputy if the owner does not answer, and otherwise in this process. It returns what the admitter returns,
// or a *chooser.AbsentError.
func (d *Delegator) Acquire(ctx context.Context, request admitter.Request) (*admitter.Grant, error) {
	delegated := delegation{request: request}
	return d.admit(ctx, &delegated, func() (*admitter.Grant, error) {
		local := delegated.request
		local.Route.Thorough = d.delegates(d.subject(&local.Route))
		return d.settings.Local.Acquire(ctx, local)
	})
}

// Reacquire waits for another upstream after a failed grant, avoiding those already tried.
// It must not be called for a request that may have run and must not be repeated.
func (d *Delegator) Reacquire(ctx context.Context, grant *admitter.Grant) (*admitter.Grant, error) {
	request, covered := grant.RetryRequest()
	delegated := delegation{request: request, retry: true, covered: covered}
	return d.admit(ctx, &delegated, func() (*admitter.Grant, error) { return d.settings.Local.Reacquire(ctx, grant) })
}

// subject returns what the entry that admits a request owns: a model, or a plain service
// with few upstreams. It is empty if the request is admitted where it arrives.
func (d *Delegator) subject(route *router.Request) string {
	if route.BaseModel != "" {
		return route.BaseModel
	}
	return d.ownedService(route.Service)
}

// servicePrefix distinguishes plain services from models.
const servicePrefix = "service "

// ownedService returns the subject of a plain service; empty if its requests are admitted
// where they arrive.
func (d *Delegator) ownedService(service string) string {
	if d.settings.Upstreams == nil {
		return ""
	}
	if count := d.settings.Upstreams(service); count == 0 || count > maxOwnedUpstreams {
		return ""
	}
	return servicePrefix + service
}

// delegates reports whether requests for a subject are admitted by one entry.
func (d *Delegator) delegates(subject string) bool {
	return subject != "" && d.ring.size() >= minEntries
}

// admit asks the entries that may admit a request in order, and admits it locally when
// this entry is next.
func (d *Delegator) admit(ctx context.Context, delegated *delegation, local func() (*admitter.Grant, error)) (*admitter.Grant, error) {
	subject := d.subject(&delegated.request.Route)
	if !d.delegates(subject) {
		return local()
	}
	for _, address := range d.ring.candidates(subject, time.Now()) {
		if address == d.settings.Listen {
			return local()
		}
		start := time.Now()
		grant, err := d.delegate(ctx, address, delegated)
		var unanswered *UnansweredError
		if !errors.As(err, &unanswered) {
			return grant, err
		}
		d.counters.unanswered.Inc(1)
		d.ring.avoid(address, time.Now().Add(avoidDuration))
		d.settings.Log.Info("entry did not answer; admitting request elsewhere", zap.String("entry", address), zap.String("subject", subject),
			zap.Duration("waited", time.Since(start)), zap.Error(err))
		// The entry may have counted the request before it stopped answering.
		delegated.request.Counted = true
	}
	return local()
}

// InterestedEntries returns the entries to share this entry's dispatches to an upstream
// with, which are those that admit requests for its models or plain service. It returns nil
// for all entries.
func (d *Delegator) InterestedEntries(upstream string) []string {
	if d.ring.size() < minEntries {
		return nil
	}
	subjects := d.settings.HeldModels(upstream)
	if len(subjects) == 0 && d.settings.ServiceOf != nil {
		if subject := d.ownedService(d.settings.ServiceOf(upstream)); subject != "" {
			subjects = []string{subject}
		}
	}
	if len(subjects) == 0 {
		return nil
	}
	now := time.Now()
	interested := make([]string, 0, len(subjects))
	for _, subject := range subjects {
		candidates := d.ring.candidates(subject, now)
		if len(candidates) > 0 && candidates[0] != d.settings.Listen {
			interested = append(interested, candidates[0])
		}
	}
	slices.Sort(interested)
	return slices.Compact(interested)
}

// UnknownReplyError reports a reply of unknown type from another entry.
type UnknownReplyError struct{}

// Error describes the answer.
func (e *UnknownReplyError) Error() string { return "unknown reply type" }

// UnansweredError reports that an entry did not answer in time, or no longer admits
// requests for others.
type UnansweredError struct{ Cause error }

// Error describes the failure.
func (e *UnansweredError) Error() string {
	if e.Cause == nil {
		return "no answer in time"
	}
	return "no answer: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnansweredError) Unwrap() error { return e.Cause }
