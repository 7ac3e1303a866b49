package follower

import (
	"context"

	"burdocklink/encoder/wire"
)

// updateQueueLength is the maximum number of queued updates.
const updateQueueLength = 16

// stream is one Follow call. Its receiving and sending goroutines end with the
// context.
type stream struct {
	ctx     context.Context
	client  wire.ControlClient
	updates chan *wire.FollowReply
	// reports holds at most one report, which only the follower's loop adds.
	reports chan *wire.FollowRequest
	// failed is closed once err is set.
	failed chan struct{}
	err    error
}

func newStream(ctx context.Context, client wire.ControlClient) *stream {
	return &stream{
		ctx:     ctx,
		client:  client,
		updates: make(chan *wire.FollowReply, updateQueueLength),
		reports: make(chan *wire.FollowRequest, 1),
		failed:  make(chan struct{}),
	}
}

// runReceive opens the call and forwards the updates to the loop.
func (s *stream) runReceive() {
	defer close(s.failed)
	call, err := s.client.Follow(s.ctx)
	if err != nil {
		s.err = err
		return
	}
	go s.runSend(call)
	for {
		update, err := call.Recv()
		if err != nil {
			s.err = err
			return
		}
		select {
		case s.updates <- update:
		case <-s.ctx.Done():
			s.err = s.ctx.Err()
			return
		}
	}
}

// runSend sends reports until the stream ends. A failure is reported by
// runReceive.
func (s *stream) runSend(call wire.Control_FollowClient) {
	for {
		select {
		case <-s.ctx.Done():
			return
		case report := <-s.reports:
			if call.Send(report) != nil {
				return
			}
		}
	}
}
