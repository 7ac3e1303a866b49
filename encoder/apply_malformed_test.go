package encoder_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"burdocklink/applier"
	"burdocklink/encoder"
	"burdocklink/encoder/wire"
)

// TestApplyingAnyCommandDoesNotPanic applies random valid messages. A committed
// command that panics would crash each member again at every start.
func TestApplyingAnyCommandDoesNotPanic(t *testing.T) {
	f := filler{random: rand.New(rand.NewPCG(19, 2))}
	now := time.Date(2030, time.May, 1, 10, 0, 0, 0, time.UTC)
	state := applier.New()
	applied := 0
	for index := range uint64(30_000) {
		message := &wire.Command{}
		f.fill(message.ProtoReflect(), 5)
		data, err := proto.Marshal(message)
		assert.NilError(t, err)
		command, err := encoder.DecodeCommand(data)
		if err != nil {
			continue
		}
		applied++
		state.Apply(index+1, now.Add(time.Duration(index)*time.Millisecond), command)
	}
	assert.Assert(t, applied > 10_000, "%d commands", applied)
}
