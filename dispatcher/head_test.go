package dispatcher

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// answerEach calls an upstream that writes the answer to each request and closes the connection,
// in all ways.
func answerEach(t *testing.T, text string, check func(t *testing.T, answer Answer, err error)) {
	t.Helper()
	upstream := newScriptedUpstream(t, func(conn net.Conn, reader *bufio.Reader, u *scriptedUpstream) {
		if _, _, err := u.readRequest(reader); err == nil {
			_, _ = io.WriteString(conn, text)
		}
	})
	d := New(Settings{})
	defer d.Close()
	for name, callOnce := range waysToCall() {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			answer, err := callOnce(d, ctx, upstream.call(http.MethodPost))
			check(t, answer, err)
		})
	}
}

// Guards against an answer with an invalid status that is passed on, or whose body is read as the
// next answer.
func TestAnswerWithInvalidStatusIsNoAnswer(t *testing.T) {
	const body = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
	for _, status := range []string{"000", "001", "099", "+20", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			text := "HTTP/1.1 " + status + " Trouble\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
			answerEach(t, text, func(t *testing.T, answer Answer, err error) {
				var interrupted *InterruptedError
				assert.Assert(t, errors.As(err, &interrupted), "error %v, status %d, body %q", err, answer.Status, answer.Body)
			})
		})
	}
}

func TestAnswersWithValidStatusArePassedOn(t *testing.T) {
	for _, status := range []int{200, 204, 226, 304, 404, 451, 500, 599} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			const informational = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 199 Odd\r\n\r\n"
			text := informational + "HTTP/1.1 " + strconv.Itoa(status) + "\r\nContent-Length: 0\r\n\r\n"
			answerEach(t, text, func(t *testing.T, answer Answer, err error) {
				assert.NilError(t, err)
				assert.Equal(t, answer.Status, status)
			})
		})
	}
}

// Guards against an answer of which net/http reads a field other than the upstream meant it: a
// length or an encoding with such a name does not count, and the body that is read is another.
func TestAnswerWithInvalidFieldNameIsNoAnswer(t *testing.T) {
	fields := map[string]string{
		"blank before the colon":     "Odd : 1",
		"blanks before the colon":    "Odd  : 1",
		"blank inside":               "O dd: 1",
		"only a blank":               " : 1",
		"length":                     "Content-Length : 5",
		"encoding":                   "Transfer-Encoding : chunked",
		"connection":                 "Connection : close",
		"tab before the colon":       "Odd\t: 1",
		"tab inside":                 "O\tdd: 1",
		"NUL":                        "O\x00dd: 1",
		"escape":                     "O\x1bdd: 1",
		"carriage return":            "O\rdd: 1",
		"delete":                     "O\x7fdd: 1",
		"separator":                  "O(d)d: 1",
		"not ASCII":                  "Ödd: 1",
		"empty":                      ": 1",
		"no colon":                   "Odd",
		"blank at the start":         " Odd: 1",
		"tab at the start":           "\tOdd: 1",
		"blank at the start, length": " Content-Length: 5",
	}
	const sound = "Even: 1\r\n"
	places := map[string]func(field string) string{
		"first": func(field string) string { return field + "\r\n" + sound },
		"last":  func(field string) string { return sound + field + "\r\n" },
	}
	for name, field := range fields {
		for place, join := range places {
			t.Run(name+", "+place, func(t *testing.T) {
				text := "HTTP/1.1 200 OK\r\n" + join(field) + "\r\n5\r\nwrong\r\n0\r\n\r\n"
				answerEach(t, text, func(t *testing.T, answer Answer, err error) {
					var interrupted *InterruptedError
					assert.Assert(t, errors.As(err, &interrupted), "error %v, header %q, body %q", err, answer.Header, answer.Body)
				})
			})
		}
	}
}

// An answer must not fail for what its body holds, for odd but valid fields, or for what an
// earlier answer on the connection held.
func TestAnswersWithValidFieldsArePassedOn(t *testing.T) {
	const body = "not a head: 1\r\n\r\nHTTP/1.1 000\r\n a : b\r\n\r\n"
	long := strings.Repeat("x", 10*readBufferBytes)
	heads := map[string]string{
		"no field":       "",
		"all characters": "A!#$%&'*+-.^_`|~09z: 1\r\n",
		"odd values":     "A:\r\nB:  c d \t\r\nC: d: e\r\nD: \xff\r\n",
		"long":           "A: " + long + "\r\n" + long[:readBufferBytes] + ": 1\r\n",
		"line feeds":     "A: 1\nB: 2\n",
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			answer := "HTTP/1.1 200 OK\r\n" + head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
			upstream := newScriptedUpstream(t, func(conn net.Conn, reader *bufio.Reader, u *scriptedUpstream) {
				for {
					if _, _, err := u.readRequest(reader); err != nil {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\n"+head+"\r\n"+answer)
				}
			})
			d := New(Settings{})
			defer d.Close()
			for way, callOnce := range waysToCall() {
				t.Run(way, func(t *testing.T) {
					for range 3 {
						answer, err := callOnce(d, t.Context(), upstream.call(http.MethodPost))
						assert.NilError(t, err)
						assert.Equal(t, string(answer.Body), body)
					}
				})
			}
		})
	}
}

// Guards against a head that is not checked because it arrives with an answer to another call.
func TestInvalidFieldNameAfterAnswerToAnotherCallIsNoAnswer(t *testing.T) {
	const invalid = "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length : 5\r\n\r\nwrong"
	pauses := map[string]time.Duration{"at once": 0, "later": 20 * time.Millisecond}
	for name, pause := range pauses {
		t.Run(name, func(t *testing.T) {
			upstream := newScriptedUpstream(t, func(conn net.Conn, reader *bufio.Reader, u *scriptedUpstream) {
				if _, _, err := u.readRequest(reader); err != nil {
					return
				}
				if pause == 0 {
					_, _ = io.WriteString(conn, answerText("other", "not a head: 1\r\n\r\n")+invalid)
					return
				}
				_, _ = io.WriteString(conn, answerText("other", "not a head: 1\r\n\r\n"))
				time.Sleep(pause)
				_, _ = io.WriteString(conn, invalid)
			})
			d := New(Settings{})
			defer d.Close()
			call := upstream.call(http.MethodPost)
			call.OwnsAnswer = func(header http.Header) bool { return header.Get("Id") == "own" }
			_, err := send(t, d, call)
			var field *InvalidFieldError
			assert.Assert(t, errors.As(err, &field), "%v", err)
			assert.Equal(t, field.Name, "Content-Length ")
		})
	}
}

func TestHeadScannerFindsTheEndOfTheHeadHoweverItArrives(t *testing.T) {
	heads := map[string]string{
		"no field":            "HTTP/1.1 200 OK\r\n\r\n",
		"no reason":           "HTTP/1.1 200\r\nA: 1\r\n\r\n",
		"many blanks":         "HTTP/1.1   200 OK\r\nA: 1\r\n\r\n",
		"line feeds":          "HTTP/1.1 200 OK\nA: 1\n\n",
		"informational first": "HTTP/1.1  100\r\n\r\nHTTP/1.1 103 Hints\r\nA: 1\r\n\r\nHTTP/1.1 200 100\r\nA: 1\r\n\r\n",
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			for split := range len(head) {
				var scanner headScanner
				assert.NilError(t, scanner.scan([]byte(head[:split])))
				assert.Assert(t, scanner.part != partBody, "ends before byte %d", split)
				assert.NilError(t, scanner.scan([]byte(head[split:]+" a : b")))
				assert.Equal(t, scanner.part, partBody)
			}
		})
	}
}

// Guards against an answer that is made of the part of a head that arrived.
func TestAnswerThatEndsWithinItsHeadIsNoAnswer(t *testing.T) {
	heads := map[string]string{
		"length":              "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nContent-Type: text/plain\r\n\r\n",
		"no body":             "HTTP/1.1 200 OK\r\nA: 1\r\nContent-Length: 0\r\n\r\n",
		"chunks":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"until close":         "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
		"line feeds":          "HTTP/1.1 200 OK\nContent-Length: 0\n\n",
		"no content":          "HTTP/1.1 204 No Content\r\nA: 1\r\n\r\n",
		"informational first": "HTTP/1.1 103 Early Hints\r\nA: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	}
	ends := map[string]func(conn *net.TCPConn){
		"closed": func(*net.TCPConn) {},
		"reset": func(conn *net.TCPConn) {
			// what was written has arrived before the reset
			time.Sleep(time.Millisecond)
			_ = conn.SetLinger(0)
		},
	}
	var answer atomic.Pointer[string]
	for endName, end := range ends {
		upstream := newScriptedUpstream(t, func(conn net.Conn, reader *bufio.Reader, u *scriptedUpstream) {
			if _, _, err := u.readRequest(reader); err == nil {
				_, _ = io.WriteString(conn, *answer.Load())
				end(conn.(*net.TCPConn))
			}
		})
		for name, head := range heads {
			for way, callOnce := range waysToCall() {
				t.Run(endName+", "+name+", "+way, func(t *testing.T) {
					d := New(Settings{})
					defer d.Close()
					for cut := range len(head) {
						part := head[:cut]
						answer.Store(&part)
						got, err := callOnce(d, t.Context(), upstream.call(http.MethodPost))
						assert.Assert(t, err != nil, "%q: status %d, body %q", part, got.Status, got.Body)
					}
				})
			}
		}
	}
}

// Guards against an answer that is read as one of HTTP/1.1 though it names another protocol.
func TestAnswerOfAnotherVersionIsNoAnswer(t *testing.T) {
	versions := map[string]bool{"HTTP/1.1": true, "HTTP/1.0": true, "HTTP/0.9": false, "HTTP/2.0": false, "HTTP/9.9": false}
	for version, valid := range versions {
		t.Run(version, func(t *testing.T) {
			answerEach(t, version+" 200 OK\r\n\r\na part", func(t *testing.T, answer Answer, err error) {
				assert.Equal(t, err == nil, valid, "error %v, body %q", err, answer.Body)
			})
		})
	}
}
