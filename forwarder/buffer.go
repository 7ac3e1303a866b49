package forwarder

import (
	"io"
	"sync/atomic"
)

// defaultAnswerBytes is the limit for the whole answers and the parts of events that an entry
// buffers at the same time. Growing buffers take up to three times as much, and upstreams may send without end.
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

// ownBuffer counts the bytes that are buffered for one request.
type ownBuffer struct {
	total *bufferedBytes
	own   *int64
}

// hold counts further bytes. It returns a *BufferLimitError once the limit of the entry is
// exceeded; the request holds nothing then.
func (b ownBuffer) hold(bytes int) error {
	*b.own += int64(bytes)
	if b.total.bytes.Add(int64(bytes)) > b.total.limit {
		b.total.bytes.Add(-*b.own)
		*b.own = 0
		return &BufferLimitError{Limit: b.total.limit}
	}
	return nil
}

// release counts bytes as no longer held.
func (b ownBuffer) release(bytes int) {
	*b.own -= int64(bytes)
	b.total.bytes.Add(-int64(bytes))
}

// limitedReader counts the bytes that are read into the buffer of one request.
type limitedReader struct {
	source io.Reader
	buffer ownBuffer
}

// Read returns a *BufferLimitError once the limit of the entry is exceeded.
func (r *limitedReader) Read(into []byte) (int, error) {
	n, err := r.source.Read(into)
	if err := r.buffer.hold(n); err != nil {
		return n, err
	}
	return n, err
}

func (x *exchange) ownBuffer() ownBuffer { return ownBuffer{total: &x.buffered, own: &x.ownBytes} }

// releaseBuffer subtracts the bytes of this request from the entry's total.
func (x *exchange) releaseBuffer() { x.buffered.bytes.Add(-x.ownBytes) }
