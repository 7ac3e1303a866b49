package dispatcher

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
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
