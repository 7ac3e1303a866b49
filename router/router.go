package router

import (
	"sync"
	"sync/atomic"
	"time"

	"burdocklink/cataloger"
	"burdocklink/estimator"
)

// Router chooses upstreams. Choose and the methods that report what became of
// a choice are safe for many goroutines.
type Router struct {
	settings Settings
	current  atomic.Pointer[table]
	// control orders the writers of the table.
	control sync.Mutex
	// heard is kept under the mutex, for incarnations that the catalog may know
	// again too.
	heard map[incarnation]heard
}

// New returns a router that knows no upstream.
func New(settings Settings) *Router {
	r := &Router{settings: settings, heard: map[incarnation]heard{}}
	r.current.Store(&table{})
	return r
}

// Update takes in a new catalog. What was measured of upstream incarnations
// that stay is kept.
func (r *Router) Update(catalog *cataloger.Catalog) {
	r.control.Lock()
	defer r.control.Unlock()
	next := newTable(r.current.Load(), catalog, r.settings.Entries)
	r.recall(next)
	r.current.Store(next)
}

// Observe takes in a load report that has arrived. A report of another
// incarnation than the catalog's is ignored.
func (r *Router) Observe(report estimator.Report) {
	if u := r.find(report.Upstream, report.Incarnation); u != nil {
		u.observe(report)
	}
}

// Started counts an own dispatch.
func (r *Router) Started(choice Choice, request *Request, now time.Time) {
	if u := r.find(choice.Upstream, choice.Incarnation); u != nil {
		u.started(now, request, choice.CachedTokens)
	}
}

// Finished takes in what was measured of an own dispatch.
func (r *Router) Finished(choice Choice, sample Sample) {
	if u := r.find(choice.Upstream, choice.Incarnation); u != nil {
		u.finished(&sample, choice.Predicted)
	}
}

// Unreachable counts a failure to reach an upstream that no dispatch has shown.
func (r *Router) Unreachable(name, incarnation string, now time.Time) {
	if u := r.find(name, incarnation); u != nil {
		u.unreachable(now)
	}
}

func (r *Router) find(name, incarnation string) *upstream {
	u := r.current.Load().upstreams[name]
	if u == nil || u.about.Incarnation != incarnation {
		return nil
	}
	return u
}
