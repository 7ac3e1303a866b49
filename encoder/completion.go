package encoder

import (
	"bytes"
	"encoding/json"
	"slices"
)

// fields of a completion request that the system reads or writes.
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

// structuredFields ask for more than one text.
var structuredFields = []string{"tools", "functions", "logprobs", "best_of", "echo", "audio"}

const includeUsageOption = `{"include_usage":true}`

// Completion is a completion request. What the system does not read passes
// through unchanged.
type Completion struct {
	Model  string
	Stream bool
	// MaxTokens is zero where the caller sets no limit.
	MaxTokens int
	// Chat is true for a chat, false for a plain prompt.
	Chat bool
	// SingleText is true where the answer is one text.
	SingleText bool
	// PromptBytes is the length of the prompt as it stands in the body, and
	// PromptHead its beginning.
	PromptBytes int
	PromptHead  []byte
	// body is all that is kept: many requests wait at the same time.
	body []byte
}

// completionFields are the fields of a request by name.
type completionFields map[string]json.RawMessage

// promptHeadBytes is the length of PromptHead.
const promptHeadBytes = 1 << 10

// DecodeCompletion reads the body of a completion request. The error is a
// *MalformedError that names the field at fault.
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

// StreamingBody returns the body that asks for a stream.
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

// ContinuationBody returns the body that asks for the rest of a streamed answer after
// a text that came in the given number of events.
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
