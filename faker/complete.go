package faker

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"burdocklink/encoder"
)

const (
	// defaultMaxTokens is the length of an answer without max_tokens.
	defaultMaxTokens = 16
	finishLength     = "length"
	roleAssistant    = "assistant"
)

// complete runs a chat or plain completion.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var request encoder.ChatRequest
	if !read(w, r, &request) {
		return
	}
	if e.faults.get().RefuseRequests {
		refuse(w, http.StatusServiceUnavailable, "overloaded", "the engine takes no work")
		return
	}
	if !e.ledger.use(request.Model) {
		refuse(w, http.StatusNotFound, "model_not_found", "the model "+request.Model+" is not loaded")
		return
	}
	added := e.newStream(r, request)
	added.attach()
	e.add(added)
	e.batch.submit(added)
	defer added.detach(time.Now().Add(e.settings.ResumeTime))
	if request.Stream {
		e.relay(w, r, added, 0)
		return
	}
	e.answerWhole(w, r, added)
}

// newStream makes the stream of a request, with what the prefix cache saves.
func (e *Engine) newStream(r *http.Request, request encoder.ChatRequest) *stream {
	text := prompt(request)
	priority, _ := strconv.Atoi(r.Header.Get(encoder.HeaderPriority))
	added := &stream{
		id:           r.Header.Get(encoder.HeaderRequestID),
		path:         r.URL.Path,
		model:        request.Model,
		priority:     priority,
		limit:        request.MaxTokens,
		started:      time.Now(),
		source:       newGenerator(request.Model, text),
		promptTokens: countTokens(text),
		changed:      make(chan struct{}),
		release:      func() { e.ledger.release(request.Model) },
	}
	if added.id == "" {
		added.id = uuid.NewString()
	}
	if added.limit <= 0 {
		added.limit = defaultMaxTokens
	}
	added.cachedTokens = min(e.cache.visit(request.Model, text), added.promptTokens)
	added.prefillLeft = float64(added.promptTokens - added.cachedTokens)
	return added
}

// answerWhole waits for the end and answers at once.
func (e *Engine) answerWhole(w http.ResponseWriter, r *http.Request, from *stream) {
	tokens, state, changed := from.after(0)
	for state < streamDone {
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
		tokens, state, changed = from.after(0)
	}
	if state == streamCancelled {
		drop()
	}
	if err := e.faults.wait(r.Context()); err != nil {
		return
	}
	w.Header().Set(encoder.HeaderRequestID, from.id)
	answer(w, http.StatusOK, whole(from, strings.Join(tokens, "")))
}

// whole is the body of an answer that is not streamed.
func whole(from *stream, text string) encoder.ChatChunk {
	choice := encoder.ChatChoice{FinishReason: finishLength}
	object := "text_completion"
	if from.path == encoder.PathChat {
		object = "chat.completion"
		choice.Message = encoder.ChatMessage{Role: roleAssistant, Content: text}
	} else {
		choice.Text = text
	}
	return encoder.ChatChunk{
		ID:      from.id,
		Object:  object,
		Model:   from.model,
		Choices: []encoder.ChatChoice{choice},
	}
}

// event is the server-sent event of one token, counted from 1.
func event(from *stream, number int, text string) []byte {
	choice := encoder.ChatChoice{}
	object := "text_completion"
	if from.path == encoder.PathChat {
		object = "chat.completion.chunk"
		choice.Delta = encoder.ChatMessage{Role: roleAssistant, Content: text}
	} else {
		choice.Text = text
	}
	if number == from.limit {
		choice.FinishReason = finishLength
	}
	data, _ := json.Marshal(encoder.ChatChunk{
		ID:      from.id,
		Object:  object,
		Model:   from.model,
		Choices: []encoder.ChatChoice{choice},
	})
	line := make([]byte, 0, len(data)+24)
	line = append(line, "id: "...)
	line = strconv.AppendInt(line, int64(number), 10)
	line = append(line, "\ndata: "...)
	line = append(line, data...)
	return append(line, "\n\n"...)
}

// resume sends a stream from the event after Last-Event-ID on.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	found := e.find(r.PathValue("id"))
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if found == nil || e.faults.get().ForgetStreams || last < 0 {
		refuse(w, http.StatusNotFound, "stream_not_found", "no such stream")
		return
	}
	if _, state, _ := found.after(0); state == streamCancelled {
		refuse(w, http.StatusNotFound, "stream_cancelled", "the stream was cancelled")
		return
	}
	found.attach()
	defer found.detach(time.Now().Add(e.settings.ResumeTime))
	e.relay(w, r, found, last)
}

// cancel ends a stream.
func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	found := e.find(r.PathValue("id"))
	if found == nil {
		refuse(w, http.StatusNotFound, "stream_not_found", "no such stream")
		return
	}
	found.setState(streamCancelled)
	w.WriteHeader(http.StatusNoContent)
}

// relay writes the events after the last one the reader has.
func (e *Engine) relay(w http.ResponseWriter, r *http.Request, from *stream, last int) {
	out := &eventWriter{
		faults:     e.faults,
		connection: e.faults.connect(),
		ctx:        r.Context(),
		w:          w,
		control:    http.NewResponseController(w),
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(encoder.HeaderRequestID, from.id)
	w.WriteHeader(http.StatusOK)
	out.flush()
	for {
		tokens, state, changed := from.after(last)
		if !out.write(from, last, tokens) {
			return
		}
		last += len(tokens)
		if state == streamCancelled {
			drop()
		}
		if state == streamDone {
			out.end()
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// eventWriter sends events to one reader, with the faults that are on.
type eventWriter struct {
	faults     *faults
	connection uint64
	ctx        context.Context
	w          http.ResponseWriter
	control    *http.ResponseController
	sent       int
	// held is an event kept back to swap it with the next one.
	held []byte
}

// write sends tokens and says whether the reader is still there.
func (o *eventWriter) write(from *stream, last int, tokens []string) bool {
	for i, token := range tokens {
		if !o.ready() {
			return false
		}
		o.send(event(from, last+i+1, token))
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
	if o.faults.cut(o.sent) {
		o.flush()
		drop()
	}
	return true
}

// send writes one event, twice or in another order where a fault asks for it.
func (o *eventWriter) send(line []byte) {
	faults := o.faults.get()
	o.sent++
	if faults.ReorderEvents && o.held == nil {
		o.held = line
		return
	}
	_, _ = o.w.Write(line)
	if faults.DuplicateEvents {
		_, _ = o.w.Write(line)
	}
	o.release()
}

// release writes the event that was kept back.
func (o *eventWriter) release() {
	if o.held == nil {
		return
	}
	_, _ = o.w.Write(o.held)
	o.held = nil
}

// end writes the terminal event.
func (o *eventWriter) end() {
	if !o.ready() {
		return
	}
	o.release()
	_, _ = o.w.Write([]byte("data: " + encoder.StreamEnd + "\n\n"))
	o.flush()
}

func (o *eventWriter) flush() { _ = o.control.Flush() }
