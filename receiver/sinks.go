package receiver

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"burdocklink/encoder"
	"burdocklink/relayer"
)

// eventBufferBytes is the buffer size from which events are written without a flush.
const eventBufferBytes = 16 << 10

// eventSink writes an answer as a stream of server-sent events.
type eventSink struct {
	*exchange
	buffer []byte
	// writeDeadline is the write deadline currently set on the connection.
	writeDeadline time.Time
}

// Send buffers an event. It reaches the caller with the next flush at the latest.
func (s *eventSink) Send(event relayer.Event) error {
	s.buffer = append(s.buffer, "id: "...)
	s.buffer = strconv.AppendUint(s.buffer, event.ID, 10)
	s.buffer = append(s.buffer, "\ndata: "...)
	s.buffer = append(s.buffer, event.Data...)
	s.buffer = append(s.buffer, "\n\n"...)
	if len(s.buffer) >= eventBufferBytes {
		return s.write()
	}
	return nil
}

// Flush writes the buffered events to the caller.
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
	s.writeHeader()
	s.extendWriteDeadline()
	_, err := s.w.Write(s.buffer)
	s.buffer = s.buffer[:0]
	return err
}

// writeHeader writes the header with the first event, so that a refusal before it can
// still set the status.
func (s *eventSink) writeHeader() {
	if s.headerSent {
		return
	}
	s.headerSent = true
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set("X-Accel-Buffering", "no")
	header.Set(encoder.HeaderOutcome, encoder.OutcomeRan)
	header.Set(encoder.HeaderRequestID, s.id)
	s.closeIfDraining()
	s.w.WriteHeader(http.StatusOK)
}

// extendWriteDeadline renews the write deadline once half of WriteTimeout has been used.
// Setting it for each write would be wasteful, since most writes do not block.
func (s *eventSink) extendWriteDeadline() {
	now := time.Now()
	if s.writeDeadline.Sub(now) > s.Settings.WriteTimeout/2 {
		return
	}
	s.writeDeadline = now.Add(s.Settings.WriteTimeout)
	_ = s.control.SetWriteDeadline(s.writeDeadline)
}

// collector assembles a complete answer from a stream.
type collector struct {
	first        encoder.StreamChunk
	started      bool
	text         strings.Builder
	finishReason string
	usage        []byte
}

// Send adds an event to the answer.
func (c *collector) Send(event relayer.Event) error {
	if string(event.Data) == encoder.StreamEnd {
		return nil
	}
	chunk, err := encoder.DecodeStreamChunk(event.Data)
	if err != nil {
		return err
	}
	if !c.started {
		c.first, c.started = chunk, true
	}
	c.text.WriteString(chunk.Text())
	if chunk.Finished() {
		c.finishReason = chunk.Choices[0].FinishReason
	}
	if len(chunk.Usage) > 0 {
		c.usage = chunk.Usage
	}
	return nil
}

// Flush does nothing: the answer is written in one piece at the end.
func (c *collector) Flush() error { return nil }

// Values of the field object in whole answers.
const (
	objectChat = "chat.completion"
	objectText = "text_completion"
)

func (c *collector) answer(chat bool) encoder.CompletionResponse {
	choice := encoder.ChatChoice{FinishReason: c.finishReason}
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
