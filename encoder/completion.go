package encoder

import (
	"bytes"
	"encoding/json"
	"slices"
)

// Fields of a completion request that are read or written.
const (
	fieldModel                = "model"
	fieldStream               = "stream"
	fieldStreamOptions        = "stream_options"
	fieldMaxTokens            = "max_tokens"
	fieldMessages             = "messages"
	fieldPrompt               = "prompt"
	fieldContinueFinalMessage = "continue_final_message"
	fieldAddGenerationPrompt  = "add_generation_prompt"
	fieldChoices              = "n"
)

// structuredFields request output other than a single text.
var structuredFields = []string{"tools", "functions", "logprobs", "best_of", "echo", "audio"}

const includeUsageOption = `{"include_usage":true}`

// Completion is a completion request. Unknown fields are passed through unchanged.
type Completion struct {
	Model  string
	Stream bool
	// MaxTokens is zero if the caller sets no limit.
	MaxTokens int
	// Chat distinguishes a chat completion from a completion of a plain prompt.
	Chat bool
	// SingleText reports whether the answer is a single text: one choice without
	// structured output, and for a plain prompt only one prompt.
	SingleText bool
	// PromptBytes is the length of the JSON-encoded prompt in the body, PromptHead
	// its first bytes, at most promptHeadBytes.
	PromptBytes int
	PromptHead  []byte
	// body is kept instead of the decoded fields to save memory, since many requests
	// are queued at the same time.
	body []byte
}

// completionFields maps the names of a request's fields to their JSON values.
type completionFields map[string]json.RawMessage

// promptHeadBytes is the maximum length of PromptHead.
const promptHeadBytes = 1 << 10

// DecodeCompletion decodes the body of a completion request. The error is a
// *MalformedError that names the invalid field.
func DecodeCompletion(body []byte, chat bool) (*Completion, error) {
	c := &Completion{Chat: chat, body: body}
	fields, err := c.fields()
	if err != nil {
		return nil, err
	}
	if err := c.readFields(fields); err != nil {
		return nil, err
	}
	if c.Model == "" {
		return nil, &MalformedError{Subject: "field model: it is missing"}
	}
	if err := c.checkPrompt(fields); err != nil {
		return nil, err
	}
	prompt := fields[c.promptField()]
	c.PromptBytes = len(prompt)
	c.PromptHead = bytes.Clone(prompt[:min(len(prompt), promptHeadBytes)])
	return c, nil
}

func (c *Completion) fields() (completionFields, error) {
	var fields completionFields
	if err := json.Unmarshal(c.body, &fields); err != nil {
		return nil, &MalformedError{Subject: "JSON body", Cause: err}
	}
	return fields, nil
}

func (c *Completion) promptField() string {
	if c.Chat {
		return fieldMessages
	}
	return fieldPrompt
}

func (c *Completion) readFields(fields completionFields) error {
	choices := 1
	targets := map[string]any{
		fieldModel:     &c.Model,
		fieldStream:    &c.Stream,
		fieldMaxTokens: &c.MaxTokens,
		fieldChoices:   &choices,
	}
	for name, target := range targets {
		raw, ok := fields[name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(raw, target); err != nil {
			return &MalformedError{Subject: "field " + name, Cause: err}
		}
	}
	if c.MaxTokens < 0 {
		return &MalformedError{Subject: "field max_tokens: it is negative"}
	}
	c.SingleText = choices == 1 && !slices.ContainsFunc(structuredFields, fields.has)
	return nil
}

func (f completionFields) has(field string) bool {
	raw, ok := f[field]
	return ok && string(raw) != "null" && string(raw) != "false"
}

func (c *Completion) checkPrompt(fields completionFields) error {
	if !c.Chat {
		return c.checkText(fields)
	}
	var messages []json.RawMessage
	if err := json.Unmarshal(fields[fieldMessages], &messages); err != nil || len(messages) == 0 {
		return &MalformedError{Subject: "field messages: a list of messages is needed"}
	}
	return nil
}

func (c *Completion) checkText(fields completionFields) error {
	if !fields.has(fieldPrompt) {
		return &MalformedError{Subject: "field prompt: it is missing"}
	}
	var text string
	if json.Unmarshal(fields[fieldPrompt], &text) != nil {
		c.SingleText = false
	}
	return nil
}

// Body returns the body as the caller sent it.
func (c *Completion) Body() []byte { return c.body }

// StreamingBody returns the body of a streaming request for the same completion. If
// the caller did not ask for a stream, token usage is requested too.
func (c *Completion) StreamingBody() ([]byte, error) {
	if c.Stream {
		return c.body, nil
	}
	fields, err := c.fields()
	if err != nil {
		return nil, err
	}
	fields[fieldStream] = json.RawMessage("true")
	fields[fieldStreamOptions] = json.RawMessage(includeUsageOption)
	return encodeFields(fields)
}

// ContinuationBody returns the body of a streaming request for the rest of an answer
// of which text has been received in the given number of events.
func (c *Completion) ContinuationBody(text string, events int) ([]byte, error) {
	fields, err := c.fields()
	if err != nil {
		return nil, err
	}
	fields[fieldStream] = json.RawMessage("true")
	if !c.Stream {
		fields[fieldStreamOptions] = json.RawMessage(includeUsageOption)
	}
	if c.MaxTokens > 0 {
		remaining, err := json.Marshal(max(1, c.MaxTokens-events))
		if err != nil {
			return nil, &MalformedError{Subject: "field max_tokens", Cause: err}
		}
		fields[fieldMaxTokens] = remaining
	}
	if c.Chat {
		return c.continueChat(fields, text)
	}
	var prompt string
	if err := json.Unmarshal(fields[fieldPrompt], &prompt); err != nil {
		return nil, &MalformedError{Subject: "field prompt", Cause: err}
	}
	extended, err := json.Marshal(prompt + text)
	if err != nil {
		return nil, &MalformedError{Subject: "field prompt", Cause: err}
	}
	fields[fieldPrompt] = extended
	return encodeFields(fields)
}

func (c *Completion) continueChat(fields completionFields, text string) ([]byte, error) {
	var messages []json.RawMessage
	if err := json.Unmarshal(fields[fieldMessages], &messages); err != nil {
		return nil, &MalformedError{Subject: "field messages", Cause: err}
	}
	message := ChatMessage{Role: "assistant", Content: text}
	if fields.has(fieldContinueFinalMessage) {
		var last ChatMessage
		if err := json.Unmarshal(messages[len(messages)-1], &last); err != nil {
			return nil, &MalformedError{Subject: "last message", Cause: err}
		}
		message.Content = last.Content + text
		messages = messages[:len(messages)-1]
	}
	added, err := json.Marshal(message)
	if err != nil {
		return nil, &MalformedError{Subject: "last message", Cause: err}
	}
	if fields[fieldMessages], err = json.Marshal(append(messages, added)); err != nil {
		return nil, &MalformedError{Subject: "field messages", Cause: err}
	}
	fields[fieldContinueFinalMessage] = json.RawMessage("true")
	fields[fieldAddGenerationPrompt] = json.RawMessage("false")
	return encodeFields(fields)
}

func encodeFields(fields completionFields) ([]byte, error) {
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, &MalformedError{Subject: "JSON body", Cause: err}
	}
	return body, nil
}
