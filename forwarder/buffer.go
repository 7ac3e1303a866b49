package forwarder

import (
	"io"
	"sync/atomic"
)

// defaultAnswerBytes is the limit for the whole answers that an entry buffers at the same
// time. Growing buffers take up to three times as much, and upstreams may send without end.
const defaultAnswerBytes = 32 << 20

// bufferedBytes counts the bytes of answers that an entry buffers, up to a limit.
type bufferedBytes struct {
	bytes atomic.Int64
	limit int64
}

// BufferLimitError is returned if the buffered answers exceed Limit, in bytes.
type BufferLimitError struct{ Limit int64 }

// Error implements error.
func (e *BufferLimitError) Error() string { return "too many bytes of answers are held" }

// limitedReader counts the bytes that are read into the buffer of one request.
type limitedReader struct {
	source io.Reader
	total  *bufferedBytes
	own    *int64
}

// Read returns a *BufferLimitError once the limit of the entry is exceeded.
func (r *limitedReader) Read(into []byte) (int, error) {
	n, err := r.source.Read(into)
	*r.own += int64(n)
	if r.total.bytes.Add(int64(n)) > r.total.limit {
		r.total.bytes.Add(-*r.own)
		*r.own = 0
		return n, &BufferLimitError{Limit: r.total.limit}
	}
	return n, err
}

// releaseBuffer subtracts the bytes of this request from the entry's total.
func (x *exchange) releaseBuffer() { x.buffered.bytes.Add(-x.ownBytes) }
