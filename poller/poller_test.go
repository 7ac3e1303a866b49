package poller_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"burdocklink/cataloger"
	"burdocklink/dispatcher"
	"burdocklink/encoder"
	"burdocklink/estimator"
	"burdocklink/poller"
)

// fleet is a set of upstreams that count their requests.
type fleet struct {
	catalog  *cataloger.Catalog
	requests []atomic.Int64
}

func newFleet(t *testing.T, size int, answer func(n int, w http.ResponseWriter, r *http.Request)) *fleet {
	t.Helper()
	f := &fleet{requests: make([]atomic.Int64, size)}
	changes := make([]cataloger.Change, 0, size)
	for n := range size {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.requests[n].Add(1)
			answer(n, w, r)
		}))
		t.Cleanup(server.Close)
		changes = append(changes, cataloger.PutUpstream{Upstream: cataloger.Upstream{
			Name:        "up-" + strconv.Itoa(n),
			Incarnation: "first",
			Address:     server.Listener.Addr().String(),
			Kind:        cataloger.PlainUpstream,
		}})
	}
	catalog, err := cataloger.New().With(cataloger.Delta{To: 1, Changes: changes})
	assert.NilError(t, err)
	f.catalog = catalog
	return f
}

func report(n int, incarnation string) encoder.LoadReport {
	return encoder.LoadReport{Upstream: "up-" + strconv.Itoa(n), Incarnation: incarnation, Leaving: true}
}

func send(w http.ResponseWriter, report encoder.LoadReport) { _ = json.NewEncoder(w).Encode(report) }

// recorder records the calls of a poller.
type recorder struct {
	mu          sync.Mutex
	reports     map[string]estimator.Report
	wakes       atomic.Int64
	unreachable atomic.Int64
}

func (s *recorder) observe(report estimator.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports[report.Upstream] = report
}

func (s *recorder) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.reports)
}

func start(t *testing.T, f *fleet, perRound int) *recorder {
	t.Helper()
	s := &recorder{reports: map[string]estimator.Report{}}
	p := poller.New(poller.Settings{
		Interval:      5 * time.Millisecond,
		Timeout:       150 * time.Millisecond,
		PerRound:      perRound,
		Catalog:       func() *cataloger.Catalog { return f.catalog },
		Observe:       s.observe,
		OnUnreachable: func(cataloger.Upstream) { s.unreachable.Add(1) },
		Wake:          func() { s.wakes.Add(1) },
		Calls:         dispatcher.New(dispatcher.Settings{}),
		Log:           zap.NewNop(),
	})
	assert.NilError(t, p.Start(context.Background(), nil))
	t.Cleanup(func() { assert.NilError(t, p.Stop(time.Now())) })
	return s
}

func waitFor(t *testing.T, condition string, reached func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if reached() {
			return poll.Success()
		}
		return poll.Continue("condition not reached: %s", condition)
	}, poll.WithTimeout(20*time.Second))
}

func TestEveryUpstreamIsPolled(t *testing.T) {
	f := newFleet(t, 7, func(n int, w http.ResponseWriter, _ *http.Request) { send(w, report(n, "first")) })
	s := start(t, f, 2)

	waitFor(t, "reports of all", func() bool { return s.count() == 7 && s.wakes.Load() > 3 })

	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Assert(t, s.reports["up-0"].Leaving)
	assert.Assert(t, !s.reports["up-0"].Received.IsZero())
}

func TestInvalidReportsAreNotObserved(t *testing.T) {
	answers := map[string]func(n int, w http.ResponseWriter, r *http.Request){
		"other incarnation": func(n int, w http.ResponseWriter, _ *http.Request) { send(w, report(n, "second")) },
		"other upstream":    func(n int, w http.ResponseWriter, _ *http.Request) { send(w, report(n+1, "first")) },
		"malformed":         func(_ int, w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) },
		"status 500":        func(_ int, w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) },
		"no response":       func(_ int, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1, answer)
			s := start(t, f, 8)
			waitFor(t, "polled again", func() bool { return f.requests[0].Load() > 2 })
			assert.Equal(t, s.count(), 0)
			if name == "no response" {
				waitFor(t, "reported as unreachable", func() bool { return s.unreachable.Load() > 0 })
				return
			}
			assert.Equal(t, s.unreachable.Load(), int64(0))
		})
	}
}

func TestSingleLostAnswerIsNotReported(t *testing.T) {
	var lost atomic.Bool
	f := newFleet(t, 1, func(n int, w http.ResponseWriter, _ *http.Request) {
		if !lost.Swap(true) {
			panic(http.ErrAbortHandler)
		}
		send(w, report(n, "first"))
	})
	s := start(t, f, 8)

	waitFor(t, "polled again", func() bool { return f.requests[0].Load() > 4 })

	assert.Equal(t, s.unreachable.Load(), int64(0))
}

func TestOneSilentUpstreamDoesNotBlockOthers(t *testing.T) {
	f := newFleet(t, 3, func(n int, w http.ResponseWriter, r *http.Request) {
		if n == 1 {
			<-r.Context().Done()
			return
		}
		send(w, report(n, "first"))
	})
	s := start(t, f, 8)

	waitFor(t, "reports of the others", func() bool { return s.count() == 2 && f.requests[2].Load() > 3 })
}

func TestServicesWithoutReportsArePolledOnce(t *testing.T) {
	f := newFleet(t, 2, func(n int, w http.ResponseWriter, _ *http.Request) {
		if n == 0 {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		send(w, report(n, "first"))
	})
	start(t, f, 8)

	waitFor(t, "more rounds", func() bool { return f.requests[1].Load() > 5 })

	assert.Equal(t, f.requests[0].Load(), int64(1))
}
