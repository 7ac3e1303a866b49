package faker

import (
	"context"
	"net/http"

	"burdocklink/encoder"
)

// eventWriter sends server-sent events to one reader and applies the active
// faults.
type eventWriter struct {
	faults     *faults
	connection uint64
	ctx        context.Context
	w          http.ResponseWriter
	control    *http.ResponseController
	sent       int
	// delayed is an event that is sent after the next one.
	delayed []byte
}

// write sends one event for each token and reports whether the stream goes on.
func (o *eventWriter) write(from *stream, last int, tokens []string, state streamState) bool {
	for i, token := range tokens {
		if !o.ready() {
			return false
		}
		final := state == streamDone && i == len(tokens)-1
		o.send(tokenEvent(from, last+i+1, token, final))
	}
	o.flush()
	return true
}

// ready waits while the engine is frozen, and returns false once the reader has
// disconnected. On a silenced connection it waits until then. It drops a connection
// that is to be cut.
func (o *eventWriter) ready() bool {
	if err := o.faults.wait(o.ctx); err != nil {
		return false
	}
	if o.faults.silent(o.connection) {
		o.flush()
		<-o.ctx.Done()
		return false
	}
	if o.faults.cutNow(o.sent) {
		o.flush()
		drop()
	}
	return true
}

// send writes one event, duplicated or reordered if such a fault is active.
func (o *eventWriter) send(line []byte) {
	faults := o.faults.get()
	o.sent++
	if faults.ReorderEvents && o.delayed == nil {
		o.delayed = line
		return
	}
	_, _ = o.w.Write(line)
	if faults.DuplicateEvents {
		_, _ = o.w.Write(line)
	}
	o.writeDelayed()
}

// writeDelayed writes the delayed event, if any.
func (o *eventWriter) writeDelayed() {
	if o.delayed == nil {
		return
	}
	_, _ = o.w.Write(o.delayed)
	o.delayed = nil
}

// end writes the usage event, if requested, and the terminal event. The usage
// is left out if the reader resumes after it.
func (o *eventWriter) end(from *stream, last int) {
	if !o.ready() {
		return
	}
	o.writeDelayed()
	tokens, _, _ := from.after(0)
	if from.includeUsage && last <= len(tokens) {
		_, _ = o.w.Write(usageEvent(from, len(tokens)+1))
	}
	_, _ = o.w.Write([]byte("data: " + encoder.StreamEnd + "\n\n"))
	o.flush()
}

func (o *eventWriter) flush() { _ = o.control.Flush() }
