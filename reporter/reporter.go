// Package reporter counts what became of requests, per class and per
// subscriber, and writes the counts in the Prometheus text format.
package reporter

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"burdocklink/classifier"
)

// Other stands for all subscribers beyond the bound.
const Other = "other"

// bounds of what is kept.
const (
	defaultSubscribers = 256
	maxClasses         = 128
	// sampleSize is the number of values behind one histogram.
	sampleSize = 512
)

// Settings bound a reporter.
type Settings struct {
	// Subscribers is how many subscribers have histograms of their own; zero
	// takes the default.
	Subscribers int
}

// Result is how a request ended.
type Result int

const (
	// ResultWhole is a whole answer.
	ResultWhole Result = iota + 1
	// ResultRefused is a request that did not run.
	ResultRefused
	// ResultFailed is a request that ran, or may have, without a whole answer.
	ResultFailed
	// ResultAbandoned is a request whose caller left.
	ResultAbandoned
)

// String returns the result's word in metrics.
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

// Sample is what became of one request.
type Sample struct {
	Class      classifier.Class
	Subscriber string
	Arrived    time.Time
	// FirstToken is zero where none came.
	FirstToken time.Time
	Ended      time.Time
	Tokens     int
	Result     Result
}

// Met returns true where the request had all that its class promises.
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

// firstToken returns the wait for the first token, or for the whole answer of
// a request without tokens.
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

// Attainment counts the requests of a class.
type Attainment struct {
	// Met is how many had all that the class promises.
	Met int64
	// Total is how many ended; those whose caller left do not count.
	Total int64
}

// Reporter keeps the counts of a process.
type Reporter struct {
	settings Settings
	registry metrics.Registry

	mu          sync.RWMutex
	classes     map[string]*series
	subscribers map[string]*series
}

// New returns a reporter without counts.
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

// Registry returns the registry, for counts that other parts keep. Names in
// kebab case without labels appear in the text as they are.
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

// seriesFor returns the series of a name, or the one of all others once the bound
// is reached.
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
