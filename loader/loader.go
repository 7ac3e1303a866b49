// Package loader generates open-loop load: it sends requests to running entries
// at seeded random times, whether or not earlier ones have been answered, and
// measures outcomes and latencies as seen by callers.
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
	// Entries are base URLs, used in turn.
	Entries []string
	// Key is the key of the subscriber that sends the requests.
	Key string
	// Models are drawn at random, the first ones most often.
	Models []string
	// Class is the class of all requests; empty for the entries' default.
	Class string
	// Rate is the mean number of arrivals per second.
	Rate float64
	// Requests is the number of requests to send.
	Requests int
	// PromptWords and AnswerTokens are the lengths of each prompt and answer.
	PromptWords  int
	AnswerTokens int
	Seed         uint64
	// Timeout bounds each request, and the dialing of its connection.
	Timeout time.Duration
}

// Outcome is how one request ended for its caller.
type Outcome int

const (
	// Completed means that the answer had its terminal event.
	Completed Outcome = iota + 1
	// Refused means that the request was refused with a Retry-After.
	Refused
	// Failed means any other failure that was visible to the caller.
	Failed
	// Truncated means that the stream ended cleanly without its terminal event.
	Truncated
)

// Sample is the outcome of one request, with times from its start.
type Sample struct {
	Outcome    Outcome
	FirstToken time.Duration
	Total      time.Duration
	Tokens     int
}

// Gap returns the mean time between two tokens, or zero for fewer than two.
func (s Sample) Gap() time.Duration {
	if s.Tokens < 2 {
		return 0
	}
	return (s.Total - s.FirstToken) / time.Duration(s.Tokens-1)
}

// Result contains the samples and the duration of a run.
type Result struct {
	Samples  []Sample
	Duration time.Duration
}

// Loader performs one run.
type Loader struct {
	settings Settings
	client   *http.Client
	random   *rand.Rand
	inFlight sync.WaitGroup

	mu      sync.Mutex
	samples []Sample
}

// maxIdleConnections applies to each entry.
const maxIdleConnections = 256

// New returns a loader that sends nothing until Run.
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

// Run sends all requests and waits for their answers. It stops sending when the
// context ends.
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

// run sends one request and records its sample.
func (l *Loader) run(ctx context.Context, c call) {
	defer l.inFlight.Done()
	limited, cancel := context.WithTimeout(ctx, l.settings.Timeout)
	defer cancel()
	sample := l.send(limited, c)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, sample)
}

// sleepUntil waits until a time. It returns false if the context has ended.
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
