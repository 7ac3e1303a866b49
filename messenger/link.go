package messenger

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"burdocklink/encoder"
	"burdocklink/encoder/wire"
	"burdocklink/replicator"
)

// link sends messages to one member.
type link struct {
	messenger *Messenger
	to        replicator.Identity
	address   string
	context   context.Context
	cancel    context.CancelFunc
	wake      chan struct{}

	mutex sync.Mutex
	queue []replicator.Envelope
}

func newLink(m *Messenger, to replicator.Identity, address string) *link {
	ctx, cancel := context.WithCancel(m.context)
	return &link{
		messenger: m,
		to:        to,
		address:   address,
		context:   ctx,
		cancel:    cancel,
		wake:      make(chan struct{}, 1),
	}
}

// enqueue queues a message. It drops the oldest one if the queue is full.
func (l *link) enqueue(envelope replicator.Envelope) {
	l.mutex.Lock()
	if len(l.queue) >= maxQueuedMessages {
		l.queue = l.queue[1:]
		l.messenger.dropped.Inc(1)
	}
	l.queue = append(l.queue, envelope)
	l.mutex.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// dequeueFrame removes the messages that fit into one frame.
func (l *link) dequeueFrame() []replicator.Envelope {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	size, count := 0, 0
	for count < len(l.queue) {
		size += dataBytes(l.queue[count].Message)
		if count > 0 && size > maxFrameBytes {
			break
		}
		count++
	}
	taken := l.queue[:count:count]
	l.queue = l.queue[count:]
	if len(l.queue) == 0 {
		l.queue = nil
	}
	return taken
}

// dataBytes returns the approximate size of a message: the bytes of its log entries
// or snapshot data.
func dataBytes(message replicator.Message) int {
	switch message := message.(type) {
	case replicator.SnapshotChunk:
		return len(message.Data)
	case replicator.AppendRequest:
		size := 0
		for _, entry := range message.Entries {
			if opaque, ok := entry.Payload.(replicator.Opaque); ok {
				size += len(opaque.Data)
			}
		}
		return size
	default:
		return 0
	}
}

// run opens sessions, with a growing delay after failures, until the link is closed.
func (l *link) run() {
	defer l.messenger.running.Done()
	delay := minRedialDelay
	for l.context.Err() == nil {
		acknowledged, err := l.session()
		if l.context.Err() == nil {
			l.messenger.settings.Log.Debug("link closed",
				zap.String("member", l.to.Name), zap.String("address", l.address), zap.Error(err))
		}
		delay = min(2*delay, maxRedialDelay)
		if acknowledged {
			delay = minRedialDelay
		}
		select {
		case <-l.context.Done():
		case <-time.After(delay):
		}
	}
}

// session is one connection of a link with its stream.
type session struct {
	link     *link
	stream   wire.Replication_LinkClient
	acks     chan uint64
	watchdog *time.Timer
	sequence uint64
	acked    uint64
}

// session dials and sends until the stream breaks or an acknowledgement is overdue.
// It reports whether any frame was acknowledged.
func (l *link) session() (bool, error) {
	ctx, cancel := context.WithCancel(l.context)
	defer cancel()
	conn, err := l.messenger.dial(l.address)
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	// The watchdog cancels the context, which also aborts a blocked call.
	watchdog := time.AfterFunc(ackTimeout, cancel)
	defer watchdog.Stop()
	stream, err := wire.NewReplicationClient(conn).Link(ctx)
	if err != nil {
		return false, err
	}
	s := &session{link: l, stream: stream, acks: make(chan uint64, 1), watchdog: watchdog}
	if err := s.sendHello(); err != nil {
		return false, err
	}
	l.messenger.running.Add(1)
	go s.runAcks()
	err = s.send(ctx)
	return s.acked > 0, err
}

// sendHello sends the identities of both members and this member's address.
func (s *session) sendHello() error {
	m := s.link.messenger
	return s.sendFrame(&wire.LinkFrame{
		From:    encoder.EncodeIdentity(m.settings.Self),
		To:      encoder.EncodeIdentity(s.link.to),
		Address: m.settings.Address,
	})
}

// sendFrame sends a frame with the next sequence number. It starts the watchdog if
// no other frame is unacknowledged.
func (s *session) sendFrame(frame *wire.LinkFrame) error {
	if s.acked == s.sequence {
		s.watchdog.Reset(ackTimeout)
	}
	s.sequence++
	frame.Sequence = s.sequence
	return s.stream.Send(frame)
}

func (s *session) send(ctx context.Context) error {
	ping := time.NewTicker(pingInterval)
	defer ping.Stop()
	active := true
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case acked, open := <-s.acks:
			if !open {
				return &StreamClosedError{}
			}
			s.handleAck(acked)
		case <-s.link.wake:
			active = true
			if err := s.sendQueue(); err != nil {
				return err
			}
		case <-ping.C:
			if !active {
				if err := s.sendFrame(&wire.LinkFrame{}); err != nil {
					return err
				}
			}
			active = false
		}
	}
}

// sendQueue sends all queued messages.
func (s *session) sendQueue() error {
	for envelopes := s.link.dequeueFrame(); len(envelopes) > 0; envelopes = s.link.dequeueFrame() {
		frame := &wire.LinkFrame{}
		for _, envelope := range envelopes {
			message := encoder.EncodeEnvelope(envelope)
			message.From, message.To = nil, nil
			frame.Envelopes = append(frame.Envelopes, message)
		}
		if err := s.sendFrame(frame); err != nil {
			return err
		}
	}
	return nil
}

// handleAck restarts the watchdog, or stops it if all frames are acknowledged.
func (s *session) handleAck(acked uint64) {
	s.acked = max(s.acked, acked)
	if s.acked == s.sequence {
		s.watchdog.Stop()
		return
	}
	s.watchdog.Reset(ackTimeout)
}

// runAcks receives acknowledgements until the stream ends.
func (s *session) runAcks() {
	defer s.link.messenger.running.Done()
	defer close(s.acks)
	for {
		ack, err := s.stream.Recv()
		if err != nil {
			return
		}
		select {
		case s.acks <- ack.GetSequence():
		case <-s.stream.Context().Done():
			return
		}
	}
}

// StreamClosedError reports that the other member has closed a stream.
type StreamClosedError struct{}

// Error implements error.
func (e *StreamClosedError) Error() string { return "stream closed by the other member" }
