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

func TestBrokenStreamsReachTheCallerWhole(t *testing.T) {
	cases := map[string]struct {
		cut     func(call string, event int) bool
		forgets bool
		stream  bool
		resumes bool
	}{
		"resumed":           {cut: cutAfter(3, 1), stream: true, resumes: true},
		"resumed, whole":    {cut: cutAfter(3, 1), resumes: true},
		"resumed twice":     {cut: cutAfter(3, 2), stream: true, resumes: true},
		"continued":         {cut: cutAfter(3, 1), forgets: true, stream: true},
		"continued, whole":  {cut: cutAfter(3, 1), forgets: true},
		"continued often":   {cut: cutAfter(2, 3), forgets: true, stream: true},
		"cut after the end": {cut: cutAfter(8, 1), forgets: true, stream: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			one := &engine{cut: c.cut, forgets: c.forgets}
			two := &engine{cut: c.cut, forgets: c.forgets}
			r := newRig(t, map[string]http.Handler{"engine-1": one, "engine-2": two})

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
			assert.Equal(t, one.count("GET")+two.count("GET") > 0 && !c.forgets, c.resumes)
		})
	}
}

// cutAfter cuts streams after an event, so many times over all engines.
func cutAfter(event int, times int64) func(string, int) bool {
	var cuts atomic.Int64
	return func(_ string, at int) bool { return at == event && cuts.Add(1) <= times }
}

func TestACutStreamNeverLooksComplete(t *testing.T) {
	// the engine is gone after the first events: nothing can go on
	broken := &engine{forgets: true}
	broken.cut = func(string, int) bool {
		broken.gone.Store(true)
		return true
	}
	r := newRig(t, map[string]http.Handler{"engine-1": broken})

	streamed := r.send("POST", encoder.PathChat, chat(true, 8))

	assert.ErrorIs(t, streamed.err, io.ErrUnexpectedEOF)
	body, _, ended := readStream(streamed.body)
	assert.Equal(t, body, text(1))
	assert.Assert(t, !ended)
}

func TestARefusalIsNotJoinedToAStream(t *testing.T) {
	cut := cutAfter(3, 1)
	r := newRig(t, map[string]http.Handler{
		"engine-1": &engine{cut: cut, forgets: true, refusesRest: true},
		"engine-2": &engine{cut: cut, forgets: true, refusesRest: true},
	})

	got := r.send("POST", encoder.PathChat, chat(true, 8))

	assert.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
	assert.Assert(t, !strings.Contains(got.body, "too long"), got.body)
	body, _, ended := readStream(got.body)
	assert.Equal(t, body, text(3))
	assert.Assert(t, !ended)
}

func TestLostCallerCancelsTheStreamUpstream(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	var once sync.Once
	defer close(release)
	one := &engine{hold: func(_ *http.Request, event int) {
		if event == 3 {
			once.Do(func() { close(begun) })
			<-release
		}
	}}
	r := newRig(t, map[string]http.Handler{"engine-1": one})
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	response, err := http.DefaultTransport.RoundTrip(r.request("POST", encoder.PathChat, chat(true, 8)).WithContext(ctx))
	assert.NilError(t, err)
	<-begun
	leave()
	_ = response.Body.Close()

	waitFor(t, "the stream is cancelled", func() bool { return one.count("DELETE "+encoder.PathStreams) == 1 })
}

func waitFor(t *testing.T, what string, reached func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if reached() {
			return poll.Success()
		}
		return poll.Continue("not yet: %s", what)
	}, poll.WithTimeout(soon))
}

func TestFirstTokensAreNotHeldBack(t *testing.T) {
	release := make(chan struct{})
	one := &engine{hold: func(_ *http.Request, event int) {
		if event == 2 {
			<-release
		}
	}}
	r := newRig(t, map[string]http.Handler{"engine-1": one})
	response, err := http.DefaultTransport.RoundTrip(r.request("POST", encoder.PathChat, chat(true, 2)))
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()

	line, err := bufio.NewReader(response.Body).ReadString('\n')

	assert.NilError(t, err)
	assert.Equal(t, line, "id: 1\n")
	close(release)
}

func TestASilentConnectionIsReplacedBeforeAnythingIsLost(t *testing.T) {
	for name, silentAt := range map[string]int{"before the first token": 1, "between tokens": 4} {
		t.Run(name, func(t *testing.T) {
			one := &engine{hold: func(r *http.Request, event int) {
				if r.Method == http.MethodPost && event == silentAt {
					<-r.Context().Done()
				}
			}}
			r := newRig(t, map[string]http.Handler{"engine-1": one}, func(c *receiver.Config) {
				c.Settings.FirstSilence = 100 * time.Millisecond
				c.Settings.NextSilence = 100 * time.Millisecond
			})

			got := r.send("POST", encoder.PathChat, chat(true, 8))

			body, _, ended := readStream(got.body)
			assert.Equal(t, body, text(8))
			assert.Assert(t, ended)
			assert.Equal(t, one.count("POST"), 1)
			assert.Equal(t, one.count("GET"), 1)
		})
	}
}

// trickling sends comments in place of an event until its caller closes.
type trickling struct {
	engine
	at int
}

// writerKey is where a request's context keeps its response.
type writerKey struct{}

func (f *trickling) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.engine.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), writerKey{}, w)))
}

func (f *trickling) trickle(r *http.Request, event int) {
	if r.Method != http.MethodPost || event != f.at {
		return
	}
	w := r.Context().Value(writerKey{}).(http.ResponseWriter)
	for r.Context().Err() == nil {
		_, _ = io.WriteString(w, ": \n")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

func TestAStalledStreamThatSendsAByteNowAndThenIsReplaced(t *testing.T) {
	for name, stalledAt := range map[string]int{"before the first token": 1, "between tokens": 4} {
		t.Run(name, func(t *testing.T) {
			one := &trickling{at: stalledAt}
			one.hold = one.trickle
			r := newRig(t, map[string]http.Handler{"engine-1": one}, func(c *receiver.Config) {
				c.Settings.FirstSilence = 300 * time.Millisecond
				c.Settings.NextSilence = 300 * time.Millisecond
				c.Settings.RequestTime = 5 * time.Second
			})

			got := r.send("POST", encoder.PathChat, chat(true, 8))

			body, _, ended := readStream(got.body)
			assert.Equal(t, body, text(8))
			assert.Assert(t, ended)
			assert.Equal(t, one.count("POST"), 1)
			assert.Equal(t, one.count("GET"), 1)
		})
	}
}

func TestASlowButSoundStreamIsNotCut(t *testing.T) {
	one := &engine{hold: func(*http.Request, int) { time.Sleep(200 * time.Millisecond) }}
	r := newRig(t, map[string]http.Handler{"engine-1": one}, func(c *receiver.Config) {
		c.Settings.FirstSilence = 600 * time.Millisecond
		c.Settings.NextSilence = 600 * time.Millisecond
	})

	got := r.send("POST", encoder.PathChat, chat(true, 8))

	body, _, ended := readStream(got.body)
	assert.Equal(t, body, text(8))
	assert.Assert(t, ended)
	assert.Equal(t, one.count("GET"), 0)
}

// freezing takes connections and answers nothing any more after a number of
// events. Of several that share a flag only the first that is asked freezes.
type freezing struct {
	engine
	after  int
	chosen *atomic.Bool
	frozen atomic.Bool
}

func (f *freezing) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.frozen.Load() {
		f.note(r.Method + " while frozen")
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	}
	if f.chosen.CompareAndSwap(false, true) {
		f.hold = func(r *http.Request, event int) {
			if event > f.after {
				f.frozen.Store(true)
				<-r.Context().Done()
			}
		}
	}
	f.engine.ServeHTTP(w, r)
}

func TestAFrozenEngineIsAskedOnceMoreAndThenLeft(t *testing.T) {
	for name, after := range map[string]int{"before the first token": 0, "between tokens": 3} {
		t.Run(name, func(t *testing.T) {
			var chosen atomic.Bool
			one := &freezing{after: after, chosen: &chosen}
			two := &freezing{after: after, chosen: &chosen}
			r := newRig(t, map[string]http.Handler{"engine-1": one, "engine-2": two}, func(c *receiver.Config) {
				c.Settings.FirstSilence = time.Hour
				c.Settings.NextSilence = time.Hour
			})
			r.catalog.Classes["interactive"] = classifier.Class{
				Name:   "interactive",
				Target: classifier.Target{FirstToken: time.Second, BetweenTokens: 20 * time.Millisecond},
			}

			got := r.send("POST", encoder.PathChat, chat(true, 8),
				encoder.HeaderDeadline, time.Now().Add(soon).Format(time.RFC3339Nano))

			body, _, ended := readStream(got.body)
			assert.Equal(t, body, text(8), got.body)
			assert.Assert(t, ended)
			assert.Equal(t, one.count("GET while frozen")+two.count("GET while frozen"), 1)
		})
	}
}

func TestDeadConnectionsOfThePoolDoNotReachTheCaller(t *testing.T) {
	one := &engine{}
	r := newRig(t, map[string]http.Handler{"engine-1": one}, func(c *receiver.Config) {
		c.Settings.FirstSilence = 200 * time.Millisecond
	})
	address := r.catalog.Upstreams["engine-1"].Address
	box := newForgetfulBox(t, address)
	r.reroute(r.catalog.Upstreams["engine-1"], box.listener.Addr().String())
	assert.Equal(t, r.send("POST", encoder.PathChat, chat(true, 2)).status, http.StatusOK)

	box.forget()
	got := r.send("POST", encoder.PathChat, chat(true, 8))

	body, _, ended := readStream(got.body)
	assert.Equal(t, body, text(8), got.body)
	assert.Assert(t, ended)
}

// forgetfulBox passes bytes on until it forgets the connections it has, which
// then stay open and silent.
type forgetfulBox struct {
	listener net.Listener
	target   string
	epoch    atomic.Int64
}

func newForgetfulBox(t *testing.T, target string) *forgetfulBox {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	box := &forgetfulBox{listener: listener, target: target}
	go box.run()
	return box
}

func (b *forgetfulBox) forget() { b.epoch.Add(1) }

func (b *forgetfulBox) run() {
	for {
		near, err := b.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", b.target)
		if err != nil {
			return
		}
		epoch := b.epoch.Load()
		go b.runCopy(far, near, epoch)
		go b.runCopy(near, far, epoch)
	}
}

func (b *forgetfulBox) runCopy(to, from net.Conn, epoch int64) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		forgotten := b.epoch.Load() != epoch
		if err != nil && !forgotten {
			_ = to.Close()
		}
		if err != nil {
			return
		}
		if forgotten {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func TestARequestGivenUpOnIsAnsweredAtOnce(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	one := &engine{hold: func(*http.Request, int) { <-release }}
	r := newRig(t, map[string]http.Handler{"engine-1": one}, func(c *receiver.Config) {
		c.Admitter = refusing{}
	})

	got := r.send("POST", encoder.PathChat, chat(true, 2))

	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.outcome(), encoder.OutcomeNotRun)
	assert.Equal(t, got.header.Get("Retry-After"), "3")
	assert.Assert(t, strings.Contains(got.body, "target-out-of-reach"), got.body)
}

// refusing gives up on every request.
type refusing struct{}

func (refusing) Acquire(context.Context, admitter.Request) (*admitter.Grant, error) {
	return nil, &admitter.TargetMissedError{RetryAt: time.Now().Add(2500 * time.Millisecond)}
}

func (refusing) Reacquire(context.Context, *admitter.Grant) (*admitter.Grant, error) {
	return nil, &admitter.RetryBudgetError{}
}

func TestAnEngineThatRefusesIsLeftForAnother(t *testing.T) {
	var refused atomic.Int64
	busy := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		refused.Add(1)
		w.Header().Set(encoder.HeaderNotRun, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	r := newRig(t, map[string]http.Handler{"engine-1": busy, "engine-2": &engine{}})
	for range 8 {
		got := r.send("POST", encoder.PathChat, chat(true, 2))
		body, _, _ := readStream(got.body)
		assert.Equal(t, body, text(2), got.body)
	}
	assert.Assert(t, refused.Load() > 0)
}

func TestAnEnginesRefusalOfTheRequestPasses(t *testing.T) {
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
