package responder

import (
	"context"
	"errors"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"burdocklink/applier"
	"burdocklink/conductor"
	"burdocklink/encoder"
	"burdocklink/encoder/wire"
)

// Propose commits a claim event. Entries may propose nothing else.
func (r *Responder) Propose(ctx context.Context, request *wire.ProposeRequest) (*wire.ProposeReply, error) {
	command, err := encoder.DecodeCommand(request.GetCommand())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	claim, ok := command.(applier.Claim)
	if !ok {
		return nil, status.Error(codes.PermissionDenied, "entries may propose claims only")
	}
	return r.propose(ctx, claim)
}

// propose proposes a command to the group and maps the outcome to a reply.
func (r *Responder) propose(ctx context.Context, command applier.Command) (*wire.ProposeReply, error) {
	applied, err := r.settings.Group.Propose(ctx, command)
	if err != nil {
		return proposeFailure(err)
	}
	data, err := encoder.EncodeApplied(applied)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return &wire.ProposeReply{Outcome: &wire.ProposeReply_Applied{Applied: data}}, nil
}

func proposeFailure(err error) (*wire.ProposeReply, error) {
	var notLeader *conductor.NotLeaderError
	var uncertain *conductor.UncertainError
	switch {
	case errors.As(err, &notLeader):
		return &wire.ProposeReply{Outcome: &wire.ProposeReply_NotLeader{
			NotLeader: &wire.NotLeader{Leader: notLeader.Leader},
		}}, nil
	case errors.As(err, &uncertain):
		return &wire.ProposeReply{Outcome: &wire.ProposeReply_Uncertain{Uncertain: err.Error()}}, nil
	default:
		return nil, status.Error(codes.Unavailable, err.Error())
	}
}
