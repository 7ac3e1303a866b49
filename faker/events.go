package faker

import (
	"context"
	"net/http"

	"burdocklink/encoder"
)

// eventWriter sends events to one reader, with the faults that are on.
type eventWriter struct {
	faults     *faults
	connection uint64
	ctx        context.Context
	w          http.ResponseWriter
	control    *http.ResponseController
	sent       int
	// delayed is an event kept back to swap it with the next one.
	delayed []byte
}

// write sends tokens and says whether the reader is still there.
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

// ready waits while frozen, and for ever where the connection is silent.
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

// send writes one event, twice or in another order where a fault asks for it.
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

// writeDelayed writes the event that was kept back.
func (o *eventWriter) writeDelayed() {
	if o.delayed == nil {
		return
	}
	_, _ = o.w.Write(o.delayed)
	o.delayed = nil
}

// end writes the terminal event, after the usage where it was asked for. The
// reader may have had the usage already.
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
