package launcher

import (
	"bytes"
	"io"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// queuedLines is how many lines may wait to be written. At the longest lines
	// of a request it is about two megabytes.
	queuedLines = 4096
	// lineRate is how many lines a second are written over a longer time, and
	// lineBurst how many at once: ten times what an entry writes on a day of
	// high load.
	lineRate  = 500.0
	lineBurst = 2000.0
	// flushTime is the longest wait for queued lines at the end of a process.
	flushTime = 500 * time.Millisecond
)

// Writer takes lines without ever waiting for what it writes to. Lines beyond
// its bounds are left out and counted; a line says how many.
type Writer struct {
	to    io.Writer
	lines chan []byte
	ended chan struct{}
	// omitted counts the lines left out since it was told last.
	omitted atomic.Int64

	// what follows belongs to run.
	room float64
	at   time.Time
}

// NewWriter returns a writer that has begun to write.
func NewWriter(to io.Writer) *Writer {
	w := &Writer{
		to:    to,
		lines: make(chan []byte, queuedLines),
		ended: make(chan struct{}),
		room:  lineBurst,
		at:    time.Now(),
	}
	go w.run()
	return w
}

// Write takes one line.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.omitted.Add(1)
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
	case <-w.ended:
	case <-time.After(flushTime):
	}
}

func (w *Writer) run() {
	defer close(w.ended)
	for line := range w.lines {
		if !w.allowed(time.Now()) {
			w.omitted.Add(1)
			continue
		}
		w.tellOmitted()
		// what can't be written has nowhere else to be told
		_, _ = w.to.Write(line)
	}
	w.tellOmitted()
}

// allowed takes a line out of the bound.
func (w *Writer) allowed(now time.Time) bool {
	w.room = min(lineBurst, w.room+lineRate*now.Sub(w.at).Seconds())
	w.at = now
	if w.room < 1 {
		return false
	}
	w.room--
	return true
}

func (w *Writer) tellOmitted() {
	if omitted := w.omitted.Swap(0); omitted > 0 {
		_, _ = io.WriteString(w.to, `{"level":"warn","msg":"log lines left out","lines":`+strconv.FormatInt(omitted, 10)+"}\n")
	}
}
