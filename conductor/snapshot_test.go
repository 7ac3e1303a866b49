package conductor_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"burdocklink/applier"
	"burdocklink/conductor"
)

// blockedCodec blocks the encoding of a state until it is released.
type blockedCodec struct {
	started atomic.Int64
	release chan struct{}
}

func (s *blockedCodec) encode(applier.Snapshot) ([]byte, error) {
	s.started.Add(1)
	<-s.release
	return []byte{1}, nil
}

func TestProposalsContinueWhileStateIsEncoded(t *testing.T) {
	blocked := &blockedCodec{release: make(chan struct{})}
	codec := noopCodec()
	codec.EncodeState = blocked.encode
	member, err := conductor.New(conductor.Config{Name: "a", Codec: codec, SnapshotEntries: 20})
	assert.NilError(t, err)
	assert.NilError(t, member.Start(context.Background(), nil))
	defer func() { assert.NilError(t, member.Stop(time.Now().Add(stopTimeout))) }()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()

	for range 100 {
		_, err := member.Propose(ctx, applier.Noop{})
		assert.NilError(t, err)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if blocked.started.Load() == 1 {
			return poll.Success()
		}
		return poll.Continue("no state is being encoded")
	}, poll.WithTimeout(waitTimeout))
	close(blocked.release)

	// Another state is encoded after the first has replaced the log.
	for range 100 {
		_, err := member.Propose(ctx, applier.Noop{})
		assert.NilError(t, err)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if blocked.started.Load() > 1 {
			return poll.Success()
		}
		return poll.Continue("no second state was encoded")
	}, poll.WithTimeout(waitTimeout))
}
