package faker

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"burdocklink/encoder"
)

const (
	finishLength  = "length"
	finishStop    = "stop"
	roleAssistant = "assistant"
)

// complete serves POST PathChat and PathCompletions.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var request encoder.EngineRequest
	if !read(w, r, &request) {
		return
	}
	if e.faults.get().RefuseRequests {
		refuse(w, http.StatusServiceUnavailable, "overloaded", "the engine takes no work")
		return
	}
	if !e.ledger.acquire(request.Model) {
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
	e.answerUnstreamed(w, r, added)
}

// newStream returns the stream of a request. Tokens found in the prefix cache
// are not prefilled.
func (e *Engine) newStream(r *http.Request, request encoder.EngineRequest) *stream {
	text := prompt(request.ChatRequest)
	priority, _ := strconv.Atoi(r.Header.Get(encoder.HeaderPriority))
	added := &stream{
		id:           r.Header.Get(encoder.HeaderRequestID),
		path:         r.URL.Path,
		model:        request.Model,
		priority:     priority,
		limit:        request.MaxTokens,
		unlimited:    request.MaxTokens <= 0,
		includeUsage: request.StreamOptions.IncludeUsage,
		started:      time.Now(),
		source:       newGenerator(request.Model, text),
		promptTokens: countTokens(text),
		changed:      make(chan struct{}),
		release:      func() { e.ledger.release(request.Model) },
	}
	if added.id == "" {
		added.id = uuid.NewString()
	}
	if added.unlimited {
		added.limit = maxAnswerTokens
	}
	added.cachedTokens = min(e.cache.add(request.Model, text), added.promptTokens)
	added.prefillLeft = float64(added.promptTokens - added.cachedTokens)
	return added
}

// answerUnstreamed waits until the stream has ended and sends its text in one
// answer.
func (e *Engine) answerUnstreamed(w http.ResponseWriter, r *http.Request, from *stream) {
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
	answer(w, http.StatusOK, completion(from, strings.Join(tokens, "")))
}

// completion returns the body of an unstreamed answer.
func completion(from *stream, text string) encoder.EngineChunk {
	choice := encoder.ChatChoice{FinishReason: from.finishReason()}
	object := "text_completion"
	if from.path == encoder.PathChat {
		object = "chat.completion"
		choice.Message = encoder.ChatMessage{Role: roleAssistant, Content: text}
	} else {
		choice.Text = text
	}
	return encoder.EngineChunk{
		ChatChunk: encoder.ChatChunk{
			ID:      from.id,
			Object:  object,
			Model:   from.model,
			Choices: []encoder.ChatChoice{choice},
		},
		Usage: from.tokenUsage(),
	}
}

// finishReason returns the finish_reason of the last choice.
func (s *stream) finishReason() string {
	if s.unlimited {
		return finishStop
	}
	return finishLength
}

// tokenUsage returns the numbers of prompt and completion tokens so far.
func (s *stream) tokenUsage() *encoder.Usage {
	tokens, _, _ := s.after(0)
	return &encoder.Usage{
		PromptTokens:     s.promptTokens,
		CompletionTokens: len(tokens),
		TotalTokens:      s.promptTokens + len(tokens),
	}
}

// tokenEvent returns the server-sent event of a token; numbers start at 1.
func tokenEvent(from *stream, number int, text string, last bool) []byte {
	choice := encoder.ChatChoice{}
	if from.path == encoder.PathChat {
		choice.Delta = encoder.ChatMessage{Role: roleAssistant, Content: text}
	} else {
		choice.Text = text
	}
	if last {
		choice.FinishReason = from.finishReason()
	}
	return event(number, encoder.EngineChunk{ChatChunk: chunk(from, choice)})
}

// usageEvent returns the server-sent event with the token usage, which follows
// the last token.
func usageEvent(from *stream, number int) []byte {
	return event(number, encoder.EngineChunk{ChatChunk: chunk(from), Usage: from.tokenUsage()})
}

func chunk(from *stream, choices ...encoder.ChatChoice) encoder.ChatChunk {
	object := "text_completion"
	if from.path == encoder.PathChat {
		object = "chat.completion.chunk"
	}
	return encoder.ChatChunk{
		ID:      from.id,
		Object:  object,
		Model:   from.model,
		Choices: append([]encoder.ChatChoice{}, choices...),
	}
}

func event(number int, value encoder.EngineChunk) []byte {
	data, _ := json.Marshal(value)
	line := make([]byte, 0, len(data)+24)
	line = append(line, "id: "...)
	line = strconv.AppendInt(line, int64(number), 10)
	line = append(line, "\ndata: "...)
	line = append(line, data...)
	return append(line, "\n\n"...)
}

// resume serves GET PathStreams/ID: the events after Last-Event-ID.
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

// cancel serves DELETE PathStreams/ID.
func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	found := e.find(r.PathValue("id"))
	if found == nil {
		refuse(w, http.StatusNotFound, "stream_not_found", "no such stream")
		return
	}
	found.setState(streamCancelled)
	w.WriteHeader(http.StatusNoContent)
}

// relay writes the events after number last until the stream ends or the reader
// disconnects.
func (e *Engine) relay(w http.ResponseWriter, r *http.Request, from *stream, last int) {
	out := &eventWriter{
		faults:     e.faults,
		connection: e.faults.addConnection(),
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
		if !out.write(from, last, tokens, state) {
			return
		}
		last += len(tokens)
		if state == streamCancelled {
			drop()
		}
		if state == streamDone {
			out.end(from, last)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}
