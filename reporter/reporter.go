// Package reporter counts the results of requests per class and subscriber and
// writes them in the Prometheus text format.
package reporter

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"burdocklink/classifier"
)

// Other is the label of all subscribers or classes beyond the limit.
const Other = "other"

// Limits of a reporter.
const (
	defaultSubscribers = 256
	maxClasses         = 128
	// sampleSize is the number of values sampled per histogram.
	sampleSize = 512
)

// Settings are the settings of a reporter.
type Settings struct {
	// Subscribers is the maximum number of subscribers with metrics of their own; zero
	// means 256.
	Subscribers int
}

// Result is the result of a request.
type Result int

const (
	// ResultWhole is a request that got a complete answer.
	ResultWhole Result = iota + 1
	// ResultRefused is a request that did not run.
	ResultRefused
	// ResultFailed is a request that ran, or may have run, without a complete answer.
	ResultFailed
	// ResultAbandoned is a request whose caller disconnected.
	ResultAbandoned
)

// String returns the result as it appears in metrics.
func (r Result) String() string {
	switch r {
	case ResultWhole:
		return "whole"
	case ResultRefused:
		return "refused"
	case ResultFailed:
		return "failed"
	case ResultAbandoned:
		return "abandoned"
	default:
		return "none"
	}
}

var allResults = []Result{ResultWhole, ResultRefused, ResultFailed, ResultAbandoned}

// Sample is the measurement of one request.
type Sample struct {
	Class      classifier.Class
	Subscriber string
	Arrived    time.Time
	// FirstToken is zero if there was no token.
	FirstToken time.Time
	Ended      time.Time
	Tokens     int
	Result     Result
}

// Met reports whether the request met all targets of its class.
func (s Sample) Met() bool {
	if s.Result != ResultWhole {
		return false
	}
	target := s.Class.Target
	if target.Whole > 0 && s.Ended.Sub(s.Arrived) > target.Whole {
		return false
	}
	if target.FirstToken > 0 && s.firstToken() > target.FirstToken {
		return false
	}
	return target.BetweenTokens <= 0 || s.betweenTokens() <= target.BetweenTokens
}

// firstToken returns the time to first token, or the time to the whole answer if
// there were no tokens.
func (s Sample) firstToken() time.Duration {
	if s.FirstToken.IsZero() {
		return s.Ended.Sub(s.Arrived)
	}
	return s.FirstToken.Sub(s.Arrived)
}

// betweenTokens returns the mean time between two tokens.
func (s Sample) betweenTokens() time.Duration {
	if s.FirstToken.IsZero() || s.Tokens < 2 {
		return 0
	}
	return s.Ended.Sub(s.FirstToken) / time.Duration(s.Tokens-1)
}

// Attainment counts the requests of a class and those that met its targets.
type Attainment struct {
	// Met is the number of requests that met all targets.
	Met int64
	// Total is the number of requests that ended, without abandoned ones.
	Total int64
}

// Reporter holds the metrics of a process. It is safe for concurrent use.
type Reporter struct {
	settings Settings
	registry metrics.Registry

	mu          sync.RWMutex
	classes     map[string]*series
	subscribers map[string]*series
}

// New returns an empty reporter.
func New(settings Settings) *Reporter {
	if settings.Subscribers <= 0 {
		settings.Subscribers = defaultSubscribers
	}
	return &Reporter{
		settings:    settings,
		registry:    metrics.NewRegistry(),
		classes:     map[string]*series{},
		subscribers: map[string]*series{},
	}
}

// Registry returns the registry for metrics of other packages. Its metrics have no
// labels; "-" and "." in their names are written as "_".
func (r *Reporter) Registry() metrics.Registry { return r.registry }

// Record counts a request.
func (r *Reporter) Record(sample Sample) {
	r.seriesFor(r.classes, sample.Class.Name, maxClasses).record(sample)
	r.seriesFor(r.subscribers, sample.Subscriber, r.settings.Subscribers).record(sample)
}

// Attainment returns the counts per class since the start.
func (r *Reporter) Attainment() map[string]Attainment {
	r.mu.RLock()
	defer r.mu.RUnlock()
	counts := make(map[string]Attainment, len(r.classes))
	for name, s := range r.classes {
		counts[name] = Attainment{Met: s.met.Count(), Total: s.counted.Count()}
	}
	return counts
}

// seriesFor returns the series of a name, or the shared series of all others if the
// limit is reached.
func (r *Reporter) seriesFor(all map[string]*series, name string, limit int) *series {
	r.mu.RLock()
	found := all[name]
	r.mu.RUnlock()
	if found != nil {
		return found
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(all) >= limit && all[name] == nil {
		name = Other
	}
	if all[name] == nil {
		all[name] = newSeries()
	}
	return all[name]
}
