package forwarder_test

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/matcher"
	"burdocklink/router"
)

// withHeader sets a header field before handle answers.
func withHeader(name, value string, handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(name, value)
		handle(w, r)
	}
}

// truncate sends half of an answer and aborts the connection.
func truncate(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Signed", "yes")
	w.Header().Set("Content-Length", "9")
	_, _ = w.Write([]byte("half"))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func TestNoticesAreTakenFromAnyAnswer(t *testing.T) {
	nonIdempotent := matcher.Route{Kind: matcher.NonIdempotent}
	streaming := matcher.Route{Kind: matcher.Streaming}
	misdirected := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	}
	cases := map[string]struct {
		route   matcher.Route
		handle  http.HandlerFunc
		leaving bool
	}{
		"success":               {nonIdempotent, withHeader("Leaving", "1", respond(200, "ok")), true},
		"failure":               {nonIdempotent, withHeader("Leaving", "1", respond(500, "no")), true},
		"refusal":               {nonIdempotent, withHeader("Leaving", "1", notRun), true},
		"misdirected":           {nonIdempotent, withHeader("Leaving", "1", misdirected), true},
		"truncated answer":      {nonIdempotent, withHeader("Leaving", "1", truncate), true},
		"stream":                {streaming, withHeader("Leaving", "1", events(1, 3, true)), true},
		"broken stream":         {streaming, withHeader("Leaving", "1", events(1, 3, false)), true},
		"refusal with pause":    {nonIdempotent, withHeader("Pause", "3s", notRun), false},
		"503 that may have run": {nonIdempotent, withHeader("Pause", "3s", respond(503, "no")), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, c.route, c.handle)
			before := time.Now()
			r.ask(http.MethodPost, "/x/1", "body", nil)
			assert.Equal(t, len(r.upstreams.notices), 1)
			got := r.upstreams.notices[0]
			assert.Equal(t, got.Leaving, c.leaving)
			assert.Equal(t, got.PausedUntil.After(before.Add(3*time.Second)), !c.leaving)
		})
	}
}

func TestLeavingNoticeIsTakenFromHeaderOfStream(t *testing.T) {
	noticed := make(chan struct{})
	r := newRig(t, matcher.Route{Kind: matcher.Streaming}, withHeader("Leaving", "1", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Signed", "yes")
		_ = http.NewResponseController(w).Flush()
		<-noticed
		events(1, 3, true)(w, r)
	}))
	ended := make(chan reply, 1)
	go func() { ended <- r.ask(http.MethodPost, "/x/1", "body", nil) }()
	for count := 0; count == 0; time.Sleep(time.Millisecond) {
		r.upstreams.mutex.Lock()
		count = len(r.upstreams.notices)
		r.upstreams.mutex.Unlock()
	}
	close(noticed)
	got := <-ended
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(1, 3))
}

func TestUnreadablePauseIsReported(t *testing.T) {
	r := newRig(t, matcher.Route{Kind: matcher.NonIdempotent}, withHeader("Unreadable", "tomorrow", notRun))
	r.ask(http.MethodPost, "/x/1", "", nil)
	assert.DeepEqual(t, r.upstreams.unreadable, []string{"tomorrow"})
	assert.Equal(t, len(r.upstreams.notices), 0)
}

// A request that was granted an upstream before the upstream's notice arrived is sent to
// another one, and counts as not sent to the first.
func TestGrantIsNotUsedAfterUpstreamLeft(t *testing.T) {
	r := newRig(t, matcher.Route{Kind: matcher.NonIdempotent}, respond(200, "first"), respond(200, "second"))
	r.upstreams.disallowed = "u1"
	got := r.ask(http.MethodPost, "/x/1", "", nil)
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, "second")
	assert.Equal(t, r.runs.Load(), int32(1))
}

// The upstream must not be avoided afterwards: it may be the only one, and accept the
// request a moment later.
func TestRequestWithLapsedGrantIsNotCountedAsRetry(t *testing.T) {
	r := newRig(t, matcher.Route{Kind: matcher.Idempotent}, respond(200, "first"), respond(200, "second"))
	r.upstreams.disallowed = "u1"
	got := r.ask(http.MethodGet, "/x/1", "", nil)
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, "second")
	assert.Equal(t, r.admission.acquired, 2)
	assert.Equal(t, r.admission.counted, 1)
	assert.Equal(t, r.admission.last.Route.Service, "s", "the request is admitted as a new one that avoids no upstream")
	assert.Equal(t, len(r.admission.last.Route.Avoid), 0)
}

func TestConnectionToLeavingUpstreamIsNotReused(t *testing.T) {
	cases := map[string]struct {
		handle      http.HandlerFunc
		connections int
	}{
		"stays":  {respond(200, "ok"), 1},
		"leaves": {withHeader("Leaving", "1", respond(200, "ok")), 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var connections atomic.Int32
			var lastAddress atomic.Value
			r := newRig(t, matcher.Route{Kind: matcher.NonIdempotent}, func(w http.ResponseWriter, request *http.Request) {
				if lastAddress.Swap(request.RemoteAddr) != request.RemoteAddr {
					connections.Add(1)
				}
				c.handle(w, request)
			})
			r.admission.upstreams = append(r.admission.upstreams, r.admission.upstreams[0])
			for range 2 {
				assert.Equal(t, r.ask(http.MethodPost, "/x/1", "", nil).status, 200)
			}
			assert.Equal(t, int(connections.Load()), c.connections)
		})
	}
}

func TestRetryAfterIsEndOfPause(t *testing.T) {
	r := newRig(t, matcher.Route{Kind: matcher.NonIdempotent})
	r.admission.err = &router.PausedError{RetryAt: time.Now().Add(3 * time.Second)}
	got := r.ask(http.MethodPost, "/x/1", "", nil)
	seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, seconds > 2.5 && seconds <= 3, "%v", seconds)
}
