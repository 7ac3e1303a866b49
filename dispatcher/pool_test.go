package dispatcher

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// scriptedUpstream is an upstream of which a test controls every byte.
type scriptedUpstream struct {
	listener net.Listener
	// accepted counts connections, and requests counts the requests read on them.
	accepted atomic.Int32
	requests atomic.Int32
}

// newScriptedUpstream returns an upstream that calls serve for each connection.
func newScriptedUpstream(t *testing.T, serve func(conn net.Conn, reader *bufio.Reader, upstream *scriptedUpstream)) *scriptedUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	upstream := &scriptedUpstream{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go upstream.run(serve)
	return upstream
}

func (u *scriptedUpstream) run(serve func(net.Conn, *bufio.Reader, *scriptedUpstream)) {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.accepted.Add(1)
		go u.runConn(conn, serve)
	}
}

func (u *scriptedUpstream) runConn(conn net.Conn, serve func(net.Conn, *bufio.Reader, *scriptedUpstream)) {
	defer func() { _ = conn.Close() }()
	serve(conn, bufio.NewReader(conn), u)
}

// readRequest reads one request.
func (u *scriptedUpstream) readRequest(reader *bufio.Reader) (*http.Request, []byte, error) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(request.Body)
	u.requests.Add(1)
	return request, body, err
}

func (u *scriptedUpstream) call(method string) Call {
	return Call{Address: u.listener.Addr().String(), Method: method, Path: "/a/b?c=d", Header: http.Header{}}
}

func answerText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func send(t *testing.T, d *Dispatcher, call Call) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	response, err := d.Send(ctx, call)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return string(body), err
}

func echo(conn net.Conn, reader *bufio.Reader, upstream *scriptedUpstream) {
	for {
		request, _, err := upstream.readRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, answerText("", request.RequestURI))
	}
}

func TestSendReusesConnection(t *testing.T) {
	upstream := newScriptedUpstream(t, echo)
	d := New(Settings{})
	defer d.Close()
	for range 3 {
		body, err := send(t, d, upstream.call(http.MethodGet))
		assert.NilError(t, err)
		assert.Equal(t, body, "/a/b?c=d")
	}
	assert.Equal(t, upstream.accepted.Load(), int32(1))
}

func TestSendPreservesPath(t *testing.T) {
	paths := map[string]string{
		"escapes":            "/a%2Fb/%7e/c%20d",
		"dots":               "/a/../b/./c",
		"empty query":        "/a?",
		"two slashes":        "/a//b",
		"special characters": "/a;b=c/|",
		"query escape":       "/a?b=%2f&c=+",
	}
	upstream := newScriptedUpstream(t, echo)
	d := New(Settings{})
	defer d.Close()
	for name, path := range paths {
		t.Run(name, func(t *testing.T) {
			call := upstream.call(http.MethodGet)
			call.Path = path
			body, err := send(t, d, call)
			assert.NilError(t, err)
			assert.Equal(t, body, path)
		})
	}
}

func TestSendNeverRepeats(t *testing.T) {
	// The second request on a connection is read but never answered.
	upstream := newScriptedUpstream(t, func(conn net.Conn, reader *bufio.Reader, u *scriptedUpstream) {
		if _, _, err := u.readRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(conn, answerText("", "first"))
		_, _, _ = u.readRequest(reader)
	})
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		d := New(Settings{})
		_, err := send(t, d, upstream.call(method))
		assert.NilError(t, err)
		before := upstream.requests.Load()
		_, err = send(t, d, upstream.call(method))
		var interrupted *InterruptedError
		assert.Assert(t, errors.As(err, &interrupted), "got %v", err)
		assert.Equal(t, upstream.requests.Load()-before, int32(1))
		d.Close()
	}
}

func TestSendSkipsClosedConnections(t *testing.T) {
	upstream := newScriptedUpstream(t, func(conn net.Conn, reader *bufio.Reader, u *scriptedUpstream) {
		if _, _, err := u.readRequest(reader); err == nil {
			_, _ = io.WriteString(conn, answerText("", "x"))
		}
	})
	d := New(Settings{})
	defer d.Close()
	for range 3 {
		_, err := send(t, d, upstream.call(http.MethodPost))
		assert.NilError(t, err)
		waitFor(t, func() bool { return !d.anyStillIdle(upstream.listener.Addr().String()) })
	}
	assert.Equal(t, upstream.requests.Load(), int32(3))
}

// anyStillIdle reports whether an idle connection still looks open.
func (d *Dispatcher) anyStillIdle(address string) bool {
	d.pool.mutex.Lock()
	defer d.pool.mutex.Unlock()
	for _, conn := range d.pool.idle[address] {
		if conn.stillIdle() {
			return true
		}
	}
	return false
}

func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for range 2000 {
		if done() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("condition not reached")
}

func TestSendSkipsAnswersToOtherCalls(t *testing.T) {
	upstream := newScriptedUpstream(t, func(conn net.Conn, reader *bufio.Reader, u *scriptedUpstream) {
		for {
			if _, _, err := u.readRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(conn, answerText("other", "not yours")+answerText("own", "yours"))
		}
	})
	d := New(Settings{})
	defer d.Close()
	call := upstream.call(http.MethodPost)
	call.OwnsAnswer = func(header http.Header) bool { return header.Get("Id") == "own" }
	body, err := send(t, d, call)
	assert.NilError(t, err)
	assert.Equal(t, body, "yours")
}

func TestSendFailsIfAllAnswersAreForeign(t *testing.T) {
	upstream := newScriptedUpstream(t, func(conn net.Conn, reader *bufio.Reader, u *scriptedUpstream) {
		if _, _, err := u.readRequest(reader); err == nil {
			_, _ = io.WriteString(conn, strings.Repeat(answerText("other", "x"), maxAnswerHeaders+1))
		}
	})
	d := New(Settings{})
	defer d.Close()
	call := upstream.call(http.MethodPost)
	call.OwnsAnswer = func(header http.Header) bool { return header.Get("Id") == "own" }
	_, err := send(t, d, call)
	var foreign *ForeignAnswersError
	assert.Assert(t, errors.As(err, &foreign), "got %v", err)
}

func TestSendReportsBrokenAnswers(t *testing.T) {
	answers := map[string]string{
		"cut in the body":  "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
		"cut in a chunk":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf",
		"no last chunk":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"cut in a header":  "HTTP/1.1 200 OK\r\nConten",
		"no answer at all": "",
		"no HTTP":          "burdock\r\n\r\n",
	}
	for name, text := range answers {
		t.Run(name, func(t *testing.T) {
			upstream := newScriptedUpstream(t, func(conn net.Conn, reader *bufio.Reader, u *scriptedUpstream) {
				if _, _, err := u.readRequest(reader); err == nil {
					_, _ = io.WriteString(conn, text)
				}
			})
			d := New(Settings{})
			defer d.Close()
			_, err := send(t, d, upstream.call(http.MethodPost))
			assert.Assert(t, err != nil)
		})
	}
}

func TestSendAcceptsAnswerBeforeBodyIsRead(t *testing.T) {
	// Exceeds the buffers of a connection, so that writing blocks.
	const length = 32 << 20
	read := make(chan int64, 1)
	upstream := newScriptedUpstream(t, func(conn net.Conn, reader *bufio.Reader, _ *scriptedUpstream) {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, answerText("", "too long"))
		count, _ := io.Copy(io.Discard, request.Body)
		read <- count
		_, _ = http.ReadRequest(reader)
	})
	d := New(Settings{})
	defer d.Close()
	call := upstream.call(http.MethodPost)
	call.Body = make([]byte, length)
	body, err := send(t, d, call)
	assert.NilError(t, err)
	assert.Equal(t, body, "too long")
	// Nothing but the body may follow.
	assert.Assert(t, <-read <= length)
}

func TestSendChecksAllowedBeforeWriting(t *testing.T) {
	upstream := newScriptedUpstream(t, echo)
	d := New(Settings{})
	defer d.Close()
	allowed := true
	call := upstream.call(http.MethodGet)
	call.Allowed = func() bool { return allowed }
	_, err := send(t, d, call)
	assert.NilError(t, err)
	allowed = false
	_, err = send(t, d, call)
	var unsent *NotSentError
	var disallowed *DisallowedError
	assert.Assert(t, errors.As(err, &unsent) && errors.As(err, &disallowed), "got %v", err)
	assert.Equal(t, upstream.requests.Load(), int32(1))
}

func TestSendToClosedPortIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	d := New(Settings{})
	defer d.Close()
	_, err = d.Send(t.Context(), Call{Address: address, Method: http.MethodPost, Path: "/"})
	var unsent *NotSentError
	assert.Assert(t, errors.As(err, &unsent), "got %v", err)
}

func TestParseIdleTime(t *testing.T) {
	cases := map[string]struct {
		header string
		want   time.Duration
	}{
		"no header":         {"", maxIdleTime},
		"timeout":           {"timeout=5", 4500 * time.Millisecond},
		"timeout and max":   {"max=100, Timeout=3", 2500 * time.Millisecond},
		"zero":              {"timeout=0", -500 * time.Millisecond},
		"above the maximum": {"timeout=500", maxIdleTime},
		"not a number":      {"timeout=soon", maxIdleTime},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, parseIdleTime(c.header), c.want) })
	}
}

func TestPoolDropsExpiredConnections(t *testing.T) {
	client, server := net.Pipe()
	defer func() { _ = server.Close() }()
	start := time.Now()
	p := &pool{idle: map[string][]*pooledConn{}}
	conn := &pooledConn{answerConn: &answerConn{Conn: client}, address: "a", reader: bufio.NewReader(client), expiresAt: start.Add(time.Second)}
	p.put(conn, start)
	assert.Assert(t, p.get("a", "", start.Add(2*time.Second)) == nil)
}

// refusalText is a refusal that names a call; an empty ID names none.
func refusalText(id string) string {
	name := ""
	if id != "" {
		name = "Id: " + id + "\r\n"
	}
	return "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n" + name + "Content-Length: 0\r\n\r\n"
}

// serveRepeatedRefusals refuses the first call on the first connection. It then writes that
// refusal once more, before each later answer on the connection.
func serveRepeatedRefusals(named bool) func(net.Conn, *bufio.Reader, *scriptedUpstream) {
	return func(conn net.Conn, reader *bufio.Reader, upstream *scriptedUpstream) {
		first, refusal := upstream.accepted.Load() == 1, ""
		for {
			request, _, err := upstream.readRequest(reader)
			if err != nil {
				return
			}
			id := request.Header.Get("Id")
			if first && refusal == "" {
				refusal = refusalText("")
				if named {
					refusal = refusalText(id)
				}
				_, _ = io.WriteString(conn, refusal)
				continue
			}
			_, _ = io.WriteString(conn, refusal+answerText(id, "ran "+id))
		}
	}
}

func TestEarlierRefusalIsNotTakenForTheAnswer(t *testing.T) {
	cases := map[string]struct {
		named  bool
		second string
		// connections is the number of connections that both calls need.
		connections int32
	}{
		"same call":                       {true, "r1", 2},
		"another call":                    {true, "r2", 1},
		"same call, refusal unnamed":      {false, "r1", 2},
		"another call, refusal not named": {false, "r2", 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			upstream := newScriptedUpstream(t, serveRepeatedRefusals(c.named))
			d := New(Settings{})
			defer d.Close()
			for at, id := range []string{"r1", c.second} {
				call := upstream.call(http.MethodPost)
				call.ID = id
				call.Header.Set("Id", id)
				call.OwnsAnswer = func(header http.Header) bool { return header.Get("Id") == "" || header.Get("Id") == id }
				call.Refuses = func(response *http.Response) (refused, named bool) {
					return response.Header.Get("Not-Run") != "", response.Header.Get("Id") != ""
				}
				body, err := send(t, d, call)
				assert.NilError(t, err)
				assert.Equal(t, body, []string{"", "ran " + c.second}[at])
			}
			assert.Equal(t, upstream.accepted.Load(), c.connections)
		})
	}
}

func TestConnectionWithManyRefusalsIsClosed(t *testing.T) {
	upstream := newScriptedUpstream(t, func(conn net.Conn, reader *bufio.Reader, upstream *scriptedUpstream) {
		for {
			request, _, err := upstream.readRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, refusalText(request.Header.Get("Id")))
		}
	})
	d := New(Settings{})
	defer d.Close()
	for i := range 2*maxRefusals + 1 {
		call := upstream.call(http.MethodPost)
		call.ID = fmt.Sprint("r", i)
		call.Header.Set("Id", call.ID)
		call.Refuses = func(*http.Response) (refused, named bool) { return true, true }
		_, err := send(t, d, call)
		assert.NilError(t, err)
	}
	assert.Equal(t, upstream.accepted.Load(), int32(3))
}
