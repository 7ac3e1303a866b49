package encoder

import (
	"encoding/json"
	"time"
)

// HeaderSubscriber names the subscriber of a request to an upstream. It is set from
// the authenticated key; a value sent by the caller is dropped.
const HeaderSubscriber = "Burdocklink-Subscriber"

// HeaderLastEventID is the ID of the event after which a stream is resumed.
const HeaderLastEventID = "Last-Event-ID"

// Values of HeaderOutcome.
const (
	// OutcomeRan means that the request ran.
	OutcomeRan = "ran"
	// OutcomeNotRun means that the request did not run and will not.
	OutcomeNotRun = "not-run"
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown = "unknown"
)

// ErrorReply is the body of every error answer to a caller.
type ErrorReply struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error and when to retry.
type ErrorDetail struct {
	// Type is a stable identifier in kebab case for use by programs.
	Type    string `json:"type"`
	Message string `json:"message"`
	// Outcome is the value of HeaderOutcome.
	Outcome   string `json:"outcome"`
	RequestID string `json:"request-id"`
	// RetryAfter is the time at which a retry may succeed.
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

// StreamChunk contains the fields of a streamed event that the relay reads.
type StreamChunk struct {
	ID      string          `json:"id"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []ChatChoice    `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
	Error   json.RawMessage `json:"error,omitempty"`
}

// CompletionResponse is a complete answer that is assembled from a stream.
type CompletionResponse struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created,omitempty"`
	Model   string          `json:"model"`
	Choices []ChatChoice    `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

// MalformedError reports an invalid body, event or file.
type MalformedError struct {
	Subject string
	Cause   error
}

// Error implements error.
func (e *MalformedError) Error() string {
	if e.Cause == nil {
		return "malformed " + e.Subject
	}
	return "malformed " + e.Subject + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// DecodeStreamChunk decodes the data of a streamed event. The error is a
// *MalformedError.
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

// Finished reports whether the chunk carries a finish reason.
func (c StreamChunk) Finished() bool {
	return len(c.Choices) > 0 && c.Choices[0].FinishReason != ""
}

// RewriteContinuationChunk replaces the chunk's ID by the ID of the answer that it
// continues and removes the role, which the caller has already received.
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
