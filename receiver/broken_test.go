package receiver_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"burdocklink/encoder"
)

// rawUpstream answers each request with the same bytes and then closes the connection.
type rawUpstream struct{ answer string }

// ServeHTTP writes the answer.
func (u *rawUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, u.answer)
	_ = conn.(*net.TCPConn).CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
	_ = conn.Close()
}

// askAll makes one request of each kind to an entry whose upstreams answer with the same bytes.
func askAll(t *testing.T, answer string, check func(t *testing.T, got reply)) {
	t.Helper()
	upstream := &rawUpstream{answer: answer}
	asks := map[string]func(r *rig) reply{
		"idempotent":          func(r *rig) reply { return r.send("GET", "/services/naptar/slots", "") },
		"non-idempotent":      func(r *rig) reply { return r.send("POST", bookPath, "slot") },
		"with a key":          func(r *rig) reply { return r.book("slot", "k") },
		"completion":          func(r *rig) reply { return r.send("POST", encoder.PathChat, chat(false, 1)) },
		"streamed completion": func(r *rig) reply { return r.send("POST", encoder.PathChat, chat(true, 1)) },
		"unrepeated completion": func(r *rig) reply {
			return r.send("POST", encoder.PathChat, chat(false, 1), encoder.HeaderClass, "registry")
		},
	}
	for name, ask := range asks {
		t.Run(name, func(t *testing.T) {
			check(t, ask(newRig(t, map[string]http.Handler{"naptar-1": upstream, "engine-1": upstream})))
		})
	}
}

// checkOutcomeUnknown requires that the caller is told that its request may have run, and gets
// nothing of the answer.
func checkOutcomeUnknown(t *testing.T, got reply) {
	t.Helper()
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusBadGateway, got.body)
	assert.Equal(t, got.outcome(), encoder.OutcomeUnknown)
	assert.Equal(t, got.header.Get("Odd"), "")
}

// Guards against an answer with an invalid status that reaches the caller, or whose body does.
func TestAnswerWithInvalidStatusIsNotPassedOn(t *testing.T) {
	const body = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
	for _, status := range []string{"000", "101", "600"} {
		t.Run(status, func(t *testing.T) {
			text := "HTTP/1.1 " + status + " Trouble\r\nOdd: 1\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
			askAll(t, text, checkOutcomeUnknown)
		})
	}
}

// Guards against an answer of which a field with an invalid name is passed on, or is not used to
// delimit the body.
func TestAnswerWithInvalidFieldNameIsNotPassedOn(t *testing.T) {
	fields := map[string]string{
		"blank before the colon": "Content-Length : 5",
		"blank at the start":     "Odd: 1\r\n Odder: 1",
		"control byte":           "O\x01dd: 1",
	}
	for name, field := range fields {
		t.Run(name, func(t *testing.T) {
			askAll(t, "HTTP/1.1 200 OK\r\n"+field+"\r\n\r\nwrong", checkOutcomeUnknown)
		})
	}
}

// Guards against an error of the next engine in the middle of a stream that broke off, or a stream
// that ends as if it were complete.
func TestFailedContinuationIsNotPartOfTheStream(t *testing.T) {
	const errorText = "error: overloaded\n\n"
	next := map[string]string{
		"error":                   "HTTP/1.1 500 Oops\r\nContent-Length: 19\r\n\r\n" + errorText,
		"error without a length":  "HTTP/1.1 500 Oops\r\n\r\n" + errorText,
		"client error":            "HTTP/1.1 400 Oops\r\nContent-Length: 19\r\n\r\n" + errorText,
		"invalid status":          "HTTP/1.1 000 Oops\r\n\r\nHTTP/1.1 200 OK\r\n\r\ndata: [DONE]\n\n",
		"invalid field name":      "HTTP/1.1 200 OK\r\nA b: c\r\n\r\ndata: [DONE]\n\n",
		"head cut":                "HTTP/1.1 200 OK\r\nContent-Length: 0\r",
		"no answer":               "",
		"empty":                   "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"end without the rest":    "HTTP/1.1 200 OK\r\n\r\ndata: [DONE]\n\n",
		"error text with success": "HTTP/1.1 200 OK\r\n\r\n" + errorText,
		"error as an event":       "HTTP/1.1 200 OK\r\n\r\ndata: overloaded\n\n",
		"head within the stream":  "HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 500 Oops\r\nContent-Length: 5\r\n\r\noops!",
	}
	for name, answer := range next {
		t.Run(name, func(t *testing.T) {
			var begun atomic.Bool
			healthy, broken := &engine{cutAt: cutAfter(3, 1)}, &rawUpstream{answer: answer}
			breaking := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if begun.CompareAndSwap(false, true) {
					healthy.ServeHTTP(w, r)
					return
				}
				broken.ServeHTTP(w, r)
			})
			r := newRig(t, map[string]http.Handler{"engine-1": breaking, "engine-2": breaking})
			got := r.send("POST", encoder.PathChat, chat(true, 8))
			assert.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
			body, _, ended := readStream(got.body)
			assert.Equal(t, body, text(3))
			assert.Assert(t, !ended)
			assert.Assert(t, !strings.Contains(got.body, "overloaded") && !strings.Contains(got.body, "Oops"), got.body)
		})
	}
}
