package dispatcher_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/dispatcher"
)

const callTimeout = 20 * time.Second

// lossyUpstream answers the first request on each connection, and reads the next one
// without answering, so that the connection dies after the request arrived.
type lossyUpstream struct {
	listener net.Listener
	arrived  atomic.Int64
}

func newLossyUpstream(t *testing.T) *lossyUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	u := &lossyUpstream{listener: listener}
	go u.run()
	return u
}

func (u *lossyUpstream) run() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		go u.runConn(conn)
	}
}

func (u *lossyUpstream) runConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for first := true; ; first = false {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if request.Method == http.MethodPost {
			u.arrived.Add(1)
		}
		if !first {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// nonIdempotentCall returns a call that net/http considers repeatable: it has an
// idempotency key and no body.
func nonIdempotentCall(address string) dispatcher.Call {
	return dispatcher.Call{
		Address: address,
		Method:  http.MethodPost,
		Path:    "/book",
		Header:  http.Header{"Idempotency-Key": {"k1"}},
	}
}

func warmUp(t *testing.T, d *dispatcher.Dispatcher, address string) {
	t.Helper()
	call := dispatcher.Call{Address: address, Method: http.MethodGet, Path: "/"}
	_, err := d.Do(context.Background(), call)
	assert.NilError(t, err)
}

func TestOnceIsNeverReplayed(t *testing.T) {
	upstream := newLossyUpstream(t)
	address := upstream.listener.Addr().String()
	d := dispatcher.New(dispatcher.Settings{})
	warmUp(t, d, address)

	_, err := d.Once(context.Background(), nonIdempotentCall(address))

	assert.NilError(t, err)
	assert.Equal(t, upstream.arrived.Load(), int64(1))
}

// TestSharedConnectionsReplay shows the replay that Once prevents: on a shared
// connection, net/http sends the same call twice.
func TestSharedConnectionsReplay(t *testing.T) {
	upstream := newLossyUpstream(t)
	address := upstream.listener.Addr().String()
	d := dispatcher.New(dispatcher.Settings{})
	warmUp(t, d, address)

	_, err := d.Do(context.Background(), nonIdempotentCall(address))

	assert.NilError(t, err)
	assert.Equal(t, upstream.arrived.Load(), int64(2))
}

func TestOnceDistinguishesNotSentFromInterrupted(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	refusing := closed.Addr().String()
	assert.NilError(t, closed.Close())
	aborting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(aborting.Close)
	cutting := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "9")
		_, _ = io.WriteString(w, "half")
	}))
	t.Cleanup(cutting.Close)
	d := dispatcher.New(dispatcher.Settings{})
	cases := map[string]struct {
		address string
		sent    bool
	}{
		"refused connection":  {address: refusing},
		"malformed address":   {address: "127.0.0.1:x y"},
		"aborted after write": {address: aborting.Listener.Addr().String(), sent: true},
		"cut answer":          {address: cutting.Listener.Addr().String(), sent: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := d.Once(context.Background(), nonIdempotentCall(c.address))
			if c.sent {
				assert.ErrorType(t, err, &dispatcher.InterruptedError{})
			} else {
				assert.ErrorType(t, err, &dispatcher.NotSentError{})
			}
		})
	}
}

func TestCancelledOnceReportedAsNotSentIsNeverWritten(t *testing.T) {
	var arrived sync.Map
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		arrived.Store(r.URL.Path, true)
	}))
	t.Cleanup(server.Close)
	d := dispatcher.New(dispatcher.Settings{})
	var unsent []string
	for n := range 300 {
		ctx, cancel := context.WithCancel(context.Background())
		go runCancel(cancel)
		call := nonIdempotentCall(server.Listener.Addr().String())
		call.Path += strconv.Itoa(n)
		_, err := d.Once(ctx, call)
		if _, is := err.(*dispatcher.NotSentError); is {
			unsent = append(unsent, call.Path)
		}
	}
	// Everything written before arrives before this last call.
	server.CloseClientConnections()
	warmUp(t, d, server.Listener.Addr().String())
	for _, path := range unsent {
		_, found := arrived.Load(path)
		assert.Assert(t, !found, "%s was reported as not sent", path)
	}
}

func runCancel(cancel context.CancelFunc) { cancel() }

func TestStallEndsCall(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/body" {
			_, _ = io.WriteString(w, "begun")
			_ = http.NewResponseController(w).Flush()
		}
		<-release
	}))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(release) })
	d := dispatcher.New(dispatcher.Settings{StallTimeout: 50 * time.Millisecond})
	for name, path := range map[string]string{"before the header": "/header", "in the body": "/body"} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			_, err := d.Do(ctx, dispatcher.Call{
				Address: server.Listener.Addr().String(),
				Method:  http.MethodGet,
				Path:    path,
			})
			var interrupted *dispatcher.InterruptedError
			assert.Assert(t, errors.As(err, &interrupted), "%v", err)
			assert.ErrorType(t, interrupted.Cause, &dispatcher.StalledError{})
		})
	}
}

func TestAnswersAreBounded(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 101))
	}))
	t.Cleanup(server.Close)
	d := dispatcher.New(dispatcher.Settings{MaxAnswerBytes: 100})

	_, err := d.Do(context.Background(), dispatcher.Call{
		Address: server.Listener.Addr().String(),
		Method:  http.MethodGet,
		Path:    "/",
	})

	assert.ErrorType(t, err, &dispatcher.AnswerTooLargeError{})
}
