package receiver_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/encoder"
	"burdocklink/receiver"
)

// backgroundStop stops the receiver in its own goroutine.
type backgroundStop struct {
	r        *rig
	deadline time.Time
	done     sync.WaitGroup
	err      error
}

func (b *backgroundStop) start() {
	b.done.Add(1)
	go b.run()
}

func (b *backgroundStop) run() {
	defer b.done.Done()
	b.err = b.r.receiver.Stop(b.deadline)
}

// stopInBackground starts to stop the receiver. The rig's cleanup does not stop it
// again.
func (r *rig) stopInBackground(deadline time.Time) *backgroundStop {
	r.stopped = true
	b := &backgroundStop{r: r, deadline: deadline}
	b.start()
	return b
}

func TestStopFailsReadinessFirstAndCutsNothing(t *testing.T) {
	released := make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	defer release()
	engine1 := &engine{beforeEvent: func(_ *http.Request, event int) {
		if event == 2 {
			<-released
		}
	}}
	r := newRig(t, map[string]http.Handler{"engine-1": engine1, "naptar-1": &calendar{}}, func(c *receiver.Config) {
		c.Settings.Linger = 300 * time.Millisecond
	})
	response, err := http.DefaultTransport.RoundTrip(r.request("POST", encoder.PathChat, chat(true, 5)))
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()

	stop := r.stopInBackground(time.Now().Add(testTimeout))
	waitFor(t, "readiness check failed", func() bool { return r.send("GET", "/readyz", "").status == http.StatusServiceUnavailable })
	late := r.send("POST", bookPath, "slot")
	assert.Equal(t, late.status, http.StatusOK, "requests that the load balancer still sends are served")
	assert.Assert(t, late.close, "connection is not reused")
	waitFor(t, "listener closed", func() bool {
		conn, err := net.Dial("tcp", r.receiver.Address())
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
	release()
	rest, err := io.ReadAll(response.Body)
	stop.done.Wait()

	assert.NilError(t, err)
	body, _, ended := readStream(string(rest))
	assert.Equal(t, body, text(5))
	assert.Assert(t, ended)
	assert.NilError(t, stop.err)
}

func TestStopCutsAtItsDeadlineAndReturnsAnError(t *testing.T) {
	release := make(chan struct{})
	engine1 := &engine{beforeEvent: func(_ *http.Request, event int) {
		if event == 2 {
			<-release
		}
	}}
	r := newRig(t, map[string]http.Handler{"engine-1": engine1})
	defer close(release)
	response, err := http.DefaultTransport.RoundTrip(r.request("POST", encoder.PathChat, chat(true, 5)))
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()

	stop := r.stopInBackground(time.Now().Add(100 * time.Millisecond))
	rest, err := io.ReadAll(response.Body)
	stop.done.Wait()

	assert.Assert(t, err != nil, "cut answer ended cleanly: %s", rest)
	assert.ErrorType(t, stop.err, &receiver.ShutdownError{})
}

func TestSlowReadersAreBounded(t *testing.T) {
	var sent atomic.Int64
	engine1 := &engine{pad: strings.Repeat("x", 20_000), beforeEvent: func(*http.Request, int) { sent.Add(1) }}
	r := newRig(t, map[string]http.Handler{"engine-1": engine1}, func(c *receiver.Config) {
		c.Settings.WriteTimeout = 200 * time.Millisecond
	})
	conn, err := net.Dial("tcp", r.receiver.Address())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(4096))
	assert.NilError(t, r.request("POST", encoder.PathChat, chat(true, 1_000_000)).Write(conn))
	_, err = bufio.NewReaderSize(conn, 16).ReadString('\n')
	assert.NilError(t, err)

	waitFor(t, "stream cancelled", func() bool { return engine1.count("DELETE") == 1 })
	assert.Assert(t, sent.Load() < 1_000_000)
}

func TestIdempotentCallsAreRetriedElsewhere(t *testing.T) {
	for name, broken := range map[string]http.HandlerFunc{"503": respondWith(503, ""), "aborted": abort} {
		t.Run(name, func(t *testing.T) {
			healthy := &calendar{}
			r := newRig(t, map[string]http.Handler{"naptar-1": broken, "naptar-2": healthy})
			for range 6 {
				got := r.send("GET", "/services/naptar/slots", "")
				assert.Equal(t, got.status, http.StatusOK)
				assert.Equal(t, got.outcome(), encoder.OutcomeRan)
			}
		})
	}
}

func TestCompletionsOfAClassWithoutRepeatsRunOnce(t *testing.T) {
	engine1 := &engine{cutAt: cutAfter(1, 1)}
	r := newRig(t, map[string]http.Handler{"engine-1": engine1, "engine-2": engine1})

	got := r.send("POST", encoder.PathChat, strings.Replace(chat(false, 3), `"stream":false,`, "", 1),
		encoder.HeaderClass, "registry", encoder.HeaderIdempotencyKey, "k")

	assert.Equal(t, got.outcome(), encoder.OutcomeUnknown)
	assert.Equal(t, engine1.count("POST"), 1)
}
