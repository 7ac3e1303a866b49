package launcher

import (
	"bytes"
	"io"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is how many lines may wait to be written. At the longest lines
	// of a request it is about two megabytes.
	maxQueuedLines = 4096
	// lineRate is how many lines a second are written over a longer time, and
	// lineBurst how many at once: ten times what an entry writes on a day of
	// high load.
	lineRate  = 500.0
	lineBurst = 2000.0
	// flushTimeout is the longest wait for queued lines at the end of a process.
	flushTimeout = 500 * time.Millisecond
)

// Writer takes lines without ever waiting for what it writes to. Lines beyond
// its bounds are left out and counted; a line says how many.
type Writer struct {
	to    io.Writer
	lines chan []byte
	done  chan struct{}
	// dropped counts the lines left out since it was told last.
	dropped atomic.Int64

	// what follows belongs to run.
	tokens     float64
	refilledAt time.Time
}

// NewWriter returns a writer that has begun to write.
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

// Write takes one line.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: a log that waited could hold up a request.
func (w *Writer) Sync() error { return nil }

// Close writes what is queued, unless that takes long. Write must not be
// called afterwards.
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
		// what can't be written has nowhere else to be told
		_, _ = w.to.Write(line)
	}
	w.reportDropped()
}

// allow takes a line out of the bound.
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
		_, _ = io.WriteString(w.to, `{"level":"warn","msg":"log lines left out","lines":`+strconv.FormatInt(dropped, 10)+"}\n")
	}
}
