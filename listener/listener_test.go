package listener

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"burdocklink/budgeter"
)

// serve starts an HTTP server behind a listener. Requests for /hold wait until the returned
// channel is closed.
func serve(t *testing.T, settings Settings) (*Listener, chan struct{}) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	settings.Log = zap.NewNop()
	l := New(inner, settings)
	hold := make(chan struct{})
	server := &http.Server{ConnState: l.Track, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hold" {
			<-hold
		}
		_, _ = io.WriteString(w, "ok")
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l, hold
}

func dial(t *testing.T, l *Listener) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// ask sends a request and returns its status, 0 if there is no answer.
func ask(t *testing.T, conn net.Conn, path string) int {
	t.Helper()
	_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path)
	if err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func awaitOpen(t *testing.T, l *Listener, want int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if l.Open() == want {
			return poll.Success()
		}
		return poll.Continue("%d connections are open", l.Open())
	})
}

// awaitServing waits until so many connections serve a request.
func awaitServing(t *testing.T, l *Listener, want int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		serving := 0
		for c := range l.connections {
			if waiting, _ := c.waitingSince(); !waiting {
				serving++
			}
		}
		if serving == want {
			return poll.Success()
		}
		return poll.Continue("%d connections serve a request", serving)
	})
}

// Guards against idle connections that keep callers out, and against requests that are cut
// off for new connections.
func TestConnectionsWithoutARequestMakeWay(t *testing.T) {
	l, hold := serve(t, Settings{Connections: 16})
	serving := make(chan int, 1)
	busy := dial(t, l)
	go func() { serving <- ask(t, busy, "/hold") }()
	awaitServing(t, l, 1)
	idle := dial(t, l)
	awaitOpen(t, l, 2)
	for range 20 {
		assert.Equal(t, ask(t, dial(t, l), "/"), http.StatusOK)
	}
	assert.Assert(t, l.Open() <= 8, "a source may have half of the connections")
	assert.Equal(t, ask(t, idle, "/"), 0)
	close(hold)
	assert.Equal(t, <-serving, http.StatusOK)
}

// Guards against a crowd whose requests never end and that ends up with more connections
// than are allowed.
func TestNewConnectionsAreRefusedWhileAllServe(t *testing.T) {
	l, hold := serve(t, Settings{Connections: 4})
	defer close(hold)
	for serving := range 2 {
		conn := dial(t, l)
		go ask(t, conn, "/hold")
		awaitServing(t, l, serving+1)
	}
	assert.Equal(t, ask(t, dial(t, l), "/"), 0, "a source may have half of the connections")
	awaitOpen(t, l, 2)
}

// Guards against headers of very many fields that take more memory than there is, and
// against one such header that is refused in calm.
func TestHeadersAreBoundedByTheirMemory(t *testing.T) {
	budget := budgeter.New(8 << 20)
	l, _ := serve(t, Settings{Budget: budget})
	header := "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 3000)
	for range 50 {
		_, _ = io.WriteString(dial(t, l), header)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		used, _ := budget.Used()
		assert.Assert(t, used <= 8<<20)
		if used > 4<<20 {
			return poll.Success()
		}
		return poll.Continue("%d bytes are used", used)
	})
	time.Sleep(600 * time.Millisecond)
	conn := dial(t, l)
	_, _ = io.WriteString(conn, header+"\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// Guards against memory of closed connections that is never given back.
func TestClosedConnectionsGiveTheirMemoryBack(t *testing.T) {
	budget := budgeter.New(8 << 20)
	l, _ := serve(t, Settings{Budget: budget})
	for range 20 {
		conn := dial(t, l)
		assert.Equal(t, ask(t, conn, "/"), http.StatusOK)
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost")
		_ = conn.Close()
	}
	awaitOpen(t, l, 0)
	used, _ := budget.Used()
	assert.Equal(t, used, int64(0))
}

func TestHeaderScanner(t *testing.T) {
	cases := map[string]struct {
		text     string
		fields   int64
		complete bool
	}{
		"complete":             {"GET / HTTP/1.1\r\nHost: a\r\n\r\n", 2, true},
		"line feeds alone":     {"GET / HTTP/1.1\nHost: a\n\n", 2, true},
		"empty lines before":   {"\r\n\r\nGET / HTTP/1.1\r\n\r\n", 1, true},
		"body is not counted":  {"GET / HTTP/1.1\r\n\r\na\nb\nc\n", 1, true},
		"incomplete":           {"GET / HTTP/1.1\r\nHost: a\r\n", 2, false},
		"ends within a line":   {"GET / HTTP/1.1\r\nHos", 1, false},
		"ends within the end":  {"GET / HTTP/1.1\r\n\r", 1, false},
		"no line":              {"", 0, false},
		"white space in lines": {"GET / HTTP/1.1\r\n \r\n\r\n", 2, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var whole, bytewise headerScanner
			whole.scan([]byte(c.text))
			for _, each := range []byte(c.text) {
				bytewise.scan([]byte{each})
			}
			assert.Equal(t, whole.fields, c.fields)
			assert.Equal(t, whole.complete, c.complete)
			assert.Equal(t, bytewise, whole)
		})
	}
}
