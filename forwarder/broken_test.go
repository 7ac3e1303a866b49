package forwarder_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"burdocklink/matcher"
)

// longBody exceeds the buffers of a connection, so that writing it blocks until the upstream
// reads or the connection ends.
var longBody = strings.Repeat("x", 8<<20)

// raw writes an answer byte by byte and then ends the connection.
func raw(answer string, end func(*net.TCPConn)) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, answer)
		end(conn.(*net.TCPConn))
		_ = conn.Close()
	}
}

func reset(conn *net.TCPConn) { _ = conn.SetLinger(0) }

func closeInOrder(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
}

// allowLongBodies raises the limit of request bodies.
func (r *rig) allowLongBodies() {
	configuration := *r.table.Load().Configuration
	configuration.Limits.BodyBytes = int64(len(longBody))
	r.table.Store(matcher.NewTable(&configuration))
}

// Guards against a part of an answer that reaches the caller as the whole: the upstream answers
// without a length before it has read a long body, and resets the connection.
func TestAnswerWithoutLengthThatIsResetDuringTheUploadIsNotComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nSigned: u1\r\n\r\n"
	cases := map[string]struct {
		kind     matcher.Kind
		answer   string
		end      func(*net.TCPConn)
		complete bool
	}{
		"whole, reset":           {matcher.NonIdempotent, "a part", reset, false},
		"whole, closed in order": {matcher.NonIdempotent, "all of it", closeInOrder, true},
		"stream, reset":          {matcher.Streaming, eventText(1, 2), reset, false},
		"stream, closed":         {matcher.Streaming, eventText(1, 2), closeInOrder, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for range 10 {
				r := newRig(t, matcher.Route{Kind: c.kind}, raw(head+c.answer, c.end))
				r.allowLongBodies()
				got := r.ask(http.MethodPost, "/x/1", longBody, nil)
				if !c.complete {
					broken := got.status == http.StatusBadGateway || (got.status == http.StatusOK && got.err != nil)
					assert.Assert(t, broken, "%d %q", got.status, got.body)
					continue
				}
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK)
				assert.Equal(t, got.body, c.answer)
			}
		})
	}
}

// embeddedAnswer looks like an answer of its own, also to the request.
const embeddedAnswer = "HTTP/1.1 200 OK\r\nSigned: u1\r\nContent-Length: 15\r\n\r\nid: 1\ndata: 1\n\n"

// withStatus returns an answer with a status, whose body is embeddedAnswer.
func withStatus(status string) string {
	return "HTTP/1.1 " + status + " Trouble\r\nSigned: u1\r\nContent-Length: " + strconv.Itoa(len(embeddedAnswer)) + "\r\n\r\n" + embeddedAnswer
}

// Guards against an answer with an invalid status that reaches the caller, or whose body does.
func TestAnswerWithInvalidStatusIsNotPassedOn(t *testing.T) {
	kinds := map[string]matcher.Kind{"whole": matcher.NonIdempotent, "stream": matcher.Streaming}
	for name, kind := range kinds {
		for _, status := range []string{"000", "020", "101", "600", "999"} {
			t.Run(name+" "+status, func(t *testing.T) {
				r := newRig(t, matcher.Route{Kind: kind}, raw(withStatus(status), closeInOrder))
				got := r.ask(http.MethodPost, "/x/1", "", nil)
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusBadGateway)
				assert.Equal(t, got.body, "")
			})
		}
	}
}

// Guards against an answer of which a field with an invalid name is passed on, or is not used to
// delimit the body.
func TestAnswerWithInvalidFieldNameIsNotPassedOn(t *testing.T) {
	fields := map[string]string{
		"blank before the colon": "Odd : 1",
		"blank inside":           "O dd: 1",
		"blank at the start":     " Odd: 1",
		"control byte":           "O\x01dd: 1",
		"length":                 "Content-Length : 15",
		"encoding":               "Transfer-Encoding : chunked",
	}
	answers := map[string]struct {
		kind matcher.Kind
		body string
	}{
		"whole":  {matcher.NonIdempotent, "5\r\nwrong\r\n0\r\n\r\n"},
		"stream": {matcher.Streaming, eventText(1, 1)},
	}
	for answer, c := range answers {
		for name, field := range fields {
			t.Run(answer+", "+name, func(t *testing.T) {
				text := "HTTP/1.1 200 OK\r\nSigned: u1\r\n" + field + "\r\n\r\n" + c.body
				r := newRig(t, matcher.Route{Kind: c.kind}, raw(text, closeInOrder))
				got := r.ask(http.MethodPost, "/x/1", "", nil)
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusBadGateway)
				assert.Equal(t, got.body, "")
			})
		}
	}
}
