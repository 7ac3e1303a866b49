package responder

import (
	"context"
	"time"

	"burdocklink/encoder"
	"burdocklink/encoder/wire"
)

// Reserve grants an entry permits for upstreams whose rate limit is shared by all VMs.
// Only the leader grants any.
func (r *Responder) Reserve(_ context.Context, request *wire.ReserveRequest) (*wire.ReserveReply, error) {
	state := r.settings.Group.Status()
	notLeader := &wire.ReserveReply{Leader: leaderAddress(state)}
	if r.settings.Limits == nil {
		return notLeader, nil
	}
	now := time.Now()
	reservations, pause, leading := r.settings.Limits.Reserve(now, request.GetEntry(), encoder.DecodeReservationRequests(request, now))
	if !leading {
		return notLeader, nil
	}
	return &wire.ReserveReply{
		Leading:      true,
		Reservations: encoder.EncodeReservations(reservations, now),
		PauseMs:      pause.Milliseconds(),
	}, nil
}

// sendLimits sends the rate limits that changed since the last call.
func (s *session) sendLimits(now time.Time) error {
	if s.responder.settings.Limits == nil || !s.responder.settings.Group.Status().Leading {
		return nil
	}
	limits, serial := s.responder.settings.Limits.LimitsAfter(s.limitSerial)
	s.limitSerial = serial
	if len(limits) == 0 {
		return nil
	}
	return s.stream.Send(&wire.FollowReply{Update: &wire.FollowReply_Limits{Limits: encoder.EncodeLimits(limits, now)}})
}
