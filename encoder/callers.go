package encoder

import (
	"encoding/json"
	"time"
)

// HeaderSubscriber tells an upstream whose request it is. The system sets it
// from the authenticated key and drops what a caller sends.
const HeaderSubscriber = "Burdocklink-Subscriber"

// HeaderLastEventID names the event after which a stream is resumed.
const HeaderLastEventID = "Last-Event-ID"

// Words of HeaderOutcome.
const (
	// OutcomeRan says that the request ran.
	OutcomeRan = "ran"
	// OutcomeNotRun says that the request did not run and will not.
	OutcomeNotRun = "not-run"
	// OutcomeUnknown says that the request may or may not have run.
	OutcomeUnknown = "unknown"
)

// ErrorReply is the body of every refusal.
type ErrorReply struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what went wrong and what to do.
type ErrorDetail struct {
	// Type is a word in kebab case that programs can compare.
	Type    string `json:"type"`
	Message string `json:"message"`
	// Outcome is the word of HeaderOutcome.
	Outcome   string `json:"outcome"`
	RequestID string `json:"request-id"`
	// RetryAfter is when a repeat makes sense.
	RetryAfter time.Time `json:"retry-after,omitzero"`
}

// ModelList is the answer to GET PathModels.
type ModelList struct {
	Object string      `json:"object"`
	Data   []ModelLine `json:"data"`
}

// ModelLine is one model or adapter of a ModelList.
type ModelLine struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
	// Parent is the base model of an adapter.
	Parent string `json:"parent,omitempty"`
}

// StreamChunk is what the relay reads of the data of a streamed event.
type StreamChunk struct {
	ID      string          `json:"id"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []ChatChoice    `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
	Error   json.RawMessage `json:"error,omitempty"`
}

// CompletionResponse is a completion that was put together from its stream.
type CompletionResponse struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created,omitempty"`
	Model   string          `json:"model"`
	Choices []ChatChoice    `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

// MalformedError says that a body or an event is not what it must be.
type MalformedError struct {
	Subject string
	Cause   error
}

// Error describes the fault.
func (e *MalformedError) Error() string {
	if e.Cause == nil {
		return "malformed " + e.Subject
	}
	return "malformed " + e.Subject + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// DecodeStreamChunk reads the data of a streamed event.
func DecodeStreamChunk(data []byte) (StreamChunk, error) {
	var chunk StreamChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return StreamChunk{}, &MalformedError{Subject: "event", Cause: err}
	}
	return chunk, nil
}

// Text returns the text that the chunk adds to its first choice.
func (c StreamChunk) Text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Delta.Content + c.Choices[0].Text
}

// Finished returns true where the chunk carries the finish reason.
func (c StreamChunk) Finished() bool {
	return len(c.Choices) > 0 && c.Choices[0].FinishReason != ""
}

// RewriteContinuationChunk returns the chunk's data with the ID of the answer that it
// continues and without the role, which the caller has already.
func RewriteContinuationChunk(data []byte, id string) ([]byte, error) {
	var chunk map[string]json.RawMessage
	if err := json.Unmarshal(data, &chunk); err != nil {
		return nil, &MalformedError{Subject: "event", Cause: err}
	}
	encodedID, err := json.Marshal(id)
	if err != nil {
		return nil, &MalformedError{Subject: "event", Cause: err}
	}
	chunk["id"] = encodedID
	var choices []map[string]json.RawMessage
	if err := json.Unmarshal(chunk["choices"], &choices); err != nil {
		return nil, &MalformedError{Subject: "choices", Cause: err}
	}
	for _, choice := range choices {
		dropRole(choice)
	}
	if chunk["choices"], err = json.Marshal(choices); err != nil {
		return nil, &MalformedError{Subject: "choices", Cause: err}
	}
	return json.Marshal(chunk)
}

func dropRole(choice map[string]json.RawMessage) {
	var delta map[string]json.RawMessage
	if json.Unmarshal(choice["delta"], &delta) != nil || delta == nil {
		return
	}
	delete(delta, "role")
	if encoded, err := json.Marshal(delta); err == nil {
		choice["delta"] = encoded
	}
}
