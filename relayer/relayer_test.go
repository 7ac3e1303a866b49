package relayer_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"burdocklink/encoder"
	"burdocklink/relayer"
)

// faultyEngines simulates engines that answer with the numbers from 1 on, with
// random faults.
type faultyEngines struct {
	random *rand.Rand
	tokens int
	// faultPercent is the probability of a fault per event, unknownPercent that
	// of a refused resume.
	faultPercent   int
	unknownPercent int
	stream         int
	offset         int
	opened         int
	resumed        int
}

func (e *faultyEngines) Open(_ context.Context, from relayer.Prefix) (relayer.Source, error) {
	e.opened++
	e.stream++
	e.offset = strings.Count(from.Text, " ")
	return e.source(0), nil
}

func (e *faultyEngines) Resume(_ context.Context, after uint64) (relayer.Source, error) {
	e.resumed++
	if e.chance(e.unknownPercent) {
		return nil, &relayer.UnknownStreamError{}
	}
	return e.source(int(after)), nil
}

func (e *faultyEngines) chance(percent int) bool { return e.random.IntN(100) < percent }

// source returns the events after the given ID, with faults.
func (e *faultyEngines) source(after int) relayer.Source {
	var events []relayer.Event
	last := e.tokens - e.offset
	for id := after + 1; id <= last; id++ {
		events = append(events, e.event(id, last))
	}
	events = append(events, relayer.Event{Data: []byte(encoder.StreamEnd)})
	return &eventList{events: e.injectFaults(events), requestID: e.requestID()}
}

func (e *faultyEngines) requestID() string { return "<" + strconv.Itoa(e.stream) + ">" }

func (e *faultyEngines) event(id, last int) relayer.Event {
	choice := encoder.ChatChoice{Delta: encoder.ChatMessage{
		Role:    "assistant",
		Content: strconv.Itoa(e.offset+id) + " ",
	}}
	if id == last {
		choice.FinishReason = "stop"
	}
	data, _ := json.Marshal(encoder.ChatChunk{
		ID:      "chat-" + e.requestID(),
		Choices: []encoder.ChatChoice{choice},
	})
	return relayer.Event{ID: uint64(id), Data: data}
}

// injectFaults drops, duplicates and swaps events, truncates the stream and
// inserts events of other requests.
func (e *faultyEngines) injectFaults(events []relayer.Event) []relayer.Event {
	var faulty []relayer.Event
	for i := 0; i < len(events); i++ {
		if !e.chance(e.faultPercent) {
			faulty = append(faulty, events[i])
			continue
		}
		switch e.random.IntN(6) {
		case 0:
			return faulty
		case 1:
			faulty = append(faulty, events[i], events[i])
		case 2:
			if i+1 < len(events) {
				faulty = append(faulty, events[i+1], events[i])
				i++
			}
		case 3:
			// dropped
		case 4:
			old := events[e.random.IntN(i+1)]
			faulty = append(faulty, old, events[i])
		case 5:
			if e.offset > 0 || len(faulty) > 0 {
				faulty = append(faulty, foreignEvent(events[i].ID))
			}
			faulty = append(faulty, events[i])
		}
	}
	return faulty
}

// foreignEvent returns an event of another request.
func foreignEvent(id uint64) relayer.Event {
	return relayer.Event{ID: id, Data: []byte(`{"id":"other","choices":[{"delta":{"content":"WRONG "}}]}`)}
}

// eventList is a Source that returns a list of events.
type eventList struct {
	events    []relayer.Event
	requestID string
}

func (e *eventList) RequestID() string { return e.requestID }

func (e *eventList) Next() (relayer.Event, error) {
	if len(e.events) == 0 {
		return relayer.Event{}, io.EOF
	}
	event := e.events[0]
	e.events = e.events[1:]
	return event, nil
}

func (e *eventList) Buffered() bool { return len(e.events) > 0 }

func (e *eventList) Close() {}

// recorder is a Sink that records the answer.
type recorder struct {
	text     strings.Builder
	flushed  string
	ids      []uint64
	chunkIDs map[string]bool
	ended    int
}

func (r *recorder) Send(event relayer.Event) error {
	r.ids = append(r.ids, event.ID)
	if string(event.Data) == encoder.StreamEnd {
		r.ended++
		return nil
	}
	chunk, err := encoder.DecodeStreamChunk(event.Data)
	if err != nil {
		return err
	}
	if r.chunkIDs == nil {
		r.chunkIDs = map[string]bool{}
	}
	r.chunkIDs[chunk.ID] = true
	r.text.WriteString(chunk.Text())
	return nil
}

func (r *recorder) Flush() error {
	r.flushed = r.text.String()
	return nil
}

func answerText(count int) string {
	var text strings.Builder
	for token := 1; token <= count; token++ {
		text.WriteString(strconv.Itoa(token) + " ")
	}
	return text.String()
}

// check verifies the result of a relay: a complete answer is exact, and a failed
// one is a prefix without a terminal event.
func (r *recorder) check(t *testing.T, seed uint64, tokens int, err error) {
	t.Helper()
	want := answerText(tokens)
	message := fmt.Sprintf("seed %d: %v", seed, err)
	for i, id := range r.ids {
		assert.Equal(t, id, uint64(i+1), message)
	}
	assert.Assert(t, len(r.chunkIDs) <= 1, message)
	if err == nil {
		assert.Equal(t, r.text.String(), want, message)
		assert.Equal(t, r.flushed, want, message)
		assert.Equal(t, r.ended, 1, message)
		return
	}
	assert.Assert(t, strings.HasPrefix(want, r.text.String()), message)
	assert.Equal(t, r.ended, 0, message)
}

func TestRelayUnderFaults(t *testing.T) {
	const seeds = 1500
	complete, resumed, continued := 0, 0, 0
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 7))
		engines := &faultyEngines{
			random:         random,
			tokens:         1 + random.IntN(40),
			faultPercent:   random.IntN(95),
			unknownPercent: random.IntN(60),
		}
		caller := &recorder{}
		err := relayer.Relay(context.Background(), engines, caller)
		caller.check(t, seed, engines.tokens, err)
		if err == nil {
			complete++
		}
		resumed += engines.resumed
		continued += engines.opened - 1
	}
	t.Logf("%d seeds: %d whole answers, %d resumes, %d continuations", seeds, complete, resumed, continued)
	assert.Assert(t, complete > seeds*9/10 && complete < seeds, "whole answers: %d", complete)
	assert.Assert(t, resumed > seeds && continued > seeds/10)
}

func TestUnnumberedEventsAreContinuedNotResumed(t *testing.T) {
	faulty := &faultyEngines{random: rand.New(rand.NewPCG(1, 1)), tokens: 4}
	caller := &recorder{}
	engines := &unnumbered{faultyEngines: faulty}

	err := relayer.Relay(context.Background(), engines, caller)

	caller.check(t, 0, faulty.tokens, err)
	assert.NilError(t, err)
	assert.Equal(t, faulty.resumed, 0)
	assert.Equal(t, faulty.opened, 2)
}

// unnumbered engines send no event IDs and truncate the first answer.
type unnumbered struct{ *faultyEngines }

func (u *unnumbered) Open(ctx context.Context, from relayer.Prefix) (relayer.Source, error) {
	source, err := u.faultyEngines.Open(ctx, from)
	list := source.(*eventList).events
	for i := range list {
		list[i].ID = 0
	}
	if u.opened == 1 {
		list = list[:2]
	}
	return &eventList{events: list}, err
}

func TestEventsWithoutIDsDoNotAdvanceTheNumbering(t *testing.T) {
	engines := &faultyEngines{random: rand.New(rand.NewPCG(1, 1)), tokens: 2}
	usage := relayer.Event{Data: []byte(`{"id":"chat-<0>","choices":[],"usage":{"total_tokens":2}}`)}
	core := relayer.NewCore()
	var outputs []relayer.Output
	for _, event := range []relayer.Event{engines.event(1, 2), usage, engines.event(2, 2), {Data: []byte(encoder.StreamEnd)}} {
		outputs = core.Step(relayer.Received{Event: event}, outputs)
	}

	assert.Equal(t, len(outputs), 5)
	assert.Equal(t, outputs[4], relayer.Complete{})
}

func TestStructuredAnswersAreNotContinued(t *testing.T) {
	core := relayer.NewCore()
	call := `{"id":"a","choices":[{"delta":{"tool_calls":[{"index":0}]}}]}`
	core.Step(relayer.Received{Event: relayer.Event{ID: 1, Data: []byte(call)}}, nil)

	outputs := core.Step(relayer.StreamUnknown{}, nil)

	assert.Equal(t, len(outputs), 1)
	var cause *relayer.NotContinuableError
	assert.Assert(t, errors.As(outputs[0].(relayer.Fail).Cause, &cause))
}

func TestFinishReasonCompletesAnAnswerWithoutTerminalEvent(t *testing.T) {
	engines := &faultyEngines{random: rand.New(rand.NewPCG(1, 1)), tokens: 1}
	core := relayer.NewCore()
	core.Step(relayer.Received{Event: engines.event(1, 1)}, nil)

	outputs := core.Step(relayer.StreamUnknown{}, nil)

	assert.DeepEqual(t, outputs, []relayer.Output{
		relayer.Send{Event: relayer.Event{ID: 2, Data: []byte(encoder.StreamEnd)}},
		relayer.Complete{},
	})
}

func TestStreamReadsEvents(t *testing.T) {
	long := strings.Repeat("x", 9000)
	cases := map[string]struct {
		body string
		want []relayer.Event
		end  error
	}{
		"plain":           {body: "id: 1\ndata: a\n\nid: 2\r\ndata:b\r\n\r\n", want: []relayer.Event{{ID: 1, Data: []byte("a")}, {ID: 2, Data: []byte("b")}}, end: io.EOF},
		"comments":        {body: ": ping\n\n: ping\n\ndata: a\n\n", want: []relayer.Event{{Data: []byte("a")}}, end: io.EOF},
		"several lines":   {body: "data: a\ndata: b\n\n", want: []relayer.Event{{Data: []byte("a\nb")}}, end: io.EOF},
		"truncated event": {body: "data: a\n\nid: 2\ndata: b\n", want: []relayer.Event{{Data: []byte("a")}}, end: io.EOF},
		"truncated line":  {body: "data: a\n\ndata: b", want: []relayer.Event{{Data: []byte("a")}}, end: io.EOF},
		"long line":       {body: "data: " + long + "\n\n", want: []relayer.Event{{Data: []byte(long)}}, end: io.EOF},
		"endless event":   {body: strings.Repeat("data: x\n", 1<<20), end: &relayer.EventTooLongError{Limit: 1 << 20}},
		"endless line":    {body: strings.Repeat("x", 2<<20), end: &relayer.LineTooLongError{Limit: 1 << 20}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			stream := relayer.NewStream(io.NopCloser(strings.NewReader(c.body)))
			var got []relayer.Event
			event, err := stream.Next()
			for ; err == nil; event, err = stream.Next() {
				got = append(got, event)
			}
			assert.DeepEqual(t, got, c.want)
			assert.DeepEqual(t, err.Error(), c.end.Error())
		})
	}
}
