package follower

import (
	"context"

	"burdocklink/encoder/wire"
)

// updateQueueLength is how many updates may wait for the loop.
const updateQueueLength = 16

// stream is one call of Follow. Its receiving and sending goroutines end with
// the context.
type stream struct {
	ctx     context.Context
	client  wire.ControlClient
	updates chan *wire.FollowReply
	// reports has room for one, which only the follower's loop fills.
	reports chan *wire.FollowRequest
	// failed is closed after err was set.
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

// runReceive opens the call and hands on what arrives.
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

// runSend sends reports until the stream ends. A failure shows in runReceive.
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
