package router

import (
	"sync"
	"time"

	"burdocklink/cataloger"
	"burdocklink/estimator"
)

// Router chooses upstreams. Choose and the methods that report what became of
// a choice are safe for many goroutines.
type Router struct {
	settings Settings
	// mutex guards the table, which Choose reads and news changes, and what
	// upstreams were heard to say.
	mutex      sync.RWMutex
	table      *table
	dispatches *dispatchIndex
	peers      *peerIndex
	// notices is kept for incarnations too that the catalog may know again.
	notices map[incarnation]noticeState
	// limits are of the incarnations that have named one.
	limits map[incarnation]*rateLimiter
	// reservationsDue receives where permits are wanted or a limit is to be told.
	reservationsDue chan struct{}
}

// New returns a router that knows no upstream.
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

// Update takes in a new catalog. What was measured of upstream incarnations
// that stay is kept.
func (r *Router) Update(catalog *cataloger.Catalog) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.table = newTable(r.table, catalog)
	for name := range r.table.upstreams {
		r.restore(name)
	}
}

// Apply takes in changes of upstreams and placements; others are passed over.
// It costs as much as the changes are large, however many upstreams there are.
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

// Observe takes in a load report that has arrived. A report of another
// incarnation than the catalog's is ignored.
func (r *Router) Observe(report estimator.Report) {
	if u := r.find(report.Upstream, report.Incarnation); u != nil {
		u.observe(report)
	}
}

// Started counts an own dispatch. It returns until when the request may be sent
// to an upstream that limits its requests; zero where it has no permit or needs
// none.
func (r *Router) Started(choice Choice, request *Request, now time.Time) time.Time {
	u := r.find(choice.Upstream, choice.Incarnation)
	if u == nil {
		return time.Time{}
	}
	until := u.started(now, request, choice.CachedTokens)
	r.dispatches.markChanged(choice.Upstream)
	return until
}

// Finished takes in what was measured of an own dispatch.
func (r *Router) Finished(choice Choice, sample Sample) {
	if u := r.find(choice.Upstream, choice.Incarnation); u != nil {
		u.finished(&sample, choice.PredictedFirstToken)
		r.dispatches.markChanged(choice.Upstream)
	}
}

// Unreachable counts a failure to reach an upstream that no dispatch has shown.
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

// HeldModels returns the models that an upstream holds; nil where it holds none or is not
// known.
func (r *Router) HeldModels(upstream string) []string {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.table.placements[upstream].Models
}

// HasHolder says whether a live upstream is known to hold a model or adapter.
func (r *Router) HasHolder(name string) bool {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return len(r.table.holders[name]) > 0
}
