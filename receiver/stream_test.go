package receiver_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"burdocklink/admitter"
	"burdocklink/classifier"
	"burdocklink/encoder"
	"burdocklink/receiver"
)

func TestBrokenStreamsAreCompletedForCaller(t *testing.T) {
	cases := map[string]struct {
		cutAt    func(call string, event int) bool
		noResume bool
		stream   bool
		resumes  bool
	}{
		"resumed":                 {cutAt: cutAfter(3, 1), stream: true, resumes: true},
		"resumed, not streamed":   {cutAt: cutAfter(3, 1), resumes: true},
		"resumed twice":           {cutAt: cutAfter(3, 2), stream: true, resumes: true},
		"continued":               {cutAt: cutAfter(3, 1), noResume: true, stream: true},
		"continued, not streamed": {cutAt: cutAfter(3, 1), noResume: true},
		"continued 3 times":       {cutAt: cutAfter(2, 3), noResume: true, stream: true},
		"cut after the end":       {cutAt: cutAfter(8, 1), noResume: true, stream: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			engine1 := &engine{cutAt: c.cutAt, noResume: c.noResume}
			engine2 := &engine{cutAt: c.cutAt, noResume: c.noResume}
			r := newRig(t, map[string]http.Handler{"engine-1": engine1, "engine-2": engine2})

			got := r.send("POST", encoder.PathChat, chat(c.stream, 8))

			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK, got.body)
			if !c.stream {
				assert.Assert(t, strings.Contains(got.body, `"content":"`+text(8)+`"`), got.body)
				return
			}
			body, ids, ended := readStream(got.body)
			assert.Equal(t, body, text(8))
			assert.Equal(t, len(ids), 1)
			assert.Assert(t, ended)
			assert.Equal(t, engine1.count("GET")+engine2.count("GET") > 0 && !c.noResume, c.resumes)
		})
	}
}

// cutAfter cuts streams after the given event, a limited number of times over all
// engines.
func cutAfter(event int, times int64) func(string, int) bool {
	var cuts atomic.Int64
	return func(_ string, at int) bool { return at == event && cuts.Add(1) <= times }
}

func TestACutStreamNeverLooksComplete(t *testing.T) {
	// the engine is down after the first event, so the answer cannot be continued
	broken := &engine{noResume: true}
	broken.cutAt = func(string, int) bool {
		broken.down.Store(true)
		return true
	}
	r := newRig(t, map[string]http.Handler{"engine-1": broken})

	streamed := r.send("POST", encoder.PathChat, chat(true, 8))

	assert.ErrorIs(t, streamed.err, io.ErrUnexpectedEOF)
	body, _, ended := readStream(streamed.body)
	assert.Equal(t, body, text(1))
	assert.Assert(t, !ended)
}

func TestAnswerIsNotContinuedAtAnotherSoftwareVersion(t *testing.T) {
	cases := map[string]struct {
		software map[string]string
		complete bool
	}{
		"another engine of the version": {map[string]string{"engine-1": "v1", "engine-2": "v1"}, true},
		"only other versions":           {map[string]string{"engine-1": "v1", "engine-2": "v2"}, false},
		"one version unknown":           {map[string]string{"engine-1": "v1"}, false},
		"no version named":              {nil, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var cuts atomic.Int32
			engines := map[string]http.Handler{}
			for _, name := range []string{"engine-1", "engine-2"} {
				broken := &engine{noResume: true}
				broken.cutAt = func(_ string, at int) bool {
					if at != 3 || cuts.Add(1) > 1 {
						return false
					}
					broken.down.Store(true)
					return true
				}
				engines[name] = broken
			}
			r := newRig(t, engines)
			for name, software := range c.software {
				listed := r.catalog.Upstreams[name]
				listed.Software = software
				r.catalog.Upstreams[name] = listed
			}
			r.router.Update(r.catalog)
			got := r.send("POST", encoder.PathChat, chat(true, 8))
			_, _, ended := readStream(got.body)
			assert.Equal(t, ended, c.complete)
			assert.Equal(t, got.err == nil, c.complete)
		})
	}
}

func TestRejectionIsNotAppendedToAStream(t *testing.T) {
	cut := cutAfter(3, 1)
	r := newRig(t, map[string]http.Handler{
		"engine-1": &engine{cutAt: cut, noResume: true, noContinuation: true},
		"engine-2": &engine{cutAt: cut, noResume: true, noContinuation: true},
	})

	got := r.send("POST", encoder.PathChat, chat(true, 8))

	assert.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
	assert.Assert(t, !strings.Contains(got.body, "too long"), got.body)
	body, _, ended := readStream(got.body)
	assert.Equal(t, body, text(3))
	assert.Assert(t, !ended)
}

func TestDisconnectedCallerCancelsStreamUpstream(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	var once sync.Once
	defer close(release)
	engine1 := &engine{beforeEvent: func(_ *http.Request, event int) {
		if event == 3 {
			once.Do(func() { close(started) })
			<-release
		}
	}}
	r := newRig(t, map[string]http.Handler{"engine-1": engine1})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	response, err := http.DefaultTransport.RoundTrip(r.request("POST", encoder.PathChat, chat(true, 8)).WithContext(ctx))
	assert.NilError(t, err)
	<-started
	cancel()
	_ = response.Body.Close()

	waitFor(t, "stream cancelled", func() bool { return engine1.count("DELETE "+encoder.PathStreams) == 1 })
}

func waitFor(t *testing.T, condition string, reached func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if reached() {
			return poll.Success()
		}
		return poll.Continue("condition not reached: %s", condition)
	}, poll.WithTimeout(testTimeout))
}

func TestFirstTokensAreNotDelayed(t *testing.T) {
	release := make(chan struct{})
	engine1 := &engine{beforeEvent: func(_ *http.Request, event int) {
		if event == 2 {
			<-release
		}
	}}
	r := newRig(t, map[string]http.Handler{"engine-1": engine1})
	response, err := http.DefaultTransport.RoundTrip(r.request("POST", encoder.PathChat, chat(true, 2)))
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()

	line, err := bufio.NewReader(response.Body).ReadString('\n')

	assert.NilError(t, err)
	assert.Equal(t, line, "id: 1\n")
	close(release)
}

func TestASilentConnectionIsReplacedBeforeAnythingIsLost(t *testing.T) {
	for name, silentEvent := range map[string]int{"before the first token": 1, "between tokens": 4} {
		t.Run(name, func(t *testing.T) {
			engine1 := &engine{beforeEvent: func(r *http.Request, event int) {
				if r.Method == http.MethodPost && event == silentEvent {
					<-r.Context().Done()
				}
			}}
			r := newRig(t, map[string]http.Handler{"engine-1": engine1}, func(c *receiver.Config) {
				c.Settings.FirstEventTimeout = 100 * time.Millisecond
				c.Settings.NextEventTimeout = 100 * time.Millisecond
			})

			got := r.send("POST", encoder.PathChat, chat(true, 8))

			body, _, ended := readStream(got.body)
			assert.Equal(t, body, text(8))
			assert.Assert(t, ended)
			assert.Equal(t, engine1.count("POST"), 1)
			assert.Equal(t, engine1.count("GET"), 1)
		})
	}
}

// tricklingEngine sends comments in place of an event until the caller disconnects.
type tricklingEngine struct {
	engine
	event int
}

// writerKey is the context key of the response writer.
type writerKey struct{}

func (e *tricklingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.engine.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), writerKey{}, w)))
}

func (e *tricklingEngine) trickle(r *http.Request, event int) {
	if r.Method != http.MethodPost || event != e.event {
		return
	}
	w := r.Context().Value(writerKey{}).(http.ResponseWriter)
	for r.Context().Err() == nil {
		_, _ = io.WriteString(w, ": \n")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

func TestStalledStreamWithKeepAliveCommentsIsReplaced(t *testing.T) {
	for name, stalledEvent := range map[string]int{"before the first token": 1, "between tokens": 4} {
		t.Run(name, func(t *testing.T) {
			engine1 := &tricklingEngine{event: stalledEvent}
			engine1.beforeEvent = engine1.trickle
			r := newRig(t, map[string]http.Handler{"engine-1": engine1}, func(c *receiver.Config) {
				c.Settings.FirstEventTimeout = 300 * time.Millisecond
				c.Settings.NextEventTimeout = 300 * time.Millisecond
				c.Settings.RequestTimeout = 5 * time.Second
			})

			got := r.send("POST", encoder.PathChat, chat(true, 8))

			body, _, ended := readStream(got.body)
			assert.Equal(t, body, text(8))
			assert.Assert(t, ended)
			assert.Equal(t, engine1.count("POST"), 1)
			assert.Equal(t, engine1.count("GET"), 1)
		})
	}
}

func TestSlowButHealthyStreamIsNotCut(t *testing.T) {
	engine1 := &engine{beforeEvent: func(*http.Request, int) { time.Sleep(200 * time.Millisecond) }}
	r := newRig(t, map[string]http.Handler{"engine-1": engine1}, func(c *receiver.Config) {
		c.Settings.FirstEventTimeout = 600 * time.Millisecond
		c.Settings.NextEventTimeout = 600 * time.Millisecond
	})

	got := r.send("POST", encoder.PathChat, chat(true, 8))

	body, _, ended := readStream(got.body)
	assert.Equal(t, body, text(8))
	assert.Assert(t, ended)
	assert.Equal(t, engine1.count("GET"), 0)
}

// freezingEngine accepts connections but stops answering after a number of events. Of
// several engines that share claimed, only the first that gets a request freezes.
type freezingEngine struct {
	engine
	after   int
	claimed *atomic.Bool
	frozen  atomic.Bool
}

func (e *freezingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.frozen.Load() {
		e.recordCall(r.Method + " while frozen")
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	}
	if e.claimed.CompareAndSwap(false, true) {
		e.beforeEvent = func(r *http.Request, event int) {
			if event > e.after {
				e.frozen.Store(true)
				<-r.Context().Done()
			}
		}
	}
	e.engine.ServeHTTP(w, r)
}

func TestFrozenEngineIsRetriedOnceThenReplaced(t *testing.T) {
	for name, after := range map[string]int{"before the first token": 0, "between tokens": 3} {
		t.Run(name, func(t *testing.T) {
			var chosen atomic.Bool
			engine1 := &freezingEngine{after: after, claimed: &chosen}
			engine2 := &freezingEngine{after: after, claimed: &chosen}
			r := newRig(t, map[string]http.Handler{"engine-1": engine1, "engine-2": engine2}, func(c *receiver.Config) {
				c.Settings.FirstEventTimeout = time.Hour
				c.Settings.NextEventTimeout = time.Hour
			})
			r.catalog.Classes["interactive"] = classifier.Class{
				Name:   "interactive",
				Target: classifier.Target{FirstToken: time.Second, BetweenTokens: 20 * time.Millisecond},
			}

			got := r.send("POST", encoder.PathChat, chat(true, 8),
				encoder.HeaderDeadline, time.Now().Add(testTimeout).Format(time.RFC3339Nano))

			body, _, ended := readStream(got.body)
			assert.Equal(t, body, text(8), got.body)
			assert.Assert(t, ended)
			assert.Equal(t, engine1.count("GET while frozen")+engine2.count("GET while frozen"), 1)
		})
	}
}

func TestDeadConnectionsOfThePoolDoNotReachTheCaller(t *testing.T) {
	engine1 := &engine{}
	r := newRig(t, map[string]http.Handler{"engine-1": engine1}, func(c *receiver.Config) {
		c.Settings.FirstEventTimeout = 200 * time.Millisecond
	})
	address := r.catalog.Upstreams["engine-1"].Address
	proxy := newBlackholeProxy(t, address)
	r.reroute(r.catalog.Upstreams["engine-1"], proxy.listener.Addr().String())
	assert.Equal(t, r.send("POST", encoder.PathChat, chat(true, 2)).status, http.StatusOK)

	proxy.blackhole()
	got := r.send("POST", encoder.PathChat, chat(true, 8))

	body, _, ended := readStream(got.body)
	assert.Equal(t, body, text(8), got.body)
	assert.Assert(t, ended)
}

// blackholeProxy forwards bytes until its connections are blackholed: they then stay
// open, but pass on nothing, as after a middlebox loses its connection state.
type blackholeProxy struct {
	listener net.Listener
	target   string
	epoch    atomic.Int64
}

func newBlackholeProxy(t *testing.T, target string) *blackholeProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	proxy := &blackholeProxy{listener: listener, target: target}
	go proxy.run()
	return proxy
}

func (p *blackholeProxy) blackhole() { p.epoch.Add(1) }

func (p *blackholeProxy) run() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			return
		}
		epoch := p.epoch.Load()
		go p.runCopy(server, client, epoch)
		go p.runCopy(client, server, epoch)
	}
}

func (p *blackholeProxy) runCopy(to, from net.Conn, epoch int64) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		blackholed := p.epoch.Load() != epoch
		if err != nil && !blackholed {
			_ = to.Close()
		}
		if err != nil {
			return
		}
		if blackholed {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func TestRefusedAdmissionIsAnsweredAtOnce(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	engine1 := &engine{beforeEvent: func(*http.Request, int) { <-release }}
	r := newRig(t, map[string]http.Handler{"engine-1": engine1}, func(c *receiver.Config) {
		c.Admitter = refusingAdmitter{}
	})

	got := r.send("POST", encoder.PathChat, chat(true, 2))

	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.outcome(), encoder.OutcomeNotRun)
	assert.Equal(t, got.header.Get("Retry-After"), "3")
	assert.Assert(t, strings.Contains(got.body, "target-out-of-reach"), got.body)
}

// refusingAdmitter refuses every request because its target can no longer be met.
type refusingAdmitter struct{}

func (refusingAdmitter) Acquire(context.Context, admitter.Request) (*admitter.Grant, error) {
	return nil, &admitter.TargetMissedError{RetryAt: time.Now().Add(2500 * time.Millisecond)}
}

func (refusingAdmitter) Reacquire(context.Context, *admitter.Grant) (*admitter.Grant, error) {
	return nil, &admitter.RetryBudgetError{}
}

func TestRequestRefusedByAnEngineGoesToAnother(t *testing.T) {
	var refused atomic.Int64
	refusing := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		refused.Add(1)
		w.Header().Set(encoder.HeaderNotRun, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	r := newRig(t, map[string]http.Handler{"engine-1": refusing, "engine-2": &engine{}})
	for range 8 {
		got := r.send("POST", encoder.PathChat, chat(true, 2))
		body, _, _ := readStream(got.body)
		assert.Equal(t, body, text(2), got.body)
	}
	assert.Assert(t, refused.Load() > 0)
}

func TestRejectionByAnEngineIsPassedOn(t *testing.T) {
	strict := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusUnprocessableEntity)
		_, _ = io.WriteString(w, `{"error":"temperature"}`)
	})
	r := newRig(t, map[string]http.Handler{"engine-1": strict})
	for _, stream := range []bool{true, false} {
		got := r.send("POST", encoder.PathChat, chat(stream, 2))
		assert.Equal(t, got.status, http.StatusUnprocessableEntity)
		assert.Equal(t, got.body, `{"error":"temperature"}`)
	}
}
