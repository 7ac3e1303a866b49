// Package relayer carries a streamed answer from engines to a caller: in
// order, without gap or repeat, and complete only at the terminal event. A
// broken stream is resumed on its engine or continued on another one.
package relayer

import (
	"bytes"
	"strings"

	"burdocklink/encoder"
)

// Event is one server-sent event of an engine's stream.
type Event struct {
	// ID counts the events of a stream from 1; zero where it has none.
	ID   uint64
	Data []byte
}

// Input is what happened to the present stream. It is one of the types below.
type Input interface{ input() }

// Opened says that a stream has begun on an engine, under the identity that it
// was asked for with.
type Opened struct{ RequestID string }

// Received is an event of the present stream.
type Received struct{ Event Event }

// Interrupted says that the present stream ended or went silent.
type Interrupted struct{}

// StreamUnknown says that the engine cannot resume the stream.
type StreamUnknown struct{}

// ResumeFailed says that the engine did not answer when it was asked to resume.
type ResumeFailed struct{}

func (Opened) input()        {}
func (Received) input()      {}
func (Interrupted) input()   {}
func (StreamUnknown) input() {}
func (ResumeFailed) input()  {}

// Output is what is to be done next. It is one of the types below.
type Output interface{ output() }

// Send gives an event to the caller.
type Send struct{ Event Event }

// Resume asks the same engine for the events after one.
type Resume struct{ After uint64 }

// Continue asks any engine to go on from the text already sent.
type Continue struct{ From Prefix }

// Complete says that the caller has the whole answer.
type Complete struct{}

// Fail says that the answer cannot be completed.
type Fail struct{ Cause error }

func (Send) output()     {}
func (Resume) output()   {}
func (Continue) output() {}
func (Complete) output() {}
func (Fail) output()     {}

// Prefix is the part of an answer that the caller has.
type Prefix struct {
	Text string
	// Events is the number of events that carried the text.
	Events int
}

// bounds of a relay.
const (
	// maxBufferedEvents is the number of events held while an earlier one misses.
	maxBufferedEvents = 256
	// maxResumesWithoutProgress is how often an engine is asked in vain.
	maxResumesWithoutProgress = 2
	// maxBreaksWithoutProgress is how many breaks without a new event end a
	// relay.
	maxBreaksWithoutProgress = 6
)

// Core decides what a relay does. It does no input or output and is not safe
// for concurrent use.
type Core struct {
	// sent counts the events the caller has.
	sent uint64
	// next is the ID expected from the present stream.
	next     uint64
	buffered map[uint64][]byte
	// requestID is the identity that the present stream was asked for with,
	// identity its chunk ID, and name the chunk ID that the caller sees.
	requestID     string
	chunkID       string
	callerChunkID string
	// chunkIDsMatch is true once a chunk ID was seen to carry the identity asked for.
	chunkIDsMatch bool
	continued     bool
	text          strings.Builder
	// textOnly is true while the text alone describes the answer.
	textOnly bool
	// allNumbered is true while all events of the present stream had IDs.
	allNumbered bool
	// anyNumbered is true once an event of the present stream had an ID.
	anyNumbered bool
	finished    bool
	breaks      int
	ended       bool
}

// NewCore returns the core of one relay.
func NewCore() *Core {
	return &Core{next: 1, buffered: map[uint64][]byte{}, textOnly: true, allNumbered: true}
}

// Sent returns the number of events that the caller has.
func (c *Core) Sent() uint64 { return c.sent }

// Step takes an input and appends what is to be done to the list.
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

// receiveUnnumbered takes an event whose place is only known from its arrival.
func (c *Core) receiveUnnumbered(event Event, outputs []Output) []Output {
	if len(c.buffered) > 0 {
		return c.retry(outputs)
	}
	if !isEnd(event.Data) {
		return c.deliverUnnumbered(event.Data, outputs)
	}
	if !c.finished {
		// without a number the end proves nothing while the finish reason misses
		return c.retry(outputs)
	}
	return c.complete(outputs)
}

// deliverUnnumbered takes an event beside those with IDs, or of a stream without
// any, which cannot be resumed.
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

// deliver handles the event that is next in order.
func (c *Core) deliver(data []byte, outputs []Output) []Output {
	return c.deliverAt(data, 1, outputs)
}

// deliverAt handles an event that takes up a number of places in the order.
func (c *Core) deliverAt(data []byte, places uint64, outputs []Output) []Output {
	if isEnd(data) {
		return c.complete(outputs)
	}
	chunk, err := encoder.DecodeStreamChunk(data)
	if err != nil || len(chunk.Error) > 0 {
		return c.retry(outputs)
	}
	if !c.ownsChunk(chunk.ID) {
		// another request's event: the place stays open
		return outputs
	}
	if c.callerChunkID == "" {
		c.callerChunkID = chunk.ID
	}
	if c.continued {
		if data, err = encoder.JoinChunk(data, c.callerChunkID); err != nil {
			return c.retry(outputs)
		}
	}
	c.record(chunk, data)
	c.next += places
	c.sent++
	c.breaks = 0
	return append(outputs, Send{Event: Event{ID: c.sent, Data: data}})
}

// ownsChunk returns true where a chunk belongs to the present stream. The first
// chunk names the stream, and must carry the identity asked for where the
// engines were seen to do so.
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

// retry answers a break: the same engine first, then any.
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

// resumeFailed leaves an engine that a new connection did not reach either, unless it
// alone can complete the answer.
func (c *Core) resumeFailed(outputs []Output) []Output {
	if c.sent > 0 && !c.textOnly {
		return c.retry(outputs)
	}
	return c.continueElsewhere(outputs)
}

// continueElsewhere goes on elsewhere from what the caller has.
func (c *Core) continueElsewhere(outputs []Output) []Output {
	if c.finished {
		// the finish reason ended the text: only the terminal event misses
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

// isStructured returns true where a chunk carries more than text.
func isStructured(data []byte) bool {
	return bytes.Contains(data, []byte(`"tool_calls":[`)) ||
		bytes.Contains(data, []byte(`"function_call":{`)) ||
		bytes.Contains(data, []byte(`"logprobs":{`))
}
