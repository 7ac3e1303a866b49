package launcher

import (
	"bytes"
	"io"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the maximum number of lines that wait to be written: about two
	// megabytes with the longest lines of a request.
	maxQueuedLines = 4096
	// lineRate (lines per second) and lineBurst (lines) limit the output. They are ten
	// times what an entry writes on a day of high load.
	lineRate  = 500.0
	lineBurst = 2000.0
	// flushTimeout is the maximum time to write queued lines when a process ends.
	flushTimeout = 500 * time.Millisecond
)

// Writer accepts log lines without ever waiting for its output. Lines beyond its
// limits are dropped, and a line with their number is written instead.
type Writer struct {
	to    io.Writer
	lines chan []byte
	done  chan struct{}
	// dropped counts the lines dropped since the last report.
	dropped atomic.Int64

	// The following fields are used by run only.
	tokens     float64
	refilledAt time.Time
}

// NewWriter returns a writer and starts its goroutine.
func NewWriter(to io.Writer) *Writer {
	w := &Writer{
		to:         to,
		lines:      make(chan []byte, maxQueuedLines),
		done:       make(chan struct{}),
		tokens:     lineBurst,
		refilledAt: time.Now(),
	}
	go w.run()
	return w
}

// Write queues one line, or drops it if the queue is full. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: waiting for the output could delay a request.
func (w *Writer) Sync() error { return nil }

// Close waits until the queued lines are written, at most flushTimeout. Write must
// not be called afterwards.
func (w *Writer) Close() {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if !w.allow(time.Now()) {
			w.dropped.Add(1)
			continue
		}
		w.reportDropped()
		// a failed write can't be reported anywhere else
		_, _ = w.to.Write(line)
	}
	w.reportDropped()
}

// allow takes a token for one line from the bucket and reports whether there was one.
func (w *Writer) allow(now time.Time) bool {
	w.tokens = min(lineBurst, w.tokens+lineRate*now.Sub(w.refilledAt).Seconds())
	w.refilledAt = now
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

func (w *Writer) reportDropped() {
	if dropped := w.dropped.Swap(0); dropped > 0 {
		_, _ = io.WriteString(w.to, `{"level":"warn","msg":"log lines dropped","lines":`+strconv.FormatInt(dropped, 10)+"}\n")
	}
}
