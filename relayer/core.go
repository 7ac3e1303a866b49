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
type Opened struct{ Identity string }

// Arrived is an event of the present stream.
type Arrived struct{ Event Event }

// Broke says that the present stream ended or went silent.
type Broke struct{}

// Forgotten says that the engine cannot resume the stream.
type Forgotten struct{}

// Missed says that the engine did not answer when it was asked to resume.
type Missed struct{}

func (Opened) input()    {}
func (Arrived) input()   {}
func (Broke) input()     {}
func (Forgotten) input() {}
func (Missed) input()    {}

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
	// aheadEvents is the number of events held while an earlier one misses.
	aheadEvents = 256
	// resumesWithoutProgress is how often an engine is asked in vain.
	resumesWithoutProgress = 2
	// breaksWithoutProgress is how many breaks without a new event end a
	// relay.
	breaksWithoutProgress = 6
)

// Core decides what a relay does. It does no input or output and is not safe
// for concurrent use.
type Core struct {
	// sent counts the events the caller has.
	sent uint64
	// next is the ID expected from the present stream.
	next  uint64
	ahead map[uint64][]byte
	// asked is the identity that the present stream was asked for with,
	// identity its chunk ID, and name the chunk ID that the caller sees.
	asked    string
	identity string
	name     string
	// named is true once a chunk ID was seen to carry the identity asked for.
	named  bool
	joined bool
	text   strings.Builder
	// plain is true while the text alone describes the answer.
	plain bool
	// numbered is true while all events of the present stream had IDs.
	numbered bool
	// counted is true once an event of the present stream had an ID.
	counted  bool
	finished bool
	barren   int
	over     bool
}

// NewCore returns the core of one relay.
func NewCore() *Core {
	return &Core{next: 1, ahead: map[uint64][]byte{}, plain: true, numbered: true}
}

// Sent returns the number of events that the caller has.
func (c *Core) Sent() uint64 { return c.sent }

// Step takes an input and appends what is to be done to the list.
func (c *Core) Step(input Input, todo []Output) []Output {
	if c.over {
		return todo
	}
	switch input := input.(type) {
	case Opened:
		c.asked = input.Identity
		return todo
	case Arrived:
		return c.arrive(input.Event, todo)
	case Broke:
		return c.mend(todo)
	case Forgotten:
		return c.proceed(todo)
	case Missed:
		return c.miss(todo)
	}
	return todo
}

func (c *Core) arrive(event Event, todo []Output) []Output {
	if event.ID == 0 {
		return c.arriveUnnumbered(event, todo)
	}
	c.counted = true
	if event.ID < c.next {
		return todo
	}
	if event.ID > c.next {
		return c.hold(event, todo)
	}
	todo = c.take(event.Data, todo)
	for !c.over {
		data, ok := c.ahead[c.next]
		if !ok {
			break
		}
		delete(c.ahead, c.next)
		todo = c.take(data, todo)
	}
	return todo
}

// arriveUnnumbered takes an event whose place is only known from its arrival.
func (c *Core) arriveUnnumbered(event Event, todo []Output) []Output {
	if len(c.ahead) > 0 {
		return c.mend(todo)
	}
	if !isEnd(event.Data) {
		return c.takeUnnumbered(event.Data, todo)
	}
	if !c.finished {
		// without a number the end proves nothing while the finish reason misses
		return c.mend(todo)
	}
	return c.complete(todo)
}

// takeUnnumbered takes an event beside those with IDs, or of a stream without
// any, which cannot be resumed.
func (c *Core) takeUnnumbered(data []byte, todo []Output) []Output {
	if !c.counted {
		c.numbered = false
		return c.take(data, todo)
	}
	return c.takeAt(data, 0, todo)
}

func (c *Core) hold(event Event, todo []Output) []Output {
	if len(c.ahead) >= aheadEvents {
		return c.mend(todo)
	}
	c.ahead[event.ID] = event.Data
	return todo
}

// take handles the event that is next in order.
func (c *Core) take(data []byte, todo []Output) []Output {
	return c.takeAt(data, 1, todo)
}

// takeAt handles an event that takes up a number of places in the order.
func (c *Core) takeAt(data []byte, places uint64, todo []Output) []Output {
	if isEnd(data) {
		return c.complete(todo)
	}
	chunk, err := encoder.DecodeStreamChunk(data)
	if err != nil || len(chunk.Error) > 0 {
		return c.mend(todo)
	}
	if !c.owns(chunk.ID) {
		// another request's event: the place stays open
		return todo
	}
	if c.name == "" {
		c.name = chunk.ID
	}
	if c.joined {
		if data, err = encoder.JoinChunk(data, c.name); err != nil {
			return c.mend(todo)
		}
	}
	c.note(chunk, data)
	c.next += places
	c.sent++
	c.barren = 0
	return append(todo, Send{Event: Event{ID: c.sent, Data: data}})
}

// owns returns true where a chunk belongs to the present stream. The first
// chunk names the stream, and must carry the identity asked for where the
// engines were seen to do so.
func (c *Core) owns(id string) bool {
	if c.identity != "" {
		return id == c.identity
	}
	carries := c.asked != "" && strings.Contains(id, c.asked)
	if c.named && !carries {
		return false
	}
	c.named = c.named || carries
	c.identity = id
	return true
}

func (c *Core) note(chunk encoder.StreamChunk, data []byte) {
	c.text.WriteString(chunk.Text())
	if chunk.Finished() {
		c.finished = true
	}
	if len(chunk.Choices) > 1 || isStructured(data) {
		c.plain = false
	}
	if len(chunk.Choices) == 1 && chunk.Choices[0].Index != 0 {
		c.plain = false
	}
}

func (c *Core) complete(todo []Output) []Output {
	c.over = true
	c.sent++
	end := Event{ID: c.sent, Data: []byte(encoder.StreamEnd)}
	return append(todo, Send{Event: end}, Complete{})
}

// mend answers a break: the same engine first, then any.
func (c *Core) mend(todo []Output) []Output {
	c.barren++
	clear(c.ahead)
	if c.barren > breaksWithoutProgress {
		return c.fail(&BrokenError{Sent: c.sent}, todo)
	}
	if c.numbered && c.barren <= resumesWithoutProgress {
		return append(todo, Resume{After: c.next - 1})
	}
	return c.proceed(todo)
}

// miss leaves an engine that a new connection did not reach either, unless it
// alone can complete the answer.
func (c *Core) miss(todo []Output) []Output {
	if c.sent > 0 && !c.plain {
		return c.mend(todo)
	}
	return c.proceed(todo)
}

// proceed goes on elsewhere from what the caller has.
func (c *Core) proceed(todo []Output) []Output {
	if c.finished {
		// the finish reason ended the text: only the terminal event misses
		return c.complete(todo)
	}
	if c.sent > 0 && !c.plain {
		return c.fail(&NotContinuableError{Sent: c.sent}, todo)
	}
	clear(c.ahead)
	c.next = 1
	c.identity = ""
	c.numbered = true
	c.counted = false
	c.joined = c.sent > 0
	from := Prefix{Text: c.text.String(), Events: int(c.sent)}
	return append(todo, Continue{From: from})
}

func (c *Core) fail(cause error, todo []Output) []Output {
	c.over = true
	return append(todo, Fail{Cause: cause})
}

func isEnd(data []byte) bool { return string(data) == encoder.StreamEnd }

// isStructured returns true where a chunk carries more than text.
func isStructured(data []byte) bool {
	return bytes.Contains(data, []byte(`"tool_calls":[`)) ||
		bytes.Contains(data, []byte(`"function_call":{`)) ||
		bytes.Contains(data, []byte(`"logprobs":{`))
}
