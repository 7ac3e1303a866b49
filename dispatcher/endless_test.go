package dispatcher

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// writeEndlessly writes a text again and again until the other end closes, and counts what
// it wrote.
func writeEndlessly(conn net.Conn, text string, written *atomic.Int64) {
	for {
		n, err := io.WriteString(conn, text)
		written.Add(int64(n))
		if err != nil {
			return
		}
	}
}

func TestBytesWithoutEndAreGivenUp(t *testing.T) {
	kilobyte := strings.Repeat("x", 1<<10)
	cases := map[string]struct{ begin, again string }{
		"no answer":                {"", kilobyte},
		"a status without end":     {"HTTP/1.1 200 ", kilobyte},
		"a header without end":     {"HTTP/1.1 200 OK\r\nA: ", kilobyte},
		"headers without end":      {"HTTP/1.1 200 OK\r\n", "A: " + kilobyte + "\r\n"},
		"informational answers":    {"", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
		"another's answer":         {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + kilobyte + "\r\n"},
		"another's, to the close":  {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", kilobyte},
		"answers of others":        {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx"},
		"another's, with a length": {"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 100000000000\r\n\r\n", kilobyte},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var written atomic.Int64
			upstream := newScriptedUpstream(t, func(conn net.Conn, reader *bufio.Reader, tk *scriptedUpstream) {
				if _, _, err := tk.readRequest(reader); err != nil {
					return
				}
				_, _ = io.WriteString(conn, c.begin)
				writeEndlessly(conn, c.again, &written)
			})
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			d := New(Settings{})
			_, err := d.Send(ctx, Call{
				Address: upstream.listener.Addr().String(), Method: http.MethodGet, Path: "/",
				OwnsAnswer: func(header http.Header) bool { return header.Get("Id") != "other" },
			})
			var interrupted *InterruptedError
			assert.Assert(t, errors.As(err, &interrupted), "got %v", err)
			assert.NilError(t, ctx.Err(), "it was read until the deadline")
			// what the kernel's buffers hold comes to what was read
			assert.Assert(t, written.Load() < 16<<20, "%d bytes", written.Load())
		})
	}
}

// An answer that would not be used does not hold up what comes after it.
func TestARestThatTricklesInIsLeft(t *testing.T) {
	upstream := newScriptedUpstream(t, func(conn net.Conn, reader *bufio.Reader, tk *scriptedUpstream) {
		if _, _, err := tk.readRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Full\r\nContent-Length: 1000\r\n\r\n")
		for {
			if _, err := io.WriteString(conn, "x"); err != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	response, err := New(Settings{}).Send(ctx, Call{
		Address: upstream.listener.Addr().String(), Method: http.MethodGet, Path: "/",
	})
	assert.NilError(t, err)
	start := time.Now()
	Discard(response)
	assert.Assert(t, time.Since(start) < time.Second, "%v", time.Since(start))
	assert.NilError(t, ctx.Err())
}
