// Package relayer forwards a streamed answer from engines to a caller: in order,
// without gaps or duplicates, and complete only with the terminal event. An
// interrupted stream is resumed on its engine or continued on another one.
package relayer

import (
	"bytes"
	"strings"

	"burdocklink/encoder"
)

// Event is one server-sent event of an engine's stream.
type Event struct {
	// ID numbers the events of a stream from 1; zero if the event has no ID.
	ID   uint64
	Data []byte
}

// Input is an event of the current stream: Opened, Received, Interrupted,
// StreamUnknown or ResumeFailed.
type Input interface{ input() }

// Opened means that a stream was opened on an engine. RequestID is the request ID
// sent to the engine, empty if none was.
type Opened struct{ RequestID string }

// Received is an event of the current stream.
type Received struct{ Event Event }

// Interrupted means that the current stream ended or timed out.
type Interrupted struct{}

// StreamUnknown means that the engine cannot resume the stream.
type StreamUnknown struct{}

// ResumeFailed means that the engine did not answer the request to resume.
type ResumeFailed struct{}

func (Opened) input()        {}
func (Received) input()      {}
func (Interrupted) input()   {}
func (StreamUnknown) input() {}
func (ResumeFailed) input()  {}

// Output is an action of the relay: Send, Resume, Continue, Complete or Fail.
type Output interface{ output() }

// Send sends an event to the caller.
type Send struct{ Event Event }

// Resume asks the same engine for the events after the given ID.
type Resume struct{ After uint64 }

// Continue asks any engine to continue from the text already sent.
type Continue struct{ From Prefix }

// Complete means that the caller has the complete answer.
type Complete struct{}

// Fail means that the answer cannot be completed.
type Fail struct{ Cause error }

func (Send) output()     {}
func (Resume) output()   {}
func (Continue) output() {}
func (Complete) output() {}
func (Fail) output()     {}

// Prefix is the part of an answer that the caller has received.
type Prefix struct {
	Text string
	// Events is the number of events that carried the text.
	Events int
}

const (
	// maxBufferedEvents is the number of events buffered while an earlier one is
	// missing.
	maxBufferedEvents = 256
	// maxResumesWithoutProgress is the number of resumes on one engine without a
	// new event.
	maxResumesWithoutProgress = 2
	// maxBreaksWithoutProgress is the number of interruptions without a new event
	// before the relay fails.
	maxBreaksWithoutProgress = 6
)

// Core is the state machine of a relay. It does no input or output and is not
// safe for concurrent use.
type Core struct {
	// sent is the number of events sent to the caller.
	sent uint64
	// next is the next event ID expected from the current stream.
	next     uint64
	buffered map[uint64][]byte
	// requestID is the request ID sent to the engine, chunkID the chunk ID of
	// the current stream, and callerChunkID the chunk ID that the caller sees.
	requestID     string
	chunkID       string
	callerChunkID string
	// chunkIDsMatch is set once a chunk ID contained its stream's request ID.
	chunkIDsMatch bool
	continued     bool
	text          strings.Builder
	// textOnly is true while the answer consists of a single text.
	textOnly bool
	// allNumbered is true while all events of the current stream had IDs, so
	// that it can be resumed.
	allNumbered bool
	// anyNumbered is true once an event of the current stream had an ID.
	anyNumbered bool
	finished    bool
	// breaks counts the interruptions since the last event sent.
	breaks int
	ended  bool
}

// NewCore returns the core of a new relay.
func NewCore() *Core {
	return &Core{next: 1, buffered: map[uint64][]byte{}, textOnly: true, allNumbered: true}
}

// Sent returns the number of events sent to the caller.
func (c *Core) Sent() uint64 { return c.sent }

// Step handles an input and appends the resulting actions to outputs.
func (c *Core) Step(input Input, outputs []Output) []Output {
	if c.ended {
		return outputs
	}
	switch input := input.(type) {
	case Opened:
		c.requestID = input.RequestID
		return outputs
	case Received:
		return c.receive(input.Event, outputs)
	case Interrupted:
		return c.retry(outputs)
	case StreamUnknown:
		return c.continueElsewhere(outputs)
	case ResumeFailed:
		return c.resumeFailed(outputs)
	}
	return outputs
}

func (c *Core) receive(event Event, outputs []Output) []Output {
	if event.ID == 0 {
		return c.receiveUnnumbered(event, outputs)
	}
	c.anyNumbered = true
	if event.ID < c.next {
		return outputs
	}
	if event.ID > c.next {
		return c.buffer(event, outputs)
	}
	outputs = c.deliver(event.Data, outputs)
	for !c.ended {
		data, ok := c.buffered[c.next]
		if !ok {
			break
		}
		delete(c.buffered, c.next)
		outputs = c.deliver(data, outputs)
	}
	return outputs
}

// receiveUnnumbered handles an event without an ID, which is ordered by its
// arrival only.
func (c *Core) receiveUnnumbered(event Event, outputs []Output) []Output {
	if len(c.buffered) > 0 {
		return c.retry(outputs)
	}
	if !isEnd(event.Data) {
		return c.deliverUnnumbered(event.Data, outputs)
	}
	if !c.finished {
		// without an ID, the terminal event does not prove that no event was
		// lost before it
		return c.retry(outputs)
	}
	return c.complete(outputs)
}

// deliverUnnumbered handles an event without an ID. A stream without any IDs
// cannot be resumed. In a stream with IDs, the event does not advance the
// numbering.
func (c *Core) deliverUnnumbered(data []byte, outputs []Output) []Output {
	if !c.anyNumbered {
		c.allNumbered = false
		return c.deliver(data, outputs)
	}
	return c.deliverAt(data, 0, outputs)
}

func (c *Core) buffer(event Event, outputs []Output) []Output {
	if len(c.buffered) >= maxBufferedEvents {
		return c.retry(outputs)
	}
	c.buffered[event.ID] = event.Data
	return outputs
}

// deliver handles the next event in order.
func (c *Core) deliver(data []byte, outputs []Output) []Output {
	return c.deliverAt(data, 1, outputs)
}

// deliverAt handles an event that advances the expected ID by the given number of
// places.
func (c *Core) deliverAt(data []byte, places uint64, outputs []Output) []Output {
	if isEnd(data) {
		return c.complete(outputs)
	}
	chunk, err := encoder.DecodeStreamChunk(data)
	if err != nil || len(chunk.Error) > 0 {
		return c.retry(outputs)
	}
	if !c.ownsChunk(chunk.ID) {
		// ignore an event of another request and keep expecting this ID
		return outputs
	}
	if c.callerChunkID == "" {
		c.callerChunkID = chunk.ID
	}
	if c.continued {
		if data, err = encoder.RewriteContinuationChunk(data, c.callerChunkID); err != nil {
			return c.retry(outputs)
		}
	}
	c.record(chunk, data)
	c.next += places
	c.sent++
	c.breaks = 0
	return append(outputs, Send{Event: Event{ID: c.sent, Data: data}})
}

// ownsChunk reports whether a chunk belongs to the current stream. The first
// chunk defines the stream's chunk ID. This must contain the request ID if that
// of an earlier stream did.
func (c *Core) ownsChunk(chunkID string) bool {
	if c.chunkID != "" {
		return chunkID == c.chunkID
	}
	matches := c.requestID != "" && strings.Contains(chunkID, c.requestID)
	if c.chunkIDsMatch && !matches {
		return false
	}
	c.chunkIDsMatch = c.chunkIDsMatch || matches
	c.chunkID = chunkID
	return true
}

func (c *Core) record(chunk encoder.StreamChunk, data []byte) {
	c.text.WriteString(chunk.Text())
	if chunk.Finished() {
		c.finished = true
	}
	if len(chunk.Choices) > 1 || isStructured(data) {
		c.textOnly = false
	}
	if len(chunk.Choices) == 1 && chunk.Choices[0].Index != 0 {
		c.textOnly = false
	}
}

func (c *Core) complete(outputs []Output) []Output {
	c.ended = true
	c.sent++
	end := Event{ID: c.sent, Data: []byte(encoder.StreamEnd)}
	return append(outputs, Send{Event: end}, Complete{})
}

// retry resumes the stream on the same engine first, and continues it on any
// engine after maxResumesWithoutProgress.
func (c *Core) retry(outputs []Output) []Output {
	c.breaks++
	clear(c.buffered)
	if c.breaks > maxBreaksWithoutProgress {
		return c.fail(&InterruptedError{Sent: c.sent}, outputs)
	}
	if c.allNumbered && c.breaks <= maxResumesWithoutProgress {
		return append(outputs, Resume{After: c.next - 1})
	}
	return c.continueElsewhere(outputs)
}

// resumeFailed gives up an engine that a new connection did not reach either,
// unless only this engine can complete the answer.
func (c *Core) resumeFailed(outputs []Output) []Output {
	if c.sent > 0 && !c.textOnly {
		return c.retry(outputs)
	}
	return c.continueElsewhere(outputs)
}

// continueElsewhere continues the answer on any engine from the text that the
// caller has.
func (c *Core) continueElsewhere(outputs []Output) []Output {
	if c.finished {
		// after the finish reason only the terminal event is missing
		return c.complete(outputs)
	}
	if c.sent > 0 && !c.textOnly {
		return c.fail(&NotContinuableError{Sent: c.sent}, outputs)
	}
	clear(c.buffered)
	c.next = 1
	c.chunkID = ""
	c.allNumbered = true
	c.anyNumbered = false
	c.continued = c.sent > 0
	from := Prefix{Text: c.text.String(), Events: int(c.sent)}
	return append(outputs, Continue{From: from})
}

func (c *Core) fail(cause error, outputs []Output) []Output {
	c.ended = true
	return append(outputs, Fail{Cause: cause})
}

func isEnd(data []byte) bool { return string(data) == encoder.StreamEnd }

// isStructured reports whether a chunk carries more than text.
func isStructured(data []byte) bool {
	return bytes.Contains(data, []byte(`"tool_calls":[`)) ||
		bytes.Contains(data, []byte(`"function_call":{`)) ||
		bytes.Contains(data, []byte(`"logprobs":{`))
}
