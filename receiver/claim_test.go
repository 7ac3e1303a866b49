package receiver_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"burdocklink/cataloger"
	"burdocklink/claimer"
	"burdocklink/encoder"
	"burdocklink/receiver"
)

const bookPath = "/services/naptar/book"

// lostError reports that a claim event or its result was lost.
type lostError struct{}

func (lostError) Error() string { return "lost" }

// calendar is a plain service that counts bookings. It answers with the function
// answer, if set.
type calendar struct {
	ran    atomic.Int64
	answer func(w http.ResponseWriter, r *http.Request)
}

func (c *calendar) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	c.ran.Add(1)
	if c.answer != nil {
		c.answer(w, r)
		return
	}
	_, _ = io.WriteString(w, "booked")
}

func (r *rig) book(body, key string) reply {
	r.t.Helper()
	return r.send("POST", bookPath, body, encoder.HeaderIdempotencyKey, key)
}

func TestNonIdempotentCallOutcomes(t *testing.T) {
	cases := map[string]struct {
		answer  func(w http.ResponseWriter, r *http.Request)
		outcome string
		// resend is the outcome of a resend, and ran the number of runs after it.
		resend string
		ran    int64
	}{
		"answer":       {outcome: encoder.OutcomeRan, resend: encoder.OutcomeRan, ran: 1},
		"error answer": {answer: respondWith(500, ""), outcome: encoder.OutcomeRan, resend: encoder.OutcomeRan, ran: 1},
		"503, not run": {answer: respondWith(503, "true"), outcome: encoder.OutcomeNotRun, resend: encoder.OutcomeNotRun, ran: 2},
		"503":          {answer: respondWith(503, ""), outcome: encoder.OutcomeUnknown, resend: encoder.OutcomeUnknown, ran: 1},
		"aborted":      {answer: abort, outcome: encoder.OutcomeUnknown, resend: encoder.OutcomeUnknown, ran: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			upstream := &calendar{answer: c.answer}
			r := newRig(t, map[string]http.Handler{"naptar-1": upstream})
			assert.Equal(t, r.book("slot", "k").outcome(), c.outcome)
			assert.Equal(t, r.book("slot", "k").outcome(), c.resend)
			assert.Equal(t, upstream.ran.Load(), c.ran)
		})
	}
}

func respondWith(code int, notRun string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		if notRun != "" {
			w.Header().Set(encoder.HeaderNotRun, notRun)
		}
		w.WriteHeader(code)
	}
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func TestKeyReusedForAnotherRequestIsAMismatch(t *testing.T) {
	upstream := &calendar{}
	r := newRig(t, map[string]http.Handler{"naptar-1": upstream})
	r.book("slot 7", "k")

	other := r.book("slot 8", "k")
	otherSubscriber := r.send("POST", bookPath, "slot 8", encoder.HeaderIdempotencyKey, "k", "Authorization", "Bearer key-b")

	assert.Equal(t, other.status, http.StatusUnprocessableEntity)
	assert.Equal(t, other.outcome(), encoder.OutcomeNotRun)
	assert.Equal(t, otherSubscriber.status, http.StatusOK, "another subscriber may use the same key")
	assert.Equal(t, upstream.ran.Load(), int64(2))
}

func TestUnreachableUpstreamIsNotRunAndAResendWorks(t *testing.T) {
	upstream := &calendar{}
	r := newRig(t, map[string]http.Handler{"naptar-1": upstream})
	listed := r.catalog.Upstreams["naptar-1"]
	r.reroute(listed, "127.0.0.1:1")

	refused := r.book("slot", "k")
	r.reroute(listed, listed.Address)
	resent := r.book("slot", "k")

	assert.Equal(t, refused.status, http.StatusBadGateway)
	assert.Equal(t, refused.outcome(), encoder.OutcomeNotRun)
	assert.Equal(t, resent.outcome(), encoder.OutcomeRan, resent.body)
	assert.Equal(t, upstream.ran.Load(), int64(1))
}

// reroute gives an upstream another address and a new incarnation.
func (r *rig) reroute(listed cataloger.Upstream, address string) {
	listed.Address = address
	listed.Incarnation += "-moved"
	next, err := r.catalog.With(cataloger.Delta{
		From:    r.catalog.Revision,
		To:      r.catalog.Revision + 1,
		Changes: []cataloger.Change{cataloger.PutUpstream{Upstream: listed}},
	})
	assert.NilError(r.t, err)
	r.catalog = next
	r.router.Update(next)
}

func TestUnansweredClaimEventsAreRepeated(t *testing.T) {
	cases := map[string]func() func(claimer.Event) (error, error){
		"event lost":  func() func(claimer.Event) (error, error) { return loseOnce(lostError{}, nil) },
		"result lost": func() func(claimer.Event) (error, error) { return loseOnce(nil, lostError{}) },
	}
	for name, fail := range cases {
		t.Run(name, func(t *testing.T) {
			upstream := &calendar{}
			r := newRig(t, map[string]http.Handler{"naptar-1": upstream})
			r.claims.fail = fail()
			assert.Equal(t, r.book("slot", "k").outcome(), encoder.OutcomeRan)
			assert.Equal(t, r.book("slot", "k").body, "booked")
			assert.Equal(t, upstream.ran.Load(), int64(1))
		})
	}
}

// loseOnce returns the errors for the first Open and the first Finish, and none for
// other events.
func loseOnce(before, after error) func(claimer.Event) (error, error) {
	opened, finished := false, false
	return func(event claimer.Event) (error, error) {
		switch event.(type) {
		case claimer.Open:
			if !opened {
				opened = true
				return before, after
			}
		case claimer.Finish:
			if !finished {
				finished = true
				return before, after
			}
		}
		return nil, nil
	}
}

func TestUnconfirmedClaimDispatchesNothing(t *testing.T) {
	upstream := &calendar{}
	r := newRig(t, map[string]http.Handler{"naptar-1": upstream})
	var down atomic.Bool
	down.Store(true)
	r.claims.fail = func(event claimer.Event) (error, error) {
		if !down.Load() {
			return nil, nil
		}
		if _, open := event.(claimer.Open); open {
			return nil, lostError{}
		}
		return lostError{}, nil
	}

	refused := r.book("slot", "k")
	down.Store(false)
	// the claim was opened nevertheless: its release lets a resend run
	var resent reply
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resent = r.book("slot", "k")
		if resent.outcome() == encoder.OutcomeRan {
			return poll.Success()
		}
		return poll.Continue("%d %s", resent.status, resent.body)
	}, poll.WithTimeout(testTimeout))

	assert.Equal(t, refused.status, http.StatusServiceUnavailable)
	assert.Equal(t, refused.outcome(), encoder.OutcomeNotRun)
	assert.Assert(t, refused.header.Get("Retry-After") != "")
	assert.Equal(t, upstream.ran.Load(), int64(1))
}

func TestClaimOpenedLateIsReleased(t *testing.T) {
	upstream := &calendar{}
	r := newRig(t, map[string]http.Handler{"naptar-1": upstream})
	late := make(chan claimer.Event, 1000)
	r.claims.fail = func(event claimer.Event) (error, error) {
		if _, open := event.(claimer.Open); !open {
			return nil, nil
		}
		late <- event
		return lostError{}, nil
	}

	refused := r.book("slot", "k")
	r.claims.mu.Lock()
	r.claims.fail = nil
	r.claims.apply(<-late)
	r.claims.mu.Unlock()
	resent := r.book("slot", "k")

	assert.Equal(t, refused.outcome(), encoder.OutcomeNotRun)
	assert.Equal(t, resent.outcome(), encoder.OutcomeRan, resent.body)
	assert.Equal(t, upstream.ran.Load(), int64(1))
}

func TestAnswerIsStoredBeforeCallerReceivesIt(t *testing.T) {
	r := newRig(t, map[string]http.Handler{"naptar-1": &calendar{}})

	r.book("slot", "k")

	finish, ok := r.claims.lastEvent().(claimer.Finish)
	assert.Assert(t, ok)
	assert.Equal(t, string(finish.Answer.Body), "booked")
}

func (t *claimTable) lastEvent() claimer.Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.events[len(t.events)-1]
}

func TestCallContinuesAfterCallerDisconnectsAndResendWaits(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	upstream := &calendar{answer: func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-release
		if r.Context().Err() == nil {
			_, _ = io.WriteString(w, "booked")
		}
	}}
	r := newRig(t, map[string]http.Handler{"naptar-1": upstream})
	ctx, cancel := context.WithCancel(context.Background())
	first := r.request("POST", bookPath, "slot", encoder.HeaderIdempotencyKey, "k").WithContext(ctx)
	var resent reply
	callers := &sync.WaitGroup{}
	callers.Add(2)
	go runCaller(callers, func() { _, _ = http.DefaultTransport.RoundTrip(first) })
	<-started
	cancel()
	go runCaller(callers, func() { resent = r.book("slot", "k") })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r.claims.openCount() > 2 {
			return poll.Success()
		}
		return poll.Continue("resend has not repeated its Open")
	}, poll.WithTimeout(testTimeout))
	close(release)
	callers.Wait()

	assert.Equal(t, resent.outcome(), encoder.OutcomeRan, resent.body)
	assert.Equal(t, resent.body, "booked")
	assert.Equal(t, upstream.ran.Load(), int64(1))
}

func runCaller(callers *sync.WaitGroup, call func()) {
	defer callers.Done()
	call()
}

func (t *claimTable) openCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, event := range t.events {
		if _, open := event.(claimer.Open); open {
			count++
		}
	}
	return count
}

func TestResendWaitIsBounded(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	upstream := &calendar{answer: func(http.ResponseWriter, *http.Request) { <-release }}
	r := newRig(t, map[string]http.Handler{"naptar-1": upstream}, func(c *receiver.Config) {
		c.Settings.PendingTimeout = 200 * time.Millisecond
		c.Settings.ClaimTimeout = 4 * time.Second
	})
	callers := &sync.WaitGroup{}
	callers.Add(1)
	go runCaller(callers, func() { r.book("slot", "k") })
	defer callers.Wait()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if upstream.ran.Load() == 1 {
			return poll.Success()
		}
		return poll.Continue("call has not started")
	}, poll.WithTimeout(testTimeout))

	got := r.book("slot", "k")

	assert.Equal(t, got.status, http.StatusConflict)
	assert.Equal(t, got.outcome(), encoder.OutcomeUnknown)
	assert.Assert(t, strings.Contains(got.body, "in-progress"))
	assert.Assert(t, got.header.Get("Retry-After") != "")
}

func TestLargeAnswersAreDeliveredAndNotStored(t *testing.T) {
	large := strings.Repeat("x", 5000)
	upstream := &calendar{answer: func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, large) }}
	r := newRig(t, map[string]http.Handler{"naptar-1": upstream}, func(c *receiver.Config) {
		c.Settings.MaxStoredBytes = 1000
	})

	first, resent := r.book("slot", "k"), r.book("slot", "k")

	assert.Equal(t, first.body, large)
	assert.Equal(t, resent.status, http.StatusGone)
	assert.Equal(t, resent.outcome(), encoder.OutcomeRan)
	assert.Equal(t, upstream.ran.Load(), int64(1))
}

func TestRequestWithoutKeyIsNotSentTwice(t *testing.T) {
	upstream := &calendar{answer: abort}
	r := newRig(t, map[string]http.Handler{"naptar-1": upstream, "naptar-2": upstream})

	got := r.send("POST", bookPath, "slot")

	assert.Equal(t, got.outcome(), encoder.OutcomeUnknown)
	assert.Equal(t, upstream.ran.Load(), int64(1))
	assert.Equal(t, len(r.claims.events), 0)
}
