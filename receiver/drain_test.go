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

// stopping runs a stop beside the test.
type stopping struct {
	r    *rig
	by   time.Time
	done sync.WaitGroup
	err  error
}

func (s *stopping) start() {
	s.done.Add(1)
	go s.run()
}

func (s *stopping) run() {
	defer s.done.Done()
	s.err = s.r.receiver.Stop(s.by)
}

// stopOnce keeps the rig's own cleanup from stopping the receiver twice.
func (r *rig) stopOnce(by time.Time) *stopping {
	r.stopped = true
	s := &stopping{r: r, by: by}
	s.start()
	return s
}

func TestStopCutsNothingAndTellsTheBalancerFirst(t *testing.T) {
	held := make(chan struct{})
	release := sync.OnceFunc(func() { close(held) })
	defer release()
	one := &engine{hold: func(_ *http.Request, event int) {
		if event == 2 {
			<-held
		}
	}}
	r := newRig(t, map[string]http.Handler{"engine-1": one, "naptar-1": &calendar{}}, func(c *receiver.Config) {
		c.Settings.Linger = 300 * time.Millisecond
	})
	response, err := http.DefaultTransport.RoundTrip(r.request("POST", encoder.PathChat, chat(true, 5)))
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()

	stop := r.stopOnce(time.Now().Add(soon))
	waitFor(t, "readiness fails", func() bool { return r.send("GET", "/readyz", "").status == http.StatusServiceUnavailable })
	late := r.send("POST", bookPath, "slot")
	assert.Equal(t, late.status, http.StatusOK, "a request that the balancer still sends is served")
	assert.Assert(t, late.close, "its connection is not used again")
	waitFor(t, "the listener closes", func() bool {
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

func TestStopCutsAtItsDeadlineAndSaysSo(t *testing.T) {
	release := make(chan struct{})
	one := &engine{hold: func(_ *http.Request, event int) {
		if event == 2 {
			<-release
		}
	}}
	r := newRig(t, map[string]http.Handler{"engine-1": one})
	defer close(release)
	response, err := http.DefaultTransport.RoundTrip(r.request("POST", encoder.PathChat, chat(true, 5)))
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()

	stop := r.stopOnce(time.Now().Add(100 * time.Millisecond))
	rest, err := io.ReadAll(response.Body)
	stop.done.Wait()

	assert.Assert(t, err != nil, "a cut answer must not end cleanly: %s", rest)
	assert.ErrorType(t, stop.err, &receiver.CutError{})
}

func TestSlowReadersAreBounded(t *testing.T) {
	var sent atomic.Int64
	one := &engine{pad: strings.Repeat("x", 20_000), hold: func(*http.Request, int) { sent.Add(1) }}
	r := newRig(t, map[string]http.Handler{"engine-1": one}, func(c *receiver.Config) {
		c.Settings.WriteTime = 200 * time.Millisecond
	})
	conn, err := net.Dial("tcp", r.receiver.Address())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(4096))
	assert.NilError(t, r.request("POST", encoder.PathChat, chat(true, 1_000_000)).Write(conn))
	_, err = bufio.NewReaderSize(conn, 16).ReadString('\n')
	assert.NilError(t, err)

	waitFor(t, "the stream is cancelled", func() bool { return one.count("DELETE") == 1 })
	assert.Assert(t, sent.Load() < 1_000_000)
}

func TestIdempotentCallsGoElsewhere(t *testing.T) {
	for name, broken := range map[string]http.HandlerFunc{"503": status(503, ""), "cut": abort} {
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
	one := &engine{cut: cutAfter(1, 1)}
	r := newRig(t, map[string]http.Handler{"engine-1": one, "engine-2": one})

	got := r.send("POST", encoder.PathChat, strings.Replace(chat(false, 3), `"stream":false,`, "", 1),
		encoder.HeaderClass, "registry", encoder.HeaderIdempotencyKey, "k")

	assert.Equal(t, got.outcome(), encoder.OutcomeUnknown)
	assert.Equal(t, one.count("POST"), 1)
}
