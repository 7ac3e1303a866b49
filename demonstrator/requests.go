package demonstrator

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"burdocklink/encoder"
)

// AnswerError reports an unexpected answer to a request.
type AnswerError struct{ Reason string }

// Error implements error.
func (e *AnswerError) Error() string { return e.Reason }

type listModels struct{}

// String implements step.
func (listModels) String() string { return "list models" }

// Run lists the models through the first entry.
func (listModels) Run(ctx *Context) error {
	body, err := ctx.request(0, http.MethodGet, encoder.PathModels, nil, nil)
	if err != nil {
		return err
	}
	return ctx.print("models: " + strings.TrimSpace(string(body)))
}

type streamChat struct{}

// String implements step.
func (streamChat) String() string { return "stream a chat" }

// Run streams a chat through the first entry and requires the terminal event.
func (streamChat) Run(ctx *Context) error {
	request := encoder.ChatRequest{
		Model:     baseModel,
		Messages:  []encoder.ChatMessage{{Role: "user", Content: "Which fillings suit a summer wedding?"}},
		Stream:    true,
		MaxTokens: 12,
	}
	body, err := ctx.request(0, http.MethodPost, encoder.PathChat, request, nil)
	if err != nil {
		return err
	}
	text, whole := readStream(body)
	if !whole {
		return &AnswerError{Reason: "the stream has no terminal event"}
	}
	return ctx.print("chat, streamed by entry-1: " + text)
}

// readStream returns the text of a streamed answer and whether it has a terminal
// event.
func readStream(body []byte) (text string, complete bool) {
	lines := bufio.NewScanner(strings.NewReader(string(body)))
	var joined strings.Builder
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !found:
		case data == encoder.StreamEnd:
			complete = true
		default:
			joined.WriteString(deltaText(data))
		}
	}
	return joined.String(), complete
}

func deltaText(data string) string {
	var chunk encoder.ChatChunk
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Delta.Content
}

type completeAdapter struct{}

// String implements step.
func (completeAdapter) String() string { return "complete with an adapter" }

// Run requests an unstreamed completion of an adapter through the second entry.
func (completeAdapter) Run(ctx *Context) error {
	request := encoder.ChatRequest{Model: adapterName, Prompt: "A menu of three cakes:", MaxTokens: 8}
	body, err := ctx.request(1, http.MethodPost, encoder.PathCompletions, request, nil)
	if err != nil {
		return err
	}
	return ctx.print("adapter, whole by entry-2: " + strings.TrimSpace(string(body)))
}

type bookOnce struct{}

// String implements step.
func (bookOnce) String() string { return "book once and send the booking again" }

// Run sends the same booking through both entries. The second answer must equal
// the first one, and the service must have run the booking once.
func (bookOnce) Run(ctx *Context) error {
	key := uuid.NewString()
	header := http.Header{encoder.HeaderIdempotencyKey: {key}}
	booking := map[string]string{"slot": "2027-06-05T10:00", "couple": "first-couple"}
	path := "/services/" + calendarService + "/bookings"
	first, err := ctx.request(0, http.MethodPost, path, booking, header)
	if err != nil {
		return err
	}
	second, err := ctx.request(1, http.MethodPost, path, booking, header)
	if err != nil {
		return err
	}
	if string(first) != string(second) {
		return &AnswerError{Reason: "the resent booking got a different answer"}
	}
	runs, err := ctx.executions(key)
	if err != nil {
		return err
	}
	if runs != 1 {
		return &AnswerError{Reason: "the booking ran " + strconv.Itoa(runs) + " times"}
	}
	return ctx.print("booking, sent through both entries, ran once: " + strings.TrimSpace(string(first)))
}

// executions returns how many calls with an idempotency key the calendar ran.
func (c *Context) executions(key string) (int, error) {
	response, err := http.Get("http://" + c.Service.Address() + encoder.PathRecord)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	var record encoder.ServiceRecord
	if err := json.NewDecoder(response.Body).Decode(&record); err != nil {
		return 0, err
	}
	count := 0
	for _, execution := range record.Calls {
		if execution.IdempotencyKey == key {
			count++
		}
	}
	return count, nil
}

type showStatus struct{}

// String implements step.
func (showStatus) String() string { return "show the status" }

// Run prints the leader, the revision and the models and adapters that each
// engine holds.
func (showStatus) Run(ctx *Context) error {
	waitCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	reply, err := ctx.Operator.Status(waitCtx)
	if err != nil {
		return err
	}
	revision := strconv.FormatUint(reply.GetRevision(), 10)
	if err := ctx.print("status: leader " + reply.GetLeader() + ", revision " + revision); err != nil {
		return err
	}
	for _, upstream := range reply.GetUpstreams() {
		holdings := strings.Join(append(upstream.GetModels(), upstream.GetAdapters()...), ", ")
		if err := ctx.print("  " + upstream.GetName() + " holds: " + holdings); err != nil {
			return err
		}
	}
	return nil
}

// request sends a request to an entry and returns the body of the answer. It
// returns an AnswerError for a status of 400 or above.
func (c *Context) request(entry int, method, path string, body any, header http.Header) ([]byte, error) {
	var content io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		content = strings.NewReader(string(data))
	}
	url := "http://" + c.Entries[entry].Receiver.Address() + path
	request, err := http.NewRequestWithContext(c, method, url, content)
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+c.SubscriberKey)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	if response.StatusCode >= http.StatusBadRequest {
		return nil, &AnswerError{Reason: response.Status + " " + string(answer)}
	}
	return answer, nil
}
