package forwarder

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"burdocklink/budgeter"
)

const (
	// bodyRetryDelay is when a caller may come back whose body finds no memory.
	bodyRetryDelay = time.Second
	// unreadTimeout is how long the rest of a refused request is awaited, so that its
	// connection can be used again.
	unreadTimeout = 500 * time.Millisecond
)

// readBody reads the body of the request into memory of the process's budget, until the
// request's deadline.
func (x *exchange) readBody() error {
	limit := x.table.Configuration.Limits.BodyBytes
	if limit > 0 && x.r.ContentLength > limit {
		return &BodyTooLargeError{Limit: limit}
	}
	if x.r.Body == http.NoBody {
		x.bodyRead = true
		return nil
	}
	from := io.Reader(x.r.Body)
	if limit > 0 {
		from = http.MaxBytesReader(x.w, x.r.Body, limit)
	}
	control := http.NewResponseController(x.w)
	// setting a deadline fails only on a connection that doesn't support any
	_ = control.SetReadDeadline(x.deadline)
	x.memory = x.bodies.Open(time.Now(), func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	body, err := x.memory.ReadAll(from, x.r.ContentLength)
	if err != nil {
		return x.bodyError(err, limit)
	}
	// the server watches the connection for its end from here on
	_ = control.SetReadDeadline(time.Time{})
	x.body, x.bodyRead = body, true
	return nil
}

// bodyError returns the error for a body that was not read as a whole.
func (x *exchange) bodyError(err error, limit int64) error {
	var tooLarge *http.MaxBytesError
	var full *budgeter.FullError
	var evicted *budgeter.EvictedError
	switch {
	case errors.As(err, &tooLarge):
		return &BodyTooLargeError{Limit: limit}
	case errors.As(err, &full), errors.As(err, &evicted):
		return &BodyMemoryError{Cause: err, RetryAt: time.Now().Add(bodyRetryDelay)}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &TimeoutError{}
	default:
		return &BodyError{Cause: err}
	}
}

// releaseBody gives the memory of the body back.
func (x *exchange) releaseBody() {
	if x.memory != nil {
		x.memory.Release()
	}
}

// endUnreadBody limits how long the rest of a request that is refused may take. A body that
// is too large, or too slow, ends the connection.
func (x *exchange) endUnreadBody(err error) {
	if x.bodyRead {
		return
	}
	if x.memory != nil || is[*BodyTooLargeError](err) {
		x.w.Header().Set("Connection", "close")
	}
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(unreadTimeout))
}

// BodyMemoryError is returned if there is no memory for a body, or if it arrived too slowly
// while others needed the memory.
type BodyMemoryError struct {
	Cause error
	// RetryAt is the earliest useful time for a retry.
	RetryAt time.Time
}

// Error returns the cause.
func (e *BodyMemoryError) Error() string { return "the body was not read: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BodyMemoryError) Unwrap() error { return e.Cause }
