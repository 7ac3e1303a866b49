package receiver_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"burdocklink/encoder"
)

// engine is a simulated engine. Token n of an answer is the number n, and a continued
// answer starts after the tokens in the request.
type engine struct {
	mu      sync.Mutex
	streams map[string]encoder.ChatRequest
	calls   []string
	// cutAt, if set, reports whether to abort a stream after an event.
	cutAt func(call string, event int) bool
	// noResume makes requests to resume a stream fail.
	noResume bool
	// noContinuation makes requests to continue an answer fail.
	noContinuation bool
	// down makes the engine abort all further requests.
	down atomic.Bool
	// pad is added to each event to make it longer.
	pad string
	// beforeEvent, if set, is called before each event and can delay it.
	beforeEvent func(r *http.Request, event int)
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(encoder.HeaderRequestID)
	e.recordCall(r.Method + " " + r.URL.Path)
	if e.down.Load() {
		panic(http.ErrAbortHandler)
	}
	after := 0
	if r.Method == http.MethodDelete {
		return
	}
	var request encoder.ChatRequest
	if r.Method == http.MethodGet {
		id = strings.TrimPrefix(r.URL.Path, encoder.PathStreams)
		after, _ = strconv.Atoi(r.Header.Get(encoder.HeaderLastEventID))
		var known bool
		if request, known = e.find(id); !known {
			http.Error(w, "no such stream", http.StatusNotFound)
			return
		}
	} else if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.noContinuation && request.ContinueFinalMessage {
		http.Error(w, "the prompt is too long", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.streamTable()[id] = request
	e.mu.Unlock()
	e.stream(w, r, id, request, after)
}

func (e *engine) streamTable() map[string]encoder.ChatRequest {
	if e.streams == nil {
		e.streams = map[string]encoder.ChatRequest{}
	}
	return e.streams
}

func (e *engine) find(id string) (encoder.ChatRequest, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	request, ok := e.streamTable()[id]
	return request, ok && !e.noResume
}

func (e *engine) recordCall(call string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls = append(e.calls, call)
}

// count returns the number of calls whose method and path begin with the prefix.
func (e *engine) count(prefix string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	found := 0
	for _, call := range e.calls {
		if strings.HasPrefix(call, prefix) {
			found++
		}
	}
	return found
}

func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string, request encoder.ChatRequest, after int) {
	first := 0
	if request.ContinueFinalMessage {
		first = strings.Count(request.Messages[len(request.Messages)-1].Content, " ")
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(encoder.HeaderRequestID, id)
	control := http.NewResponseController(w)
	_ = control.Flush()
	for event := after + 1; event <= request.MaxTokens && r.Context().Err() == nil; event++ {
		if e.beforeEvent != nil {
			e.beforeEvent(r, event)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, chunk(id, request, first, event, e.pad))
		_ = control.Flush()
		if e.cutAt != nil && e.cutAt(r.Method, event) {
			panic(http.ErrAbortHandler)
		}
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", encoder.StreamEnd)
}

func chunk(id string, request encoder.ChatRequest, first, event int, pad string) []byte {
	choice := encoder.ChatChoice{Delta: encoder.ChatMessage{
		Role:    "assistant",
		Content: strconv.Itoa(first+event) + " ",
	}}
	if event == request.MaxTokens {
		choice.FinishReason = "stop"
	}
	data, _ := json.Marshal(encoder.ChatChunk{
		ID:      id,
		Object:  "chat.completion.chunk",
		Model:   request.Model + pad,
		Choices: []encoder.ChatChoice{choice},
	})
	return data
}

// text returns the answer with the given number of tokens.
func text(tokens int) string {
	var answer strings.Builder
	for token := 1; token <= tokens; token++ {
		answer.WriteString(strconv.Itoa(token) + " ")
	}
	return answer.String()
}

// readStream returns the text of a streamed answer, its chunk IDs and whether it ended
// with the end marker.
func readStream(body string) (got string, ids map[string]bool, ended bool) {
	ids = map[string]bool{}
	for _, line := range strings.Split(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == encoder.StreamEnd {
			return got, ids, true
		}
		chunk, err := encoder.DecodeStreamChunk([]byte(data))
		if err != nil {
			return got, ids, false
		}
		got += chunk.Text()
		ids[chunk.ID] = true
	}
	return got, ids, false
}
