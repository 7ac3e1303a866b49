package forwarder_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"burdocklink/admitter"
	"burdocklink/chooser"
	"burdocklink/dispatcher"
	"burdocklink/forwarder"
	"burdocklink/matcher"
	"burdocklink/reporter"
	"burdocklink/router"
)

// codec returns a codec for a minimal protocol of these tests.
func codec() forwarder.Codec {
	return forwarder.Codec{
		DecodeRequest: func(r *http.Request, now time.Time) (forwarder.Request, error) {
			request := forwarder.Request{ID: r.Header.Get("Id"), Key: r.Header.Get("Key"), LastEvent: r.Header.Get("After"), Resumes: r.Header.Get("Resumes"), Model: r.Header.Get("Model")}
			if request.ID == "" {
				return request, &forwarder.MalformedError{Field: "Id"}
			}
			if text := r.Header.Get("Wait"); text != "" {
				wait, _ := time.ParseDuration(text)
				request.Deadline = now.Add(wait)
			}
			return request, nil
		},
		EncodeRequest: func(from http.Header, send forwarder.UpstreamRequest) http.Header {
			header := from.Clone()
			header.Del("Connection")
			header.Set("Upstream", send.Upstream)
			header.Set("After", send.LastEvent)
			if send.HidesKey {
				header.Del("Key")
				header.Set("Organisation", send.Organisation)
			}
			return header
		},
		DecodeAnswer: func(response *http.Response, now time.Time) forwarder.AnswerInfo {
			notice := router.Notice{Leaving: response.Header.Get("Leaving") != ""}
			if pause, err := time.ParseDuration(response.Header.Get("Pause")); err == nil {
				notice.PausedUntil = now.Add(pause)
			}
			return forwarder.AnswerInfo{
				Notice: notice, UnreadablePause: response.Header.Get("Unreadable"),
				NotRun: response.Header.Get("Not-Run") != "", Signed: response.Header.Get("Signed") != "",
				Misdirected: response.StatusCode == http.StatusMisdirectedRequest,
			}
		},
		AnswerHeader: func(to, from http.Header) {
			for _, name := range []string{"Signed", "Content-Type", "Id"} {
				if values, given := from[name]; given {
					to[name] = values
				}
			}
		},
		OwnsAnswer: func(id string, header http.Header) bool {
			return header.Get("Id") == "" || header.Get("Id") == id
		},
	}
}

// admission grants upstreams in turn.
type admission struct {
	mutex     sync.Mutex
	upstreams []string
	next      int
	// software maps upstreams by name to their software version.
	software map[string]string
	// err is returned if no upstream is left; block makes Acquire wait.
	err   error
	block bool
	// acquired counts the calls of Acquire, counted those for new requests.
	acquired, counted int
	last              admitter.Request
}

func (a *admission) Acquire(ctx context.Context, request admitter.Request) (*admitter.Grant, error) {
	if a.block {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.acquired, a.last = a.acquired+1, request
	if !request.Counted {
		a.counted++
	}
	for a.next < len(a.upstreams) {
		a.next++
		name := "u" + strconv.Itoa(a.next)
		origin := request.Route.Origin
		if !origin.IsZero() && a.software[name] != origin.Software {
			continue
		}
		choice := router.Choice{Upstream: name, Incarnation: name + "@1", Address: a.upstreams[a.next-1], Software: a.software[name]}
		return admitter.NewGrant("", choice, request, false, nil), nil
	}
	if origin := request.Route.Origin; origin.Software != "" {
		return nil, &router.OriginGoneError{Origin: origin}
	}
	return nil, a.err
}

func (a *admission) Reacquire(ctx context.Context, grant *admitter.Grant) (*admitter.Grant, error) {
	request, _ := grant.RetryRequest()
	return a.Acquire(ctx, admitter.Request{Route: router.Request{Origin: request.Route.Origin}})
}

// holders reports all models but one as absent.
type holders struct{ held string }

func (*holders) Name(service, model, _ string) string { return service + model }

func (h *holders) Want(_ context.Context, requirement chooser.Requirement) error {
	if requirement.Model == h.held {
		return nil
	}
	return &chooser.AbsentError{Model: requirement.Model, RetryAt: time.Now().Add(7 * time.Second)}
}

// upstreams records notices and limits, and disallows one upstream by name, and lets one leave.
type upstreams struct {
	mutex      sync.Mutex
	notices    []router.Notice
	unreadable []string
	disallowed string
	leaving    string
	limits     []router.RateLimit
}

func (u *upstreams) ObserveNotice(_ router.Choice, notice router.Notice, unreadable string) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if notice != (router.Notice{}) {
		u.notices = append(u.notices, notice)
	}
	if unreadable != "" {
		u.unreadable = append(u.unreadable, unreadable)
	}
}

func (u *upstreams) ObserveLimit(_ router.Choice, sentAt time.Time, limit router.RateLimit, unreadable string) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if sentAt.IsZero() || sentAt.After(time.Now()) {
		u.unreadable = append(u.unreadable, "implausible time of sending")
	}
	if limit.Announced {
		u.limits = append(u.limits, limit)
	}
	if unreadable != "" {
		u.unreadable = append(u.unreadable, unreadable)
	}
}

func (u *upstreams) Limit(router.Choice) router.RateLimit { return router.RateLimit{} }

func (u *upstreams) Allows(choice router.Choice) bool { return choice.Upstream != u.disallowed }

func (u *upstreams) Leaving(choice router.Choice) bool { return choice.Upstream == u.leaving }

// rig is a forwarder with test upstreams.
type rig struct {
	t         *testing.T
	forwarder *forwarder.Forwarder
	admission *admission
	upstreams *upstreams
	table     atomic.Pointer[matcher.Table]
	// runs counts the requests that the upstreams received.
	runs atomic.Int32
	// asked counts the requests of askParts.
	asked int
}

func newRig(t *testing.T, route matcher.Route, handlers ...http.HandlerFunc) *rig {
	t.Helper()
	r := &rig{t: t, admission: &admission{err: &admitter.RetryBudgetError{}}, upstreams: &upstreams{}}
	for _, handle := range handlers {
		r.admission.upstreams = append(r.admission.upstreams, r.serve(handle))
	}
	route.Name, route.Host, route.Prefix = "route", "a.example", "/x/"
	route.Split = []matcher.WeightedService{{Service: "s", Weight: 1}}
	if route.Timeout == 0 {
		route.Timeout = 5 * time.Second
	}
	route.MaxAttempts = max(1, route.MaxAttempts)
	r.table.Store(matcher.NewTable(&matcher.Configuration{
		Version: 1, Routes: []matcher.Route{route},
		Services: map[string]matcher.Service{"s": {Name: "s", Engine: &matcher.Engine{TokensPerEvent: 3}}},
		Limits:   matcher.Limits{BodyBytes: 1 << 10},
	}))
	calls := dispatcher.New(dispatcher.Settings{})
	t.Cleanup(calls.Close)
	r.forwarder = forwarder.New(forwarder.Config{
		Listen: "127.0.0.1:0", Codec: withParts(codec()), Table: r.table.Load, Ready: func() error { return nil },
		Admitter: r.admission, Holders: &holders{held: "unreachable"}, Calls: calls, Upstreams: r.upstreams,
		Reporter: reporter.New(reporter.Settings{}), Log: zap.NewNop(),
	})
	assert.NilError(t, r.forwarder.Start(t.Context(), nil))
	t.Cleanup(func() { _ = r.forwarder.Stop(time.Now().Add(5 * time.Second)) })
	return r
}

func (r *rig) serve(handle http.HandlerFunc) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(r.t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		r.runs.Add(1)
		handle(w, request)
	})}
	go func() { _ = server.Serve(listener) }()
	r.t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// reply is the answer that a caller receives.
type reply struct {
	status int
	header http.Header
	body   string
	// err is set if the answer is incomplete.
	err error
}

func (r *rig) ask(method, path, body string, header map[string]string) reply {
	r.t.Helper()
	request, err := http.NewRequest(method, "http://"+r.forwarder.Address()+path, strings.NewReader(body))
	assert.NilError(r.t, err)
	request.Host = "a.example"
	request.Header.Set("Id", "r1")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return reply{status: response.StatusCode, header: response.Header, body: string(data), err: err}
}

func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Signed", "yes")
		w.Header().Set("Id", r.Header.Get("Id"))
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

func notRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// events streams the events with the IDs from to to, and then aborts unless ends is true.
func events(from, to int, ends bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Signed", "u"+strconv.Itoa(from))
		w.Header().Set("Content-Type", "text/event-stream")
		after, _ := strconv.Atoi(r.Header.Get("After"))
		for id := max(from, after+1); id <= to; id++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", id, id)
			_ = http.NewResponseController(w).Flush()
		}
		if !ends {
			_, _ = io.WriteString(w, "id: 99\nda")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

func eventText(from, to int) string {
	text := ""
	for id := from; id <= to; id++ {
		text += fmt.Sprintf("id: %d\ndata: %d\n\n", id, id)
	}
	return text
}

func TestWholeAnswers(t *testing.T) {
	idempotent := matcher.Route{Kind: matcher.Idempotent, MaxAttempts: 2}
	nonIdempotent := matcher.Route{Kind: matcher.NonIdempotent, MaxAttempts: 2}
	cases := map[string]struct {
		route     matcher.Route
		upstreams []http.HandlerFunc
		status    int
		body      string
		runs      int32
	}{
		"success":                     {nonIdempotent, []http.HandlerFunc{respond(200, "ok")}, 200, "ok", 1},
		"failure passed on":           {nonIdempotent, []http.HandlerFunc{respond(500, "no"), respond(200, "ok")}, 500, "no", 1},
		"failure retried":             {idempotent, []http.HandlerFunc{respond(500, "no"), respond(200, "ok")}, 200, "ok", 2},
		"two failures":                {idempotent, []http.HandlerFunc{respond(500, "a"), respond(500, "b"), respond(200, "ok")}, 500, "b", 2},
		"failure, no other upstream":  {idempotent, []http.HandlerFunc{respond(500, "a")}, 500, "a", 1},
		"not run, sent to another":    {nonIdempotent, []http.HandlerFunc{notRun, respond(200, "ok")}, 200, "ok", 2},
		"not run anywhere":            {nonIdempotent, []http.HandlerFunc{notRun, notRun}, 503, "", 2},
		"lost, may not be repeated":   {nonIdempotent, []http.HandlerFunc{abort, respond(200, "ok")}, 502, "", 1},
		"lost, repeated":              {idempotent, []http.HandlerFunc{abort, respond(200, "ok")}, 200, "ok", 2},
		"lost after not run":          {nonIdempotent, []http.HandlerFunc{notRun, abort, respond(200, "ok")}, 502, "", 2},
		"success without a signature": {nonIdempotent, []http.HandlerFunc{func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(200) }}, 502, "", 1},
		"503 without not-run header":  {nonIdempotent, []http.HandlerFunc{respond(503, "x"), respond(200, "ok")}, 502, "", 1},
		"429 without not-run header":  {nonIdempotent, []http.HandlerFunc{respond(429, "x")}, 502, "", 1},
		"body cut short": {nonIdempotent, []http.HandlerFunc{func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Signed", "yes")
			w.Header().Set("Content-Length", "9")
			_, _ = io.WriteString(w, "half")
		}}, 502, "", 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, c.route, c.upstreams...)
			got := r.ask(http.MethodPost, "/x/1", "body", nil)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, c.status)
			assert.Equal(t, got.body, c.body)
			assert.Equal(t, r.runs.Load(), c.runs)
		})
	}
}

func TestRequestsReachTheUpstreamUnchanged(t *testing.T) {
	var method, uri, host, body, upstream string
	r := newRig(t, matcher.Route{Kind: matcher.NonIdempotent}, func(w http.ResponseWriter, request *http.Request) {
		data, _ := io.ReadAll(request.Body)
		method, uri, host, body = request.Method, request.RequestURI, request.Host, string(data)
		upstream = request.Header.Get("Upstream")
		respond(200, "ok")(w, request)
	})
	got := r.ask(http.MethodPut, "/x/a%2Fb?c=%20", "the body", nil)
	assert.NilError(t, got.err)
	assert.Equal(t, method, http.MethodPut)
	assert.Equal(t, uri, "/x/a%2Fb?c=%20")
	assert.Equal(t, host, "a.example")
	assert.Equal(t, body, "the body")
	assert.Equal(t, upstream, "u1")
}

func TestRefusals(t *testing.T) {
	cases := map[string]struct {
		path, body string
		header     map[string]string
		change     func(*rig)
		status     int
		retry      bool
	}{
		"no route":         {path: "/y/1", status: 404},
		"no ID":            {path: "/x/1", header: map[string]string{"Id": ""}, status: 400},
		"body too large":   {path: "/x/1", body: strings.Repeat("x", 2<<10), status: 413},
		"no configuration": {path: "/x/1", change: func(r *rig) { r.table.Store(nil) }, status: 503, retry: true},
		"overload": {path: "/x/1", change: func(r *rig) {
			r.admission.upstreams, r.admission.err = nil, &admitter.OverloadError{RetryAt: time.Now().Add(time.Second)}
		}, status: 503, retry: true},
		"all paused": {path: "/x/1", header: map[string]string{"Model": "m"}, change: func(r *rig) {
			r.admission.upstreams, r.admission.err = nil, &router.PausedError{RetryAt: time.Now().Add(3 * time.Second)}
		}, status: 503, retry: true},
		"model held nowhere": {path: "/x/1", header: map[string]string{"Model": "m"}, change: func(r *rig) {
			r.admission.upstreams, r.admission.err = nil, &router.NoUpstreamError{}
		}, status: 503, retry: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, matcher.Route{Kind: matcher.NonIdempotent}, respond(200, "ok"))
			if c.change != nil {
				c.change(r)
			}
			got := r.ask(http.MethodPost, c.path, c.body, c.header)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, c.status)
			assert.Equal(t, r.runs.Load(), int32(0))
			assert.Equal(t, got.header.Get("Retry-After") != "", c.retry)
		})
	}
}

// Guards against requests that are refused by a restarted process while its control
// group elects a leader: their callers come back late, and many not at all.
func TestRequestsWaitForFirstConfiguration(t *testing.T) {
	cases := map[string]struct {
		configuredAfter time.Duration
		wait            string
		status          int
		least, most     time.Duration
	}{
		"configured soon":  {configuredAfter: 200 * time.Millisecond, wait: "3s", status: 200, least: 150 * time.Millisecond, most: 900 * time.Millisecond},
		"caller in a rush": {configuredAfter: time.Hour, wait: "200ms", status: 503, least: 50 * time.Millisecond, most: 190 * time.Millisecond},
		"not configured":   {configuredAfter: time.Hour, wait: "20s", status: 503, least: 500 * time.Millisecond, most: 2500 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, matcher.Route{Kind: matcher.NonIdempotent}, respond(200, "ok"))
			table := r.table.Swap(nil)
			configured := time.AfterFunc(c.configuredAfter, func() { r.table.Store(table) })
			defer configured.Stop()
			start := time.Now()
			got := r.ask(http.MethodPost, "/x/1", "", map[string]string{"Wait": c.wait})
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, c.status)
			took := time.Since(start)
			assert.Assert(t, took >= c.least && took <= c.most, "%s", took)
		})
	}
}

// Guards against a busy loop: while the only holder of a model was unreachable, each
// request asked for the holder thousands of times (load test cpf-verifica, scale 1).
func TestUnreachableHolderIsRetriedWithBackoff(t *testing.T) {
	r := newRig(t, matcher.Route{Kind: matcher.NonIdempotent}, respond(200, "ok"))
	r.admission.upstreams, r.admission.err = nil, &router.NoUpstreamError{}
	got := r.ask(http.MethodPost, "/x/1", "", map[string]string{"Model": "unreachable", "Wait": "300ms"})
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Assert(t, r.admission.acquired <= 300/50+2, "asked %d times", r.admission.acquired)
	assert.Equal(t, r.admission.counted, 1)
}

// Guards against queueing requests too late to be answered: retried requests with two
// seconds left were queued until their callers gave up (load test grown
// cukorvirag-foglalo, scale 1).
func TestRequestIsNotQueuedNearItsDeadline(t *testing.T) {
	cases := map[string]struct {
		wait  string
		limit time.Duration
	}{
		"long deadline":  {"5s", 2 * time.Second},
		"short deadline": {"1s", 500 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, matcher.Route{Kind: matcher.Streaming, Target: 500 * time.Millisecond}, respond(200, "ok"))
			before := time.Now()
			got := r.ask(http.MethodPost, "/x/1", "", map[string]string{"Wait": c.wait})
			assert.NilError(t, got.err)
			useful := r.admission.last.UsefulUntil.Sub(r.admission.last.Arrived)
			assert.Assert(t, useful <= c.limit && useful > 0, "%v", useful)
			assert.Assert(t, !r.admission.last.Arrived.Before(before))
		})
	}
}

func TestTimeouts(t *testing.T) {
	slow := func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }
	cases := map[string]struct {
		block  bool
		status int
		runs   int32
	}{
		"waiting for an upstream": {true, 503, 0},
		"at an upstream":          {false, 504, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, matcher.Route{Kind: matcher.NonIdempotent, Timeout: 60 * time.Millisecond}, slow)
			r.admission.block = c.block
			got := r.ask(http.MethodPost, "/x/1", "", nil)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, c.status)
			assert.Equal(t, r.runs.Load(), c.runs)
		})
	}
}

func TestStreams(t *testing.T) {
	resumable := matcher.Route{Kind: matcher.Streaming, Resumable: true, MaxAttempts: 2}
	threeAttempts := matcher.Route{Kind: matcher.Streaming, Resumable: true, MaxAttempts: 3}
	plain := matcher.Route{Kind: matcher.Streaming, MaxAttempts: 2}
	cases := map[string]struct {
		route     matcher.Route
		upstreams []http.HandlerFunc
		body      string
		complete  bool
		runs      int32
	}{
		"whole":                      {plain, []http.HandlerFunc{events(1, 5, true)}, eventText(1, 5), true, 1},
		"broken, not resumable":      {plain, []http.HandlerFunc{events(1, 3, false), events(1, 5, true)}, eventText(1, 3), false, 1},
		"broken, resumed":            {resumable, []http.HandlerFunc{events(1, 3, false), events(1, 5, true)}, eventText(1, 5), true, 2},
		"broken, no attempts left":   {resumable, []http.HandlerFunc{events(1, 2, false), events(1, 4, false), events(1, 5, true)}, eventText(1, 4), false, 2},
		"gap in event IDs":           {resumable, []http.HandlerFunc{events(1, 2, false), events(4, 5, true)}, eventText(1, 2), false, 2},
		"not run before first event": {plain, []http.HandlerFunc{notRun, events(1, 2, true)}, eventText(1, 2), true, 2},
		"failure not appended":       {resumable, []http.HandlerFunc{events(1, 2, false), respond(500, "no")}, eventText(1, 2), false, 2},
		"refusal not appended":       {resumable, []http.HandlerFunc{events(1, 2, false), respond(404, "no")}, eventText(1, 2), false, 2},
		"success not appended":       {resumable, []http.HandlerFunc{events(1, 2, false), respond(201, "no")}, eventText(1, 2), false, 2},
		"resumed after a failure":    {threeAttempts, []http.HandlerFunc{events(1, 2, false), respond(500, "no"), events(1, 5, true)}, eventText(1, 5), true, 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, c.route, c.upstreams...)
			got := r.ask(http.MethodPost, "/x/1", "", nil)
			assert.Equal(t, got.status, 200)
			assert.Equal(t, got.body, c.body)
			assert.Equal(t, got.err == nil, c.complete)
			assert.Equal(t, got.header.Get("Signed"), "u1")
			assert.Equal(t, r.runs.Load(), c.runs)
		})
	}
}

// unsigned removes the upstream's signature from the answer of handle.
func unsigned(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) { handle(&unsignedWriter{ResponseWriter: w}, r) }
}

// unsignedWriter removes the signature from the header.
type unsignedWriter struct{ http.ResponseWriter }

// Write removes the signature before the header is sent.
func (w *unsignedWriter) Write(data []byte) (int, error) {
	w.Header().Del("Signed")
	return w.ResponseWriter.Write(data)
}

// Unwrap is used by http.ResponseController.
func (w *unsignedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// An unsigned stream must not be relayed to a caller, nor resume another stream.
func TestUnsignedStreamsAreNotPassedOn(t *testing.T) {
	resumable := matcher.Route{Kind: matcher.Streaming, Resumable: true, MaxAttempts: 2}
	plain := matcher.Route{Kind: matcher.Streaming, MaxAttempts: 2}
	cases := map[string]struct {
		route     matcher.Route
		upstreams []http.HandlerFunc
		status    int
		body      string
		complete  bool
	}{
		"first, not resumable":   {plain, []http.HandlerFunc{unsigned(events(1, 3, true)), events(1, 3, true)}, 502, "", true},
		"first, sent to another": {resumable, []http.HandlerFunc{unsigned(events(1, 3, true)), events(1, 3, true)}, 200, eventText(1, 3), true},
		"on resumption":          {resumable, []http.HandlerFunc{events(1, 2, false), unsigned(events(1, 3, true))}, 200, eventText(1, 2), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, c.route, c.upstreams...)
			got := r.ask(http.MethodPost, "/x/1", "", nil)
			assert.Equal(t, got.status, c.status)
			assert.Equal(t, got.body, c.body)
			assert.Equal(t, got.err == nil, c.complete)
		})
	}
}

// A caller that resumes a stream must neither miss events nor receive them twice.
func TestStreamsStartAfterLastEventOfCaller(t *testing.T) {
	resumable := matcher.Route{Kind: matcher.Streaming, Resumable: true, MaxAttempts: 2}
	plain := matcher.Route{Kind: matcher.Streaming, MaxAttempts: 2}
	cases := map[string]struct {
		route     matcher.Route
		after     string
		upstreams []http.HandlerFunc
		status    int
		body      string
	}{
		"resumed":                  {resumable, "3", []http.HandlerFunc{events(1, 5, true)}, 200, eventText(4, 5)},
		"starts too late, retried": {resumable, "3", []http.HandlerFunc{events(5, 6, true), events(1, 6, true)}, 200, eventText(4, 6)},
		"starts too early":         {resumable, "3", []http.HandlerFunc{respond(200, eventText(1, 5))}, 200, eventText(4, 5)},
		"error text":               {resumable, "3", []http.HandlerFunc{respond(200, "error: overloaded\n\n")}, 502, ""},
		"error text, retried":      {resumable, "3", []http.HandlerFunc{respond(200, "error: overloaded\n\n"), events(1, 5, true)}, 200, eventText(4, 5)},
		"not resumable":            {plain, "3", []http.HandlerFunc{respond(200, eventText(1, 5))}, 200, eventText(1, 5)},
		"last event not a number":  {resumable, "x", []http.HandlerFunc{events(2, 5, true)}, 200, eventText(2, 5)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, c.route, c.upstreams...)
			got := r.ask(http.MethodPost, "/x/1", "", map[string]string{"After": c.after})
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, c.status)
			assert.Equal(t, got.body, c.body)
		})
	}
}

// An answer without a length is complete only if its connection is closed, not if it is
// reset or goes silent.
func TestStreamsWithoutLengthEndOnlyWithTheirConnection(t *testing.T) {
	cases := map[string]struct {
		end      func(conn *net.TCPConn)
		complete bool
	}{
		"closed": {func(conn *net.TCPConn) { _ = conn.Close() }, true},
		"reset": {func(conn *net.TCPConn) {
			_ = conn.SetLinger(0)
			_ = conn.Close()
		}, false},
		"silent until the deadline": {func(*net.TCPConn) {}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			t.Cleanup(func() { close(release) })
			r := newRig(t, matcher.Route{Kind: matcher.Streaming}, func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nSigned: u1\r\n\r\n"+eventText(1, 2))
				time.Sleep(50 * time.Millisecond)
				c.end(conn.(*net.TCPConn))
				<-release
			})
			got := r.ask(http.MethodPost, "/x/1", "", map[string]string{"Wait": "300ms"})
			assert.Equal(t, got.status == http.StatusOK && got.err == nil, c.complete)
		})
	}
}

func TestStreamWithoutLengthThatEndsEarlyIsNotComplete(t *testing.T) {
	cases := map[string]string{
		"before the first event": "",
		"inside the first event": "id: 1\nda",
		"inside a later event":   eventText(1, 2) + "id: 3\ndata: 3\n",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, matcher.Route{Kind: matcher.Streaming}, func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nSigned: u1\r\n\r\n"+text)
				_ = conn.Close()
			})
			got := r.ask(http.MethodPost, "/x/1", "", nil)
			assert.Assert(t, got.status != http.StatusOK || got.err != nil, "%d %q", got.status, got.body)
		})
	}
}

func TestDisconnectedCallerIsCancelledUpstream(t *testing.T) {
	cancelled := make(chan struct{})
	r := newRig(t, matcher.Route{Kind: matcher.Streaming}, func(w http.ResponseWriter, request *http.Request) {
		w.Header().Set("Signed", "yes")
		_, _ = io.WriteString(w, "id: 1\ndata: 1\n\n")
		_ = http.NewResponseController(w).Flush()
		<-request.Context().Done()
		close(cancelled)
	})
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.forwarder.Address()+"/x/1", nil)
	assert.NilError(t, err)
	request.Host = "a.example"
	request.Header.Set("Id", "r1")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	cancel()
	_ = response.Body.Close()
	<-cancelled
}

func TestStopRefusesWaitingRequests(t *testing.T) {
	r := newRig(t, matcher.Route{Kind: matcher.NonIdempotent}, respond(200, "ok"))
	r.admission.block = true
	answered := make(chan reply, 1)
	go func() { answered <- r.ask(http.MethodPost, "/x/1", "", nil) }()
	for r.forwarder.Accepting() != nil {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	assert.NilError(t, r.forwarder.Stop(time.Now().Add(5*time.Second)))
	got := <-answered
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, 503)
	var draining *forwarder.DrainingError
	assert.Assert(t, errors.As(r.forwarder.Accepting(), &draining))
}

func TestNoRequestFollowsChunkedBody(t *testing.T) {
	r := newRig(t, matcher.Route{Kind: matcher.NonIdempotent}, respond(200, "ok"))
	conn, err := net.Dial("tcp", r.forwarder.Address())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nContent-Length: 5\r\n"+
		"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /x/2 HTTP/1.1\r\nHost: a.example\r\nId: smuggled\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	data, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(data), "HTTP/1.1 "), 1)
	assert.Assert(t, r.runs.Load() <= 1)
}
