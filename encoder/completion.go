package encoder

import (
	"encoding/json"
	"maps"
	"slices"
)

// fields of a completion request that the system reads or writes.
const (
	fieldModel         = "model"
	fieldStream        = "stream"
	fieldStreamOptions = "stream_options"
	fieldMaxTokens     = "max_tokens"
	fieldMessages      = "messages"
	fieldPrompt        = "prompt"
	fieldContinue      = "continue_final_message"
	fieldAddPrompt     = "add_generation_prompt"
	fieldChoices       = "n"
)

// structuredFields ask for more than one text.
var structuredFields = []string{"tools", "functions", "logprobs", "best_of", "echo", "audio"}

const usageAsked = `{"include_usage":true}`

// Completion is a completion request. What the system does not read passes
// through unchanged.
type Completion struct {
	Model  string
	Stream bool
	// MaxTokens is zero where the caller sets no limit.
	MaxTokens int
	// Chat is true for a chat, false for a plain prompt.
	Chat bool
	// Plain is true where the answer is one text.
	Plain  bool
	fields map[string]json.RawMessage
	body   []byte
}

// DecodeCompletion reads the body of a completion request. The error is a
// *MalformedError that names the field at fault.
func DecodeCompletion(body []byte, chat bool) (*Completion, error) {
	c := &Completion{Chat: chat, body: body}
	if err := json.Unmarshal(body, &c.fields); err != nil {
		return nil, &MalformedError{What: "JSON body", Cause: err}
	}
	if err := c.readFields(); err != nil {
		return nil, err
	}
	if c.Model == "" {
		return nil, &MalformedError{What: "field model: it is missing"}
	}
	return c, c.checkPrompt()
}

func (c *Completion) readFields() error {
	choices := 1
	reads := map[string]any{
		fieldModel:     &c.Model,
		fieldStream:    &c.Stream,
		fieldMaxTokens: &c.MaxTokens,
		fieldChoices:   &choices,
	}
	for name, into := range reads {
		raw, ok := c.fields[name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(raw, into); err != nil {
			return &MalformedError{What: "field " + name, Cause: err}
		}
	}
	if c.MaxTokens < 0 {
		return &MalformedError{What: "field max_tokens: it is negative"}
	}
	c.Plain = choices == 1 && !slices.ContainsFunc(structuredFields, c.has)
	return nil
}

func (c *Completion) has(field string) bool {
	raw, ok := c.fields[field]
	return ok && string(raw) != "null" && string(raw) != "false"
}

func (c *Completion) checkPrompt() error {
	if !c.Chat {
		return c.checkText()
	}
	var messages []json.RawMessage
	if err := json.Unmarshal(c.fields[fieldMessages], &messages); err != nil || len(messages) == 0 {
		return &MalformedError{What: "field messages: a list of messages is needed"}
	}
	return nil
}

func (c *Completion) checkText() error {
	if !c.has(fieldPrompt) {
		return &MalformedError{What: "field prompt: it is missing"}
	}
	var text string
	if json.Unmarshal(c.fields[fieldPrompt], &text) != nil {
		c.Plain = false
	}
	return nil
}

// Prompt returns the prompt as it stands in the body.
func (c *Completion) Prompt() []byte {
	if c.Chat {
		return c.fields[fieldMessages]
	}
	return c.fields[fieldPrompt]
}

// Whole returns the body as the caller sent it.
func (c *Completion) Whole() []byte { return c.body }

// Streamed returns the body that asks for a stream.
func (c *Completion) Streamed() ([]byte, error) {
	if c.Stream {
		return c.body, nil
	}
	fields := c.copyFields()
	fields[fieldStream] = json.RawMessage("true")
	fields[fieldStreamOptions] = json.RawMessage(usageAsked)
	return encodeFields(fields)
}

// Continued returns the body that asks for the rest of a streamed answer after
// a text that came in the given number of events.
func (c *Completion) Continued(text string, events int) ([]byte, error) {
	fields := c.copyFields()
	fields[fieldStream] = json.RawMessage("true")
	if !c.Stream {
		fields[fieldStreamOptions] = json.RawMessage(usageAsked)
	}
	if c.MaxTokens > 0 {
		left, err := json.Marshal(max(1, c.MaxTokens-events))
		if err != nil {
			return nil, &MalformedError{What: "field max_tokens", Cause: err}
		}
		fields[fieldMaxTokens] = left
	}
	if c.Chat {
		return c.continueChat(fields, text)
	}
	var prompt string
	if err := json.Unmarshal(fields[fieldPrompt], &prompt); err != nil {
		return nil, &MalformedError{What: "field prompt", Cause: err}
	}
	longer, err := json.Marshal(prompt + text)
	if err != nil {
		return nil, &MalformedError{What: "field prompt", Cause: err}
	}
	fields[fieldPrompt] = longer
	return encodeFields(fields)
}

func (c *Completion) continueChat(fields map[string]json.RawMessage, text string) ([]byte, error) {
	var messages []json.RawMessage
	if err := json.Unmarshal(fields[fieldMessages], &messages); err != nil {
		return nil, &MalformedError{What: "field messages", Cause: err}
	}
	said := ChatMessage{Role: "assistant", Content: text}
	if c.has(fieldContinue) {
		var last ChatMessage
		if err := json.Unmarshal(messages[len(messages)-1], &last); err != nil {
			return nil, &MalformedError{What: "last message", Cause: err}
		}
		said.Content = last.Content + text
		messages = messages[:len(messages)-1]
	}
	added, err := json.Marshal(said)
	if err != nil {
		return nil, &MalformedError{What: "last message", Cause: err}
	}
	if fields[fieldMessages], err = json.Marshal(append(messages, added)); err != nil {
		return nil, &MalformedError{What: "field messages", Cause: err}
	}
	fields[fieldContinue] = json.RawMessage("true")
	fields[fieldAddPrompt] = json.RawMessage("false")
	return encodeFields(fields)
}

func (c *Completion) copyFields() map[string]json.RawMessage {
	return maps.Clone(c.fields)
}

func encodeFields(fields map[string]json.RawMessage) ([]byte, error) {
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, &MalformedError{What: "JSON body", Cause: err}
	}
	return body, nil
}
