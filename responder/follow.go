package responder

import (
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"burdocklink/cataloger"
	"burdocklink/encoder"
	"burdocklink/encoder/wire"
)

// followStream is the server side of a follower's stream.
type followStream = grpc.BidiStreamingServer[wire.FollowRequest, wire.FollowReply]

// session serves the stream of one follower, an entry.
type session struct {
	responder *Responder
	stream    followStream
	ended     chan struct{}
	// demand is used by the receiving goroutine only.
	demand *encoder.DemandDecoder
	// holdingsSerial is the newest change of holdings that was sent. At
	// confirmHoldingsAt all holdings are confirmed without being repeated. The next
	// change is not sent before sendHoldingsAt.
	holdingsSerial    uint64
	confirmHoldingsAt time.Time
	sendHoldingsAt    time.Time
	// resendHoldingsAt is when all holdings are sent again.
	resendHoldingsAt time.Time
	// peersSerial is the serial number of the list of entries that was sent.
	peersSerial uint64
	// listSerial is the newest change of the platform's list that was sent, and
	// listReadAt when that list was read.
	listSerial uint64
	listReadAt time.Time
	// limitSerial is the newest change of rate limits that was sent.
	limitSerial uint64

	mu sync.Mutex
	// messages are the last messages received, oldest first.
	messages []receivedMessage
}

// receivedMessage is the number of a message of the entry and its time of arrival.
type receivedMessage struct {
	number uint64
	at     time.Time
}

// maxMessages is the number of received messages that a session keeps.
const maxMessages = 64

// Follow streams the catalog until the follower disconnects or falls behind.
func (r *Responder) Follow(stream followStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	s := &session{
		responder: r,
		stream:    stream,
		ended:     make(chan struct{}),
		demand:    encoder.NewDemandDecoder(),
	}
	if err := s.record(first, time.Now()); err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	go s.runReceive()
	catalog, deltas, cancel := r.settings.Group.Follow()
	defer cancel()
	if err := s.sendSnapshot(catalog, first.GetRevision()); err != nil {
		return err
	}
	if err := s.sendLimits(time.Now()); err != nil {
		return err
	}
	// an entry that has just started serves no requests before a quorum has confirmed
	// the revision
	r.confirmer.confirm()
	if err := s.stream.Send(s.heartbeat(time.Now())); err != nil {
		return err
	}
	return s.send(deltas)
}

// runReceive records the messages of the entry until the stream ends.
func (s *session) runReceive() {
	defer close(s.ended)
	for {
		request, err := s.stream.Recv()
		if err != nil || s.record(request, time.Now()) != nil {
			return
		}
	}
}

// record stores a message of the entry.
func (s *session) record(request *wire.FollowRequest, now time.Time) error {
	counts, err := s.demand.Decode(request)
	if err != nil {
		return err
	}
	s.responder.entries.put(request, counts, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.messages = append(s.messages, receivedMessage{number: request.GetNumber(), at: now})
	if len(s.messages) > maxMessages {
		s.messages = s.messages[1:]
	}
	return nil
}

// echo returns the number of the last message received before a time, or zero.
func (s *session) echo(before time.Time) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var number uint64
	for _, message := range s.messages {
		if message.at.Before(before) {
			number = message.number
		}
	}
	return number
}

// sendSnapshot sends the catalog unless the entry already has its revision.
func (s *session) sendSnapshot(catalog *cataloger.Catalog, revision uint64) error {
	if catalog.Revision == revision {
		return nil
	}
	data, err := encoder.EncodeDelta(cataloger.Delta{To: catalog.Revision, Changes: catalog.Changes()})
	if err != nil {
		return status.Error(codes.Internal, err.Error())
	}
	return s.stream.Send(&wire.FollowReply{Update: &wire.FollowReply_Snapshot{Snapshot: data}})
}

func (s *session) send(deltas <-chan cataloger.Delta) error {
	interval := s.responder.heartbeatInterval()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	// batchTimer runs while changes are batched for the next message
	batchTimer := time.NewTimer(0)
	defer batchTimer.Stop()
	changed := s.holdingsChanged()
	for {
		select {
		case <-s.responder.stopping:
			return status.Error(codes.Unavailable, "this member stops")
		case <-s.ended:
			return nil
		case delta, open := <-deltas:
			if !open {
				return status.Error(codes.ResourceExhausted, "the follower fell behind")
			}
			if err := s.sendDelta(delta); err != nil {
				return err
			}
		case <-changed:
			changed = nil
			if s.responder.PropagationTime() < interval {
				batchTimer.Reset(time.Until(s.sendHoldingsAt))
			}
		case <-batchTimer.C:
			changed = s.holdingsChanged()
			if err := s.sendHoldings(time.Now()); err != nil {
				return err
			}
		case <-s.listChanged():
			if err := s.sendListing(time.Now()); err != nil {
				return err
			}
		case <-ticker.C:
			if current := s.responder.heartbeatInterval(); current != interval {
				interval = current
				ticker.Reset(interval)
			}
			if err := s.sendLimits(time.Now()); err != nil {
				return err
			}
			if err := s.sendListing(time.Now()); err != nil {
				return err
			}
			if err := s.stream.Send(s.heartbeat(time.Now())); err != nil {
				return err
			}
			changed = s.holdingsChanged()
			if err := s.sendHoldings(time.Now()); err != nil {
				return err
			}
		}
	}
}

func (s *session) sendDelta(delta cataloger.Delta) error {
	data, err := encoder.EncodeDelta(delta)
	if err != nil {
		return status.Error(codes.Internal, err.Error())
	}
	return s.stream.Send(&wire.FollowReply{Update: &wire.FollowReply_Delta{Delta: data}})
}

// maxListAge is the maximum age of the leader's reading of the platform's list for which
// it is sent.
const maxListAge = 2 * time.Second

// listChanged returns a channel that is closed at the next change of the
// platform's list; nil if this member reads none.
func (s *session) listChanged() <-chan struct{} {
	if s.responder.settings.PlatformList == nil {
		return nil
	}
	return s.responder.settings.PlatformList.Changed()
}

// sendListing sends the changes of the platform's list.
func (s *session) sendListing(now time.Time) error {
	if s.responder.settings.PlatformList == nil || !s.responder.settings.Group.Status().Leading {
		return nil
	}
	changes := s.responder.settings.PlatformList.After(s.listSerial)
	if now.Sub(changes.ReadAt) > maxListAge {
		return nil
	}
	changed := changes.Serial != s.listSerial
	s.listSerial, s.listReadAt = changes.Serial, changes.ReadAt
	if !changed {
		return nil
	}
	return s.stream.Send(&wire.FollowReply{Update: &wire.FollowReply_Listing{
		Listing: encoder.EncodeListing(changes),
	}})
}

// listAge returns the age of the list that was sent, in milliseconds; negative if none
// was sent.
func (s *session) listAge(now time.Time) int64 {
	if s.listReadAt.IsZero() {
		return -1
	}
	return now.Sub(s.listReadAt).Milliseconds()
}

// heartbeat returns a message with the leader, the last revision confirmed by the quorum,
// and the other entries if they changed.
func (s *session) heartbeat(now time.Time) *wire.FollowReply {
	last := s.responder.confirmer.latest()
	state := s.responder.settings.Group.Status()
	var peers []string
	var capacities []uint32
	if all, each, serial := s.responder.entries.peers(now); serial != s.peersSerial {
		peers, capacities, s.peersSerial = all, each, serial
	}
	return &wire.FollowReply{Update: &wire.FollowReply_Heartbeat{Heartbeat: &wire.Heartbeat{
		Echo:     s.echo(last.startedAt),
		Revision: last.revision,
		Leader:   leaderAddress(state),
		Leading:  state.Leading,

		Peers:      peers,
		Capacities: capacities,
		ListAgeMs:  s.listAge(now),
	}}}
}
