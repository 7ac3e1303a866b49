package dispatcher

import (
	"io"
	"net/http"
	"time"
)

const (
	// maxDiscardBytes bounds what is read of an answer that nobody needs so that its
	// connection can be used again, and discardTime for how long it is read: a new
	// connection costs less.
	maxDiscardBytes = 64 << 10
	discardTimeout  = 50 * time.Millisecond
)

// Discard reads the rest of a short answer, so that its connection can be used
// again, or closes the connection.
func Discard(response *http.Response) {
	if body, ok := response.Body.(*pooledBody); ok {
		// a connection that can't be read in time is closed
		_ = body.conn.SetReadDeadline(time.Now().Add(discardTimeout))
	}
	// what can't be read costs the connection, which Close sees to
	_, _ = io.CopyN(io.Discard, response.Body, maxDiscardBytes)
	_ = response.Body.Close()
}
