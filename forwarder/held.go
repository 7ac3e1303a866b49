package forwarder

import (
	"io"
	"sync/atomic"
)

// maxBufferedBytes bounds the whole answers that are held at the same moment, which
// take up to three times as much while they grow: upstreams may send without end,
// and the smallest entry VM has 184 MB.
const maxBufferedBytes = 32 << 20

// bufferedBytes counts the bytes of answers that an entry holds.
type bufferedBytes struct{ bytes atomic.Int64 }

// BufferLimitError says that no more bytes of answers can be held.
type BufferLimitError struct{ Limit int64 }

// Error describes the failure.
func (e *BufferLimitError) Error() string { return "too many bytes of answers are held" }

// limitedReader counts what one request holds.
type limitedReader struct {
	source io.Reader
	total  *bufferedBytes
	own    *int64
}

// Read reads on while there is room.
func (r *limitedReader) Read(into []byte) (int, error) {
	n, err := r.source.Read(into)
	*r.own += int64(n)
	if r.total.bytes.Add(int64(n)) > maxBufferedBytes {
		r.total.bytes.Add(-*r.own)
		*r.own = 0
		return n, &BufferLimitError{Limit: maxBufferedBytes}
	}
	return n, err
}

// releaseBuffer gives back what a request held.
func (x *exchange) releaseBuffer() { x.buffered.bytes.Add(-x.ownBytes) }
