package responder

import (
	"context"

	"burdocklink/encoder"
	"burdocklink/encoder/wire"
	"burdocklink/mover"
)

// unknownTime is the reply's value if the time until a holder is ready is not known.
const unknownTime = -1

// Want returns the engines that hold a model or adapter, and has it loaded if there is
// none. Only the leader does so.
func (r *Responder) Want(ctx context.Context, request *wire.WantRequest) (*wire.WantReply, error) {
	state := r.settings.Group.Status()
	if r.settings.Holdings == nil || !state.Leading {
		return &wire.WantReply{Leader: leaderAddress(state), ReadyInMs: unknownTime}, nil
	}
	result := r.settings.Holdings.Want(ctx, mover.Want{
		Service: request.GetService(),
		Model:   request.GetModel(),
		Adapter: request.GetAdapter(),

		Software: request.GetSoftware(),
	})
	reply := &wire.WantReply{
		Leading:   true,
		Holdings:  encoder.EncodeHoldings(result.Holders),
		ReadyInMs: unknownTime,
	}
	if result.Known {
		reply.ReadyInMs = result.ReadyIn.Milliseconds()
	}
	return reply, nil
}
