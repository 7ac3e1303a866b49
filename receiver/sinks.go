package receiver

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"burdocklink/encoder"
	"burdocklink/relayer"
)

// sinkBytes is how much is gathered before it is written.
const sinkBytes = 16 << 10

// eventSink writes an answer as server-sent events.
type eventSink struct {
	*exchange
	buffer []byte
	// writeBy is the deadline that stands at the connection.
	writeBy time.Time
}

// Send takes an event. It reaches the caller with the next flush.
func (s *eventSink) Send(event relayer.Event) error {
	s.buffer = append(s.buffer, "id: "...)
	s.buffer = strconv.AppendUint(s.buffer, event.ID, 10)
	s.buffer = append(s.buffer, "\ndata: "...)
	s.buffer = append(s.buffer, event.Data...)
	s.buffer = append(s.buffer, "\n\n"...)
	if len(s.buffer) >= sinkBytes {
		return s.write()
	}
	return nil
}

// Flush passes on what was sent.
func (s *eventSink) Flush() error {
	if len(s.buffer) == 0 {
		return nil
	}
	if err := s.write(); err != nil {
		return err
	}
	return s.control.Flush()
}

func (s *eventSink) write() error {
	s.begin()
	s.extend()
	_, err := s.w.Write(s.buffer)
	s.buffer = s.buffer[:0]
	return err
}

// begin sends the header with the first event, so that a refusal before it
// still has its own status.
func (s *eventSink) begin() {
	if s.answered {
		return
	}
	s.answered = true
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set("X-Accel-Buffering", "no")
	header.Set(encoder.HeaderOutcome, encoder.OutcomeRan)
	header.Set(encoder.HeaderRequestID, s.id)
	s.closeIfDraining()
	s.w.WriteHeader(http.StatusOK)
}

// extend gives the caller time for the next bytes. The deadline is moved only
// now and then, since most writes do not wait.
func (s *eventSink) extend() {
	now := time.Now()
	if s.writeBy.Sub(now) > s.Settings.WriteTime/2 {
		return
	}
	s.writeBy = now.Add(s.Settings.WriteTime)
	_ = s.control.SetWriteDeadline(s.writeBy)
}

// collector puts a whole answer together from its stream.
type collector struct {
	first  encoder.StreamChunk
	seen   bool
	text   strings.Builder
	reason string
	usage  []byte
}

// Send takes an event.
func (c *collector) Send(event relayer.Event) error {
	if string(event.Data) == encoder.StreamEnd {
		return nil
	}
	chunk, err := encoder.DecodeStreamChunk(event.Data)
	if err != nil {
		return err
	}
	if !c.seen {
		c.first, c.seen = chunk, true
	}
	c.text.WriteString(chunk.Text())
	if chunk.Finished() {
		c.reason = chunk.Choices[0].FinishReason
	}
	if len(chunk.Usage) > 0 {
		c.usage = chunk.Usage
	}
	return nil
}

// Flush does nothing: the answer goes out as a whole.
func (c *collector) Flush() error { return nil }

// objects of whole answers.
const (
	objectChat = "chat.completion"
	objectText = "text_completion"
)

func (c *collector) answer(chat bool) encoder.CompletionResponse {
	choice := encoder.ChatChoice{FinishReason: c.reason}
	object := objectText
	if chat {
		object = objectChat
		choice.Message = encoder.ChatMessage{Role: "assistant", Content: c.text.String()}
	} else {
		choice.Text = c.text.String()
	}
	return encoder.CompletionResponse{
		ID:      c.first.ID,
		Object:  object,
		Created: c.first.Created,
		Model:   c.first.Model,
		Choices: []encoder.ChatChoice{choice},
		Usage:   c.usage,
	}
}
