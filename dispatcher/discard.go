package dispatcher

import (
	"io"
	"net/http"
	"time"
)

const (
	// maxDiscardBytes bounds how much of an unneeded answer is read to reuse its
	// connection, and discardTimeout for how long. Beyond that, a new connection is
	// cheaper.
	maxDiscardBytes = 64 << 10
	discardTimeout  = 50 * time.Millisecond
)

// Discard reads the rest of a short answer so that its connection can be reused, or
// closes the connection.
func Discard(response *http.Response) {
	if body, ok := response.Body.(*pooledBody); ok {
		// A connection that cannot be read in time is closed.
		_ = body.conn.SetReadDeadline(time.Now().Add(discardTimeout))
	}
	// If the read fails, Close closes the connection.
	_, _ = io.CopyN(io.Discard, response.Body, maxDiscardBytes)
	_ = response.Body.Close()
}
