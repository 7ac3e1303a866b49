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

// world is a set of engines that answer with the numbers from 1 on, with
// faults drawn from a seed.
type world struct {
	random *rand.Rand
	tokens int
	// faults is the chance of a fault per event, forgets that of a refused
	// resume, in hundredths.
	faults  int
	forgets int
	leg     int
	first   int
	opened  int
	resumed int
}

func (w *world) Open(_ context.Context, from relayer.Prefix) (relayer.Source, error) {
	w.opened++
	w.leg++
	w.first = strings.Count(from.Text, " ")
	return w.source(0), nil
}

func (w *world) Resume(_ context.Context, after uint64) (relayer.Source, error) {
	w.resumed++
	if w.chance(w.forgets) {
		return nil, &relayer.ForgottenError{}
	}
	return w.source(int(after)), nil
}

func (w *world) chance(hundredths int) bool { return w.random.IntN(100) < hundredths }

// source lists the events of a stream after one and brings faults into them.
func (w *world) source(after int) relayer.Source {
	var events []relayer.Event
	last := w.tokens - w.first
	for id := after + 1; id <= last; id++ {
		events = append(events, w.event(id, last))
	}
	events = append(events, relayer.Event{Data: []byte(encoder.StreamEnd)})
	return &eventList{list: w.spoil(events), identity: w.name()}
}

func (w *world) name() string { return "<" + strconv.Itoa(w.leg) + ">" }

func (w *world) event(id, last int) relayer.Event {
	choice := encoder.ChatChoice{Delta: encoder.ChatMessage{
		Role:    "assistant",
		Content: strconv.Itoa(w.first+id) + " ",
	}}
	if id == last {
		choice.FinishReason = "stop"
	}
	data, _ := json.Marshal(encoder.ChatChunk{
		ID:      "chat-" + w.name(),
		Choices: []encoder.ChatChoice{choice},
	})
	return relayer.Event{ID: uint64(id), Data: data}
}

// spoil drops, repeats, swaps and cuts events and mixes in foreign ones.
func (w *world) spoil(events []relayer.Event) []relayer.Event {
	var spoilt []relayer.Event
	for i := 0; i < len(events); i++ {
		if !w.chance(w.faults) {
			spoilt = append(spoilt, events[i])
			continue
		}
		switch w.random.IntN(6) {
		case 0:
			return spoilt
		case 1:
			spoilt = append(spoilt, events[i], events[i])
		case 2:
			if i+1 < len(events) {
				spoilt = append(spoilt, events[i+1], events[i])
				i++
			}
		case 3:
			// dropped
		case 4:
			old := events[w.random.IntN(i+1)]
			spoilt = append(spoilt, old, events[i])
		case 5:
			if w.first > 0 || len(spoilt) > 0 {
				spoilt = append(spoilt, foreign(events[i].ID))
			}
			spoilt = append(spoilt, events[i])
		}
	}
	return spoilt
}

// foreign is another request's event.
func foreign(id uint64) relayer.Event {
	return relayer.Event{ID: id, Data: []byte(`{"id":"other","choices":[{"delta":{"content":"WRONG "}}]}`)}
}

// eventList is a source over a list.
type eventList struct {
	list     []relayer.Event
	identity string
}

func (e *eventList) Identity() string { return e.identity }

func (e *eventList) Next() (relayer.Event, error) {
	if len(e.list) == 0 {
		return relayer.Event{}, io.EOF
	}
	event := e.list[0]
	e.list = e.list[1:]
	return event, nil
}

func (e *eventList) Waiting() bool { return len(e.list) > 0 }

func (e *eventList) Close() {}

// record is a caller that keeps what it gets.
type record struct {
	text    strings.Builder
	flushed string
	ids     []uint64
	names   map[string]bool
	ended   int
}

func (r *record) Send(event relayer.Event) error {
	r.ids = append(r.ids, event.ID)
	if string(event.Data) == encoder.StreamEnd {
		r.ended++
		return nil
	}
	chunk, err := encoder.DecodeStreamChunk(event.Data)
	if err != nil {
		return err
	}
	if r.names == nil {
		r.names = map[string]bool{}
	}
	r.names[chunk.ID] = true
	r.text.WriteString(chunk.Text())
	return nil
}

func (r *record) Flush() error {
	r.flushed = r.text.String()
	return nil
}

func numbers(count int) string {
	var text strings.Builder
	for token := 1; token <= count; token++ {
		text.WriteString(strconv.Itoa(token) + " ")
	}
	return text.String()
}

// check holds a relay against the oracle: a complete answer is exact, and
// whatever a caller of a broken one has is a beginning without an end.
func (r *record) check(t *testing.T, seed uint64, tokens int, err error) {
	t.Helper()
	whole := numbers(tokens)
	note := fmt.Sprintf("seed %d: %v", seed, err)
	for i, id := range r.ids {
		assert.Equal(t, id, uint64(i+1), note)
	}
	assert.Assert(t, len(r.names) <= 1, note)
	if err == nil {
		assert.Equal(t, r.text.String(), whole, note)
		assert.Equal(t, r.flushed, whole, note)
		assert.Equal(t, r.ended, 1, note)
		return
	}
	assert.Assert(t, strings.HasPrefix(whole, r.text.String()), note)
	assert.Equal(t, r.ended, 0, note)
}

func TestRelayUnderFaults(t *testing.T) {
	const seeds = 1500
	whole, resumed, continued := 0, 0, 0
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 7))
		w := &world{
			random:  random,
			tokens:  1 + random.IntN(40),
			faults:  random.IntN(95),
			forgets: random.IntN(60),
		}
		caller := &record{}
		err := relayer.Relay(context.Background(), w, caller)
		caller.check(t, seed, w.tokens, err)
		if err == nil {
			whole++
		}
		resumed += w.resumed
		continued += w.opened - 1
	}
	t.Logf("%d seeds: %d whole answers, %d resumes, %d continuations", seeds, whole, resumed, continued)
	assert.Assert(t, whole > seeds*9/10 && whole < seeds, "whole answers: %d", whole)
	assert.Assert(t, resumed > seeds && continued > seeds/10)
}

func TestUnnumberedEventsAreContinuedNotResumed(t *testing.T) {
	w := &world{random: rand.New(rand.NewPCG(1, 1)), tokens: 4}
	caller := &record{}
	engines := &unnumbered{world: w}

	err := relayer.Relay(context.Background(), engines, caller)

	caller.check(t, 0, w.tokens, err)
	assert.NilError(t, err)
	assert.Equal(t, w.resumed, 0)
	assert.Equal(t, w.opened, 2)
}

// unnumbered engines give no event IDs and break the first answer off.
type unnumbered struct{ *world }

func (u *unnumbered) Open(ctx context.Context, from relayer.Prefix) (relayer.Source, error) {
	source, err := u.world.Open(ctx, from)
	list := source.(*eventList).list
	for i := range list {
		list[i].ID = 0
	}
	if u.opened == 1 {
		list = list[:2]
	}
	return &eventList{list: list}, err
}

func TestEventsWithoutIDsTakeNoPlaceAmongThoseWithIDs(t *testing.T) {
	w := &world{random: rand.New(rand.NewPCG(1, 1)), tokens: 2}
	usage := relayer.Event{Data: []byte(`{"id":"chat-<0>","choices":[],"usage":{"total_tokens":2}}`)}
	core := relayer.NewCore()
	var todo []relayer.Output
	for _, event := range []relayer.Event{w.event(1, 2), usage, w.event(2, 2), {Data: []byte(encoder.StreamEnd)}} {
		todo = core.Step(relayer.Arrived{Event: event}, todo)
	}

	assert.Equal(t, len(todo), 5)
	assert.Equal(t, todo[4], relayer.Complete{})
}

func TestStructuredAnswersAreNotContinued(t *testing.T) {
	core := relayer.NewCore()
	call := `{"id":"a","choices":[{"delta":{"tool_calls":[{"index":0}]}}]}`
	core.Step(relayer.Arrived{Event: relayer.Event{ID: 1, Data: []byte(call)}}, nil)

	todo := core.Step(relayer.Forgotten{}, nil)

	assert.Equal(t, len(todo), 1)
	var cause *relayer.NotContinuableError
	assert.Assert(t, errors.As(todo[0].(relayer.Fail).Cause, &cause))
}

func TestFinishReasonEndsAnAnswerWhoseTerminalEventIsLost(t *testing.T) {
	w := &world{random: rand.New(rand.NewPCG(1, 1)), tokens: 1}
	core := relayer.NewCore()
	core.Step(relayer.Arrived{Event: w.event(1, 1)}, nil)

	todo := core.Step(relayer.Forgotten{}, nil)

	assert.DeepEqual(t, todo, []relayer.Output{
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
		"plain":         {body: "id: 1\ndata: a\n\nid: 2\r\ndata:b\r\n\r\n", want: []relayer.Event{{ID: 1, Data: []byte("a")}, {ID: 2, Data: []byte("b")}}, end: io.EOF},
		"comments":      {body: ": ping\n\n: ping\n\ndata: a\n\n", want: []relayer.Event{{Data: []byte("a")}}, end: io.EOF},
		"several lines": {body: "data: a\ndata: b\n\n", want: []relayer.Event{{Data: []byte("a\nb")}}, end: io.EOF},
		"cut event":     {body: "data: a\n\nid: 2\ndata: b\n", want: []relayer.Event{{Data: []byte("a")}}, end: io.EOF},
		"cut line":      {body: "data: a\n\ndata: b", want: []relayer.Event{{Data: []byte("a")}}, end: io.EOF},
		"long line":     {body: "data: " + long + "\n\n", want: []relayer.Event{{Data: []byte(long)}}, end: io.EOF},
		"endless event": {body: strings.Repeat("data: x\n", 1<<20), end: &relayer.EventTooLongError{Limit: 1 << 20}},
		"endless line":  {body: strings.Repeat("x", 2<<20), end: &relayer.LineTooLongError{Limit: 1 << 20}},
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
