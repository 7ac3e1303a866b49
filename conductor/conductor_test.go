package conductor_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/applier"
	"burdocklink/conductor"
)

// stopTimeout is a generous limit for a stop.
const stopTimeout = 20 * time.Second

// noopCodec supports only the no-op command and the empty state.
func noopCodec() conductor.Codec {
	return conductor.Codec{
		EncodeCommand: func(applier.Command) ([]byte, error) { return []byte{1}, nil },
		DecodeCommand: func([]byte) (applier.Command, error) { return applier.Noop{}, nil },
		EncodeState:   func(applier.Snapshot) ([]byte, error) { return []byte{1}, nil },
		DecodeState:   func([]byte) (*applier.State, error) { return applier.New(), nil },
	}
}

func TestSingleMemberCommits(t *testing.T) {
	member, err := conductor.New(conductor.Config{Name: "a", Codec: noopCodec()})
	assert.NilError(t, err)
	assert.NilError(t, member.Start(context.Background(), nil))
	defer func() { assert.NilError(t, member.Stop(time.Now().Add(stopTimeout))) }()

	applied, err := member.Propose(context.Background(), applier.Noop{})
	assert.NilError(t, err)
	assert.Equal(t, applied.Result, applier.Nothing{})
	revision, err := member.Confirm(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, revision, uint64(0))
	assert.Assert(t, member.Status().Leading)
	assert.Assert(t, member.Status().Applied > 0)

	_, deltas, cancel := member.Follow()
	cancel()
	_, open := <-deltas
	assert.Assert(t, !open)
}

func TestTooLargeCommandIsRefused(t *testing.T) {
	codec := noopCodec()
	codec.EncodeCommand = func(applier.Command) ([]byte, error) {
		return make([]byte, conductor.MaxCommandBytes+1), nil
	}
	member, err := conductor.New(conductor.Config{Name: "a", Codec: codec})
	assert.NilError(t, err)
	assert.NilError(t, member.Start(context.Background(), nil))
	defer func() { assert.NilError(t, member.Stop(time.Now().Add(stopTimeout))) }()
	_, err = member.Propose(context.Background(), applier.Noop{})
	assert.ErrorType(t, err, &conductor.TooLargeError{})
}

func TestInvalidConfigIsRefused(t *testing.T) {
	_, err := conductor.New(conductor.Config{Name: "a"})
	assert.ErrorType(t, err, &conductor.InvalidConfigError{})
}
