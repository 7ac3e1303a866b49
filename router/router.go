package router

import (
	"slices"
	"sync"
	"time"

	"burdocklink/cataloger"
	"burdocklink/estimator"
)

// Router chooses upstreams. It is safe for concurrent use.
type Router struct {
	settings Settings
	// mutex guards the table, which Choose reads and catalog updates change, and the
	// notices and limits of upstreams.
	mutex      sync.RWMutex
	table      *table
	dispatches *dispatchIndex
	peers      *peerIndex
	// notices includes incarnations that the catalog has dropped and may list again.
	notices map[incarnation]noticeState
	// speeds are by base model.
	speeds estimator.Speeds
	// limits holds the incarnations that have announced a rate limit.
	limits map[incarnation]*rateLimiter
	// reservationsDue receives when permits are wanted or a limit has to be announced.
	reservationsDue chan struct{}
}

// New returns a router without upstreams.
func New(settings Settings) *Router {
	return &Router{
		settings:        settings,
		table:           emptyTable(settings.Entries),
		dispatches:      newDispatchIndex(),
		peers:           newPeerIndex(),
		notices:         map[incarnation]noticeState{},
		limits:          map[incarnation]*rateLimiter{},
		reservationsDue: make(chan struct{}, 1),
	}
}

// Update replaces the catalog. It keeps the measurements of incarnations that stay.
func (r *Router) Update(catalog *cataloger.Catalog) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.table = newTable(r.table, catalog)
	for name := range r.table.upstreams {
		r.restore(name)
	}
}

// Apply applies changes of upstreams and placements and ignores others. Its cost
// depends on the size of the changes, not on the number of upstreams.
func (r *Router) Apply(changes []cataloger.Change) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, change := range changes {
		r.table.apply(change)
		if put, ok := change.(cataloger.PutUpstream); ok {
			r.restore(put.Upstream.Name)
		}
	}
}

// Observe records a load report. It ignores reports of incarnations other than the
// catalog's.
func (r *Router) Observe(report estimator.Report) {
	if u := r.find(report.Upstream, report.Incarnation); u != nil {
		u.observe(report)
	}
}

// Started records an own dispatch. It returns when the permit of a rate-limited
// upstream expires; zero if there is no permit or none is needed.
func (r *Router) Started(choice Choice, request *Request, now time.Time) time.Time {
	u := r.find(choice.Upstream, choice.Incarnation)
	if u == nil {
		return time.Time{}
	}
	until := u.started(now, request, r.size(request), choice.CachedTokens)
	r.dispatches.markChanged(choice.Upstream)
	return until
}

// Finished records the measurements of an own dispatch.
func (r *Router) Finished(choice Choice, sample Sample) {
	if u := r.find(choice.Upstream, choice.Incarnation); u != nil {
		u.finished(&sample, choice.PredictedFirstToken)
		if sample.Outcome == OutcomeFinished && sample.AnswerTokens >= minSpeedSampleTokens {
			r.speeds.Observe(sample.BaseModel, sample.TimeBetweenTokens())
		}
		r.dispatches.markChanged(choice.Upstream)
	}
}

// minSpeedSampleTokens is the shortest answer that shows how fast its upstream decodes.
const minSpeedSampleTokens = 32

// size returns the request's size with the speed of its model.
func (r *Router) size(request *Request) estimator.RequestSize {
	size := request.Size()
	size.Speed = r.speeds.Of(request.BaseModel)
	return size
}

// Unreachable records a failure to reach an upstream outside of a dispatch.
func (r *Router) Unreachable(name, incarnation string, now time.Time) {
	if u := r.find(name, incarnation); u != nil {
		u.unreachable(now)
	}
}

func (r *Router) find(name, incarnation string) *upstream {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.table.find(name, incarnation)
}

// HeldModels returns the models that an upstream holds; nil if it holds none or is
// unknown.
func (r *Router) HeldModels(upstream string) []string {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.table.placements[upstream].Models
}

// ServiceOf returns the service of an upstream; empty if it is unknown.
func (r *Router) ServiceOf(upstream string) string {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	if known := r.table.upstreams[upstream]; known != nil {
		return known.info.Service
	}
	return ""
}

// CountUpstreams returns the number of live upstreams of a service.
func (r *Router) CountUpstreams(service string) int {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return len(r.table.services[service])
}

// HasHolder reports whether a live upstream holds a model or adapter, at a software version
// if that is not empty.
func (r *Router) HasHolder(name, software string) bool {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return slices.ContainsFunc(r.table.holders[name], func(u *upstream) bool {
		return software == "" || u.info.Software == software
	})
}
