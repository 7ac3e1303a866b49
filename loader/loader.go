// Package loader sends requests to running entries at the times that a seed
// gives, whether or not earlier ones have been answered, and measures what the
// callers see.
package loader

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Settings of a run.
type Settings struct {
	// Entries are base URLs; requests go round them.
	Entries []string
	// Key is a subscriber's key.
	Key string
	// Models are asked in turn of a skewed draw: the first most often.
	Models []string
	// Class is the class of all requests; empty for the entries' default.
	Class string
	// Rate is the mean number of arrivals a second.
	Rate float64
	// Requests is how many requests are sent.
	Requests int
	// PromptWords and AnswerTokens are the sizes of each request.
	PromptWords  int
	AnswerTokens int
	Seed         uint64
	// Timeout is the longest wait for one answer.
	Timeout time.Duration
}

// Outcome is how one request ended for its caller.
type Outcome int

const (
	// Completed is an answer with its terminal event.
	Completed Outcome = iota + 1
	// Refused is a refusal that says when to come back.
	Refused
	// Failed is any other failure that the caller was told of.
	Failed
	// Truncated is a stream that ended cleanly without its terminal event.
	Truncated
)

// Sample is what a caller saw of one request.
type Sample struct {
	Outcome    Outcome
	FirstToken time.Duration
	Total      time.Duration
	Tokens     int
}

// Gap is the mean time between two tokens, zero for fewer than two.
func (s Sample) Gap() time.Duration {
	if s.Tokens < 2 {
		return 0
	}
	return (s.Total - s.FirstToken) / time.Duration(s.Tokens-1)
}

// Result is what a run gave.
type Result struct {
	Samples  []Sample
	Duration time.Duration
}

// Loader makes one run.
type Loader struct {
	settings Settings
	client   *http.Client
	random   *rand.Rand
	inFlight sync.WaitGroup

	mu      sync.Mutex
	samples []Sample
}

// most connections that are kept open to an entry.
const maxIdleConnections = 256

// New returns a loader.
func New(settings Settings) *Loader {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: settings.Timeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
	}
	return &Loader{
		settings: settings,
		client:   &http.Client{Transport: transport},
		random:   rand.New(rand.NewPCG(settings.Seed, 1)),
	}
}

// Run sends all requests and waits for their answers. It stops sending once
// the context ends.
func (l *Loader) Run(ctx context.Context) Result {
	start := time.Now()
	next := start
	for number := range l.settings.Requests {
		gap := l.random.ExpFloat64() / l.settings.Rate
		next = next.Add(time.Duration(gap * float64(time.Second)))
		if !sleepUntil(ctx, next) {
			break
		}
		call := l.newCall(number)
		l.inFlight.Add(1)
		go l.run(ctx, call)
	}
	l.inFlight.Wait()
	l.client.CloseIdleConnections()
	return Result{Samples: l.samples, Duration: time.Since(start)}
}

// run sends one request and keeps its sample.
func (l *Loader) run(ctx context.Context, c call) {
	defer l.inFlight.Done()
	limited, cancel := context.WithTimeout(ctx, l.settings.Timeout)
	defer cancel()
	sample := l.send(limited, c)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, sample)
}

// sleepUntil returns false once the context ends.
func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
