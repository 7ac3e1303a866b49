package responder

import (
	"context"
	"time"

	"burdocklink/encoder"
	"burdocklink/encoder/wire"
)

// Charge grants an entry units of organisations' quotas. Only the leader grants any.
func (r *Responder) Charge(_ context.Context, request *wire.ChargeRequest) (*wire.ChargeReply, error) {
	notLeader := &wire.ChargeReply{Leader: leaderAddress(r.settings.Group.Status())}
	if r.settings.Quotas == nil {
		return notLeader, nil
	}
	now := time.Now()
	grants, pause, leading := r.settings.Quotas.Charge(now, request.GetEntry(), encoder.DecodeQuotaWants(request))
	if !leading {
		return notLeader, nil
	}
	return &wire.ChargeReply{Leading: true, Grants: encoder.EncodeQuotaGrants(grants, now), PauseMs: pause.Milliseconds()}, nil
}
