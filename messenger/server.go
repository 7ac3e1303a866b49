package messenger

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"burdocklink/encoder"
	"burdocklink/encoder/wire"
	"burdocklink/replicator"
)

// server implements the replication service.
type server struct {
	wire.UnimplementedReplicationServer
	messenger *Messenger
}

// Introduce reports the introducing member to OnIntroduction and returns this
// member's identity and group.
func (s *server) Introduce(_ context.Context, request *wire.IntroduceRequest) (*wire.IntroduceReply, error) {
	m := s.messenger
	m.settings.OnIntroduction(replicator.Member{
		ID:      encoder.DecodeIdentity(request.GetId()),
		Address: request.GetAddress(),
	})
	return &wire.IntroduceReply{
		Id:      encoder.EncodeIdentity(m.settings.Self),
		Group:   m.settings.Group(),
		Members: encoder.EncodeMembers(m.settings.Members()),

		MayFound: m.settings.MayFound(),
	}, nil
}

// inbound is a link dialled by another member.
type inbound struct {
	messenger *Messenger
	stream    wire.Replication_LinkServer
	from      replicator.Identity
	received  atomic.Uint64
	ended     chan struct{}
}

// Link receives messages and acknowledges them.
func (s *server) Link(stream wire.Replication_LinkServer) error {
	m := s.messenger
	hello, err := stream.Recv()
	if err != nil {
		return err
	}
	if encoder.DecodeIdentity(hello.GetTo()) != m.settings.Self {
		return status.Error(codes.FailedPrecondition, "another member has this address")
	}
	in := &inbound{
		messenger: m,
		stream:    stream,
		from:      encoder.DecodeIdentity(hello.GetFrom()),
		ended:     make(chan struct{}),
	}
	m.learn(in.from, hello.GetAddress())
	in.received.Store(hello.GetSequence())
	go in.run()
	return in.acknowledge()
}

// run receives frames until the stream ends.
func (in *inbound) run() {
	defer close(in.ended)
	for {
		frame, err := in.stream.Recv()
		if err != nil {
			return
		}
		for _, message := range frame.GetEnvelopes() {
			in.deliver(message)
		}
		in.received.Store(frame.GetSequence())
	}
}

func (in *inbound) deliver(message *wire.ReplicaEnvelope) {
	m := in.messenger
	message.From = encoder.EncodeIdentity(in.from)
	message.To = encoder.EncodeIdentity(m.settings.Self)
	envelope, err := encoder.DecodeEnvelope(message)
	if err != nil {
		m.settings.Log.Error("received invalid message", zap.String("member", in.from.Name), zap.Error(err))
		return
	}
	m.settings.Deliver(envelope)
}

// acknowledge acknowledges received frames until the stream ends or nothing is
// received for silenceTimeout.
func (in *inbound) acknowledge() error {
	ticker := time.NewTicker(ackInterval)
	defer ticker.Stop()
	acked, silentAt := uint64(0), time.Now().Add(silenceTimeout)
	for {
		select {
		case <-in.messenger.context.Done():
			return status.Error(codes.Unavailable, "member stops")
		case <-in.ended:
			return nil
		case <-ticker.C:
		}
		received := in.received.Load()
		if received == acked {
			if time.Now().After(silentAt) {
				return status.Error(codes.DeadlineExceeded, "link is silent")
			}
			continue
		}
		if err := in.stream.Send(&wire.LinkAck{Sequence: received}); err != nil {
			return err
		}
		acked, silentAt = received, time.Now().Add(silenceTimeout)
	}
}
