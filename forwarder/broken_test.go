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

// Guards against an error of the next upstream in the middle of a stream that broke off, or
// a stream that ends as if it were complete.
func TestFailedContinuationIsNotPartOfTheStream(t *testing.T) {
	const signed = "HTTP/1.1 200 OK\r\nSigned: u2\r\n"
	errorText := "error: overloaded\n\n"
	next := map[string]http.HandlerFunc{
		"error":                          respond(500, errorText),
		"error as events":                respond(500, eventText(3, 4)),
		"error without a length":         raw("HTTP/1.1 500 Oops\r\nSigned: u2\r\n\r\n"+errorText, closeInOrder),
		"error, reset":                   raw("HTTP/1.1 500 Oops\r\nSigned: u2\r\n\r\n"+errorText, reset),
		"client error":                   respond(404, errorText),
		"redirect":                       respond(302, errorText),
		"no content":                     respond(204, ""),
		"partial content":                respond(206, eventText(3, 4)),
		"not run":                        notRun,
		"refused, not stated as not run": respond(503, errorText),
		"unsigned":                       raw("HTTP/1.1 200 OK\r\n\r\n"+eventText(3, 4), closeInOrder),
		"invalid status":                 raw(withStatus("000"), closeInOrder),
		"invalid field name":             raw("HTTP/1.1 200 OK\r\nSigned : u2\r\n\r\n"+eventText(3, 4), closeInOrder),
		"head cut":                       raw("HTTP/1.1 200 OK\r\nSigned: u2\r\nContent-Length: 0\r", closeInOrder),
		"no answer":                      raw("", closeInOrder),
		"no head":                        raw(eventText(3, 4), closeInOrder),
		"empty, without a length":        raw(signed+"\r\n", closeInOrder),
		"empty, cut":                     raw(signed+"Content-Length: 9\r\n\r\n", closeInOrder),
		"head within the stream":         raw(signed+"\r\nHTTP/1.1 500 Oops\r\nContent-Length: 5\r\n\r\noops!", closeInOrder),
		"error text with success":        respond(200, errorText),
		"error text with success, cut":   raw(signed+"\r\n"+errorText[:9], closeInOrder),
		"error text after an event":      raw(signed+"\r\nid: 2\ndata: 2\n\n"+errorText, closeInOrder),
	}
	for name, handle := range next {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, matcher.Route{Kind: matcher.Streaming, Resumable: true, MaxAttempts: 2}, events(1, 2, false), handle)
			got := r.ask(http.MethodPost, "/x/1", "", nil)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.body, eventText(1, 2))
			assert.Assert(t, got.err != nil, "the stream ended as if complete")
		})
	}
}

// A stream that goes on at another upstream may hold what has no place of its own, and may have
// nothing left but its end.
func TestContinuationsAreRelayed(t *testing.T) {
	const signed = "HTTP/1.1 200 OK\r\nSigned: u2\r\n"
	next := map[string]struct {
		handle http.HandlerFunc
		rest   string
	}{
		"only its end":        {respond(200, ""), ""},
		"only its end, again": {respond(200, eventText(1, 2)), ""},
		"without a length":    {raw(signed+"\r\n"+eventText(3, 4), closeInOrder), eventText(3, 4)},
		"comments":            {respond(200, ": busy\n\n"+eventText(3, 3)+":\n\n"), ": busy\n\n" + eventText(3, 3) + ":\n\n"},
		"unnumbered events after a numbered one": {
			respond(200, eventText(3, 3)+"event: ping\nretry: 5\ndata: {}\n\n"+eventText(4, 4)),
			eventText(3, 3) + "event: ping\nretry: 5\ndata: {}\n\n" + eventText(4, 4),
		},
		"further fields in a numbered event": {respond(200, "version: 2\nid: 3\ndata: 3\n\n"), "version: 2\nid: 3\ndata: 3\n\n"},
	}
	for name, c := range next {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, matcher.Route{Kind: matcher.Streaming, Resumable: true, MaxAttempts: 2}, events(1, 2, false), c.handle)
			got := r.ask(http.MethodPost, "/x/1", "", nil)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.body, eventText(1, 2)+c.rest)
		})
	}
}

// Guards against an answer with success that is made of the part of a head that arrived.
func TestAnswerThatEndsWithinItsHeadIsNotPassedOn(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nSigned: u1\r\nContent-Type: text/event-stream\r\nContent-Length: 15\r\n\r\n"
	kinds := map[string]matcher.Kind{"whole": matcher.NonIdempotent, "stream": matcher.Streaming}
	cuts := map[string]int{
		"in the status":            len("HTTP/1.1 20"),
		"after the status line":    len("HTTP/1.1 200 OK\r\n"),
		"after the signature":      len("HTTP/1.1 200 OK\r\nSigned: u1\r\n"),
		"in the length":            len(head) - len("5\r\n\r\n"),
		"after the length":         len(head) - len("\r\n\r\n"),
		"in the line break":        len(head) - len("\n\r\n"),
		"before the empty line":    len(head) - len("\r\n"),
		"in the empty line":        len(head) - len("\n"),
		"at the start of the body": len(head),
	}
	ends := map[string]func(*net.TCPConn){"closed": closeInOrder, "reset": reset}
	for name, kind := range kinds {
		for place, cut := range cuts {
			for end, endConn := range ends {
				t.Run(name+", "+place+", "+end, func(t *testing.T) {
					r := newRig(t, matcher.Route{Kind: kind}, raw(head[:cut], endConn))
					got := r.ask(http.MethodPost, "/x/1", "", nil)
					assert.NilError(t, got.err)
					assert.Equal(t, got.status, http.StatusBadGateway)
					assert.Equal(t, got.body, "")
				})
			}
		}
	}
}
