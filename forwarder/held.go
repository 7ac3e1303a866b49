package forwarder

import (
	"io"
	"sync/atomic"
)

// mostHeldBytes bounds the whole answers that are held at the same moment, which
// take up to three times as much while they grow: upstreams may send without end,
// and the smallest entry VM has 184 MB.
const mostHeldBytes = 32 << 20

// held counts the bytes of answers that an entry holds.
type held struct{ bytes atomic.Int64 }

// HeldBytesError says that no more bytes of answers can be held.
type HeldBytesError struct{ Limit int64 }

// Error describes the failure.
func (e *HeldBytesError) Error() string { return "too many bytes of answers are held" }

// heldReader counts what one request holds.
type heldReader struct {
	from io.Reader
	all  *held
	own  *int64
}

// Read reads on while there is room.
func (r *heldReader) Read(into []byte) (int, error) {
	n, err := r.from.Read(into)
	*r.own += int64(n)
	if r.all.bytes.Add(int64(n)) > mostHeldBytes {
		r.all.bytes.Add(-*r.own)
		*r.own = 0
		return n, &HeldBytesError{Limit: mostHeldBytes}
	}
	return n, err
}

// release gives back what a request held.
func (x *exchange) release() { x.held.bytes.Add(-x.heldBytes) }
