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

// writeEndlessly writes a text repeatedly until the peer closes, and counts the bytes
// written.
func writeEndlessly(conn net.Conn, text string, written *atomic.Int64) {
	for {
		n, err := io.WriteString(conn, text)
		written.Add(int64(n))
		if err != nil {
			return
		}
	}
}

func TestEndlessAnswersAreAbandoned(t *testing.T) {
	kilobyte := strings.Repeat("x", 1<<10)
	cases := map[string]struct{ begin, again string }{
		"no answer":                      {"", kilobyte},
		"endless status line":            {"HTTP/1.1 200 ", kilobyte},
		"endless header field":           {"HTTP/1.1 200 OK\r\nA: ", kilobyte},
		"endless headers":                {"HTTP/1.1 200 OK\r\n", "A: " + kilobyte + "\r\n"},
		"endless informational answers":  {"", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
		"endless chunked foreign answer": {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + kilobyte + "\r\n"},
		"foreign answer until close":     {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", kilobyte},
		"endless foreign answers":        {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx"},
		"huge foreign answer":            {"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 100000000000\r\n\r\n", kilobyte},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var written atomic.Int64
			upstream := newScriptedUpstream(t, func(conn net.Conn, reader *bufio.Reader, u *scriptedUpstream) {
				if _, _, err := u.readRequest(reader); err != nil {
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
			assert.NilError(t, ctx.Err(), "read until the deadline")
			// The count includes what the kernel buffers.
			assert.Assert(t, written.Load() < 16<<20, "%d bytes", written.Load())
		})
	}
}

// An unneeded answer must not delay what comes after it.
func TestDiscardDoesNotWaitForSlowBody(t *testing.T) {
	upstream := newScriptedUpstream(t, func(conn net.Conn, reader *bufio.Reader, u *scriptedUpstream) {
		if _, _, err := u.readRequest(reader); err != nil {
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
