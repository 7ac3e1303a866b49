package dispatcher

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// longBodyBytes exceeds the buffers of a connection, so that writing blocks until the
// upstream reads or the connection ends.
const longBodyBytes = 32 << 20

// resetRounds is how often a test resets a connection. Reader and writer compete for the
// error of the reset.
const resetRounds = 40

// waysToCall are the ways to read a whole answer.
func waysToCall() map[string]func(*Dispatcher, context.Context, Call) (Answer, error) {
	return map[string]func(*Dispatcher, context.Context, Call) (Answer, error){
		"send": func(d *Dispatcher, ctx context.Context, call Call) (Answer, error) {
			response, err := d.Send(ctx, call)
			if err != nil {
				return Answer{}, err
			}
			return d.ReadAll(call.Address, response)
		},
		"do":   (*Dispatcher).Do,
		"once": (*Dispatcher).Once,
		"do on a new connection": func(d *Dispatcher, ctx context.Context, call Call) (Answer, error) {
			call.NewConnection = true
			return d.Do(ctx, call)
		},
		"open stream": func(d *Dispatcher, ctx context.Context, call Call) (Answer, error) {
			response, err := d.OpenStream(ctx, call)
			if err != nil {
				return Answer{}, err
			}
			return d.ReadAll(call.Address, response)
		},
	}
}

// Guards against a part of an answer that is taken for the whole: the upstream answers without
// a length before it has read the body, and resets the connection while the body is written.
func TestAnswerWithoutLengthThatIsResetDuringTheUploadIsNotComplete(t *testing.T) {
	for name, callOnce := range waysToCall() {
		t.Run(name, func(t *testing.T) {
			upstream := newScriptedUpstream(t, func(conn net.Conn, reader *bufio.Reader, _ *scriptedUpstream) {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nthe first part")
				_ = conn.(*net.TCPConn).SetLinger(0)
			})
			d := New(Settings{})
			defer d.Close()
			call := upstream.call(http.MethodPost)
			call.Body = make([]byte, longBodyBytes)
			for round := range resetRounds {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				answer, err := callOnce(d, ctx, call)
				cancel()
				var interrupted *InterruptedError
				assert.Assert(t, errors.As(err, &interrupted), "round %d: error %v, body %q", round, err, answer.Body)
			}
		})
	}
}

// An upstream may answer without a length before it has read the body, and close the
// connection in order: the answer is complete, although the rest of the body can't be written.
func TestAnswerWithoutLengthThatEndsInOrderDuringTheUploadIsComplete(t *testing.T) {
	ends := map[string]func(conn *net.TCPConn){
		"closed for writing": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		},
		"closed for writing, then reset": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			_ = conn.SetLinger(0)
		},
		"closed for writing, body not read": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(200 * time.Millisecond)
		},
	}
	ways := waysToCall()
	// a stream's request is written before its answer is read
	delete(ways, "open stream")
	for name, end := range ends {
		upstream := newScriptedUpstream(t, func(conn net.Conn, reader *bufio.Reader, _ *scriptedUpstream) {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nall of it")
			end(conn.(*net.TCPConn))
		})
		call := upstream.call(http.MethodPost)
		call.Body = make([]byte, longBodyBytes)
		for way, callOnce := range ways {
			t.Run(name+", "+way, func(t *testing.T) {
				d := New(Settings{})
				defer d.Close()
				for range 5 {
					ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
					answer, err := callOnce(d, ctx, call)
					cancel()
					assert.NilError(t, err)
					assert.Equal(t, string(answer.Body), "all of it")
				}
			})
		}
	}
}
