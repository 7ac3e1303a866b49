package encoder

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"gotest.tools/v3/assert"

	"burdocklink/applier"
	"burdocklink/cataloger"
	"burdocklink/claimer"
	"burdocklink/orderer"
)

// answerBytes is the size of the body of a stored answer.
const answerBytes = 512

// newState returns a state with the given number of finished claims.
func newState(tb testing.TB, claims int) *applier.State {
	tb.Helper()
	state := applier.New()
	index := uint64(0)
	apply := func(command applier.Command) applier.Result {
		index++
		return state.Apply(index, noon, command).Result
	}
	apply(applier.Change{Operator: "o", RequestID: "1", Changes: allChanges()[:1]})
	apply(applier.Watch{Term: 1, Sequence: 1, Changes: []cataloger.Change{allChanges()[2], allChanges()[4], allChanges()[6]}})
	apply(applier.Order{Event: orderer.Observe{
		Placement: cataloger.Placement{Upstream: "u", Incarnation: "i"}, Sequence: 1, Taken: noon,
	}})
	apply(applier.Order{Event: orderer.Submit{Token: "t0", Order: orderer.Order{
		Upstream: "u", Incarnation: "i", Work: orderer.SetRole{}, NotAfter: noon.Add(time.Minute),
	}}})
	apply(applier.Order{Event: orderer.Settle{ID: index, Outcome: orderer.OutcomeDone}})
	apply(applier.Order{Event: orderer.Submit{Token: "t", Order: orderer.Order{
		Upstream: "u", Incarnation: "i", Work: orderer.LoadModel{Model: "m"}, NotAfter: noon.Add(time.Minute),
	}}})
	for n := range claims {
		key := claimer.Key{Subscriber: fmt.Sprintf("subscriber-%d", n%100), Name: fmt.Sprintf("booking-%030d", n)}
		attempt := fmt.Sprintf("entry-1/%d", n)
		apply(applier.Claim{Event: claimer.Open{Key: key, Attempt: attempt, Entry: "entry-1", Deadline: noon.Add(time.Minute)}})
		apply(applier.Claim{Event: claimer.Finish{Key: key, Attempt: attempt, Answer: claimer.Answer{
			Status: 200, Body: make([]byte, answerBytes),
		}}})
	}
	return state
}

func TestStateRoundTrip(t *testing.T) {
	state := newState(t, 3)
	assert.Equal(t, len(state.Orders().Unsettled()), 1)
	assert.Equal(t, state.Orders().Moves(), uint64(1))
	data, err := EncodeState(state)
	assert.NilError(t, err)
	read, err := DecodeState(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, read.Snapshot(), state.Snapshot())
}

func TestNewerOrDamagedStateIsRefused(t *testing.T) {
	data, err := EncodeState(newState(t, 3))
	assert.NilError(t, err)
	unknown := protowire.AppendVarint(protowire.AppendTag(nil, 99, protowire.VarintType), 1)
	_, err = DecodeState(append(data[:len(data):len(data)], unknown...))
	var newer *NewerVersionError
	assert.Assert(t, errors.As(err, &newer), "%v", err)
	_, err = DecodeState(data[:len(data)-1])
	var malformed *MalformedMessageError
	assert.Assert(t, errors.As(err, &malformed), "%v", err)
}

func BenchmarkEncodeCommand(b *testing.B) {
	command := applier.Claim{Event: claimer.Open{
		Key:      claimer.Key{Subscriber: "subscriber-7", Name: "booking-000000000000000000000000000007"},
		Attempt:  "entry-1/7",
		Entry:    "entry-1",
		Deadline: noon,
	}}
	b.ReportAllocs()
	for b.Loop() {
		data, err := EncodeCommand(command)
		assert.NilError(b, err)
		_, err = DecodeCommand(data)
		assert.NilError(b, err)
		b.ReportMetric(float64(len(data)), "bytes/command")
	}
}

// BenchmarkEncodeDelta measures the size of one revision as sent to an entry.
func BenchmarkEncodeDelta(b *testing.B) {
	models := []string{"model-01", "model-02", "model-03"}
	adapters := []string{"adapter-01", "adapter-02", "adapter-03", "adapter-04", "adapter-05"}
	changes := map[string]cataloger.Change{
		"class":    allChanges()[0],
		"upstream": allChanges()[6],
		"placement of 8": cataloger.PutPlacement{Placement: cataloger.Placement{
			Upstream: "engine-12", Incarnation: "6f1c2d", Models: models, Adapters: adapters,
		}},
	}
	for name, change := range changes {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				data, err := EncodeDelta(cataloger.Delta{From: 8699, To: 8700, Changes: []cataloger.Change{change}})
				assert.NilError(b, err)
				b.ReportMetric(float64(len(data)), "bytes/revision")
			}
		})
	}
}

// BenchmarkEncodeState measures encoding time and size by the number of claims.
func BenchmarkEncodeState(b *testing.B) {
	for _, claims := range []int{1_000, 10_000, 50_000} {
		b.Run(fmt.Sprint(claims), func(b *testing.B) {
			state := newState(b, claims)
			for b.Loop() {
				data, err := EncodeState(state)
				assert.NilError(b, err)
				b.ReportMetric(float64(len(data))/float64(claims), "bytes/claim")
			}
		})
	}
}

// BenchmarkTakeSnapshot measures how long the owner of a state is blocked by a
// snapshot that is encoded in another goroutine.
func BenchmarkTakeSnapshot(b *testing.B) {
	const claims = 50_000
	state := newState(b, claims)
	for b.Loop() {
		assert.Equal(b, len(state.Snapshot().Claims), claims)
	}
}

func BenchmarkDecodeState(b *testing.B) {
	const claims = 10_000
	data, err := EncodeState(newState(b, claims))
	assert.NilError(b, err)
	for b.Loop() {
		_, err := DecodeState(data)
		assert.NilError(b, err)
	}
}
