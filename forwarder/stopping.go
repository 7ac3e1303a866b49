package forwarder

import (
	"sync"
	"time"

	"burdocklink/router"
)

const (
	// runTimeDecay is the part of the difference by which a route's run time falls with
	// each shorter run.
	runTimeDecay = 0.02
	// maxRunTimes is the number of routes whose run times are kept.
	maxRunTimes = 4096
)

// runTimes contains how long the longer ones of each route's recent requests ran, by route
// name. It is safe for concurrent use. The zero value is empty.
type runTimes struct {
	mutex  sync.Mutex
	routes map[string]time.Duration
}

// record records the run time of a request that was answered. A longer one counts at once.
func (t *runTimes) record(route string, ran time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, found := t.routes[route]
	if t.routes == nil || (!found && len(t.routes) >= maxRunTimes) {
		t.routes = map[string]time.Duration{}
	}
	t.routes[route] = max(ran, known-time.Duration(runTimeDecay*float64(known-ran)))
}

// expected returns the run time of a route's longer requests, or zero if none is known.
func (t *runTimes) expected(route string) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.routes[route]
}

// recordRunTime records how long the upstream took for the request.
func (x *exchange) recordRunTime(outcome router.Outcome) {
	if outcome == router.OutcomeFinished && !x.grant.Started.IsZero() {
		x.runTimes.record(x.route.Name, time.Since(x.grant.Started))
	}
}

// outlivesProcess reports whether the process ends before the answer to a request that is
// sent now.
func (x *exchange) outlivesProcess() bool {
	stopsAt := x.stopsAt.Load()
	return stopsAt != nil && time.Now().Add(x.runTimes.expected(x.route.Name)).After(*stopsAt)
}
