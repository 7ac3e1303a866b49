package responder

import (
	"context"
	"time"

	"burdocklink/encoder"
	"burdocklink/encoder/wire"
)

// Reserve schedules the requests that an entry wants to send to upstreams that
// limit the requests of all VMs together. Only the leader answers.
func (r *Responder) Reserve(_ context.Context, request *wire.ReserveRequest) (*wire.ReserveReply, error) {
	state := r.settings.Group.Status()
	notLeading := &wire.ReserveReply{Leader: leaderAddress(state)}
	if r.settings.Limits == nil {
		return notLeading, nil
	}
	now := time.Now()
	reservations, pause, leading := r.settings.Limits.Reserve(now, request.GetEntry(), encoder.DecodeReservationRequests(request, now))
	if !leading {
		return notLeading, nil
	}
	return &wire.ReserveReply{
		Leading:      true,
		Reservations: encoder.EncodeReservations(reservations, now),
		PauseMs:      pause.Milliseconds(),
	}, nil
}

// sendLimits tells which limits were heard of since the last time.
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
