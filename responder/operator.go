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

// Actions of a membership change.
const (
	actionAdd    = "add"
	actionRemove = "remove"
)

// Change commits a change under the name of the authenticated operator.
func (r *Responder) Change(ctx context.Context, request *wire.ProposeRequest) (*wire.ProposeReply, error) {
	operator, err := r.operator(ctx)
	if err != nil {
		return nil, err
	}
	command, err := encoder.DecodeCommand(request.GetCommand())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	change, ok := command.(applier.Change)
	if !ok {
		return nil, status.Error(codes.InvalidArgument, "not a change")
	}
	change.Operator = operator
	return r.propose(ctx, change)
}

// ChangeMember adds or removes a control member.
func (r *Responder) ChangeMember(ctx context.Context, request *wire.MemberRequest) (*wire.MemberReply, error) {
	if _, err := r.operator(ctx); err != nil {
		return nil, err
	}
	members, ok := r.settings.Group.(Members)
	if !ok {
		return nil, status.Error(codes.Unimplemented, "this member can't change the group")
	}
	err := changeMember(ctx, members, request)
	var notLeader *conductor.NotLeaderError
	switch {
	case err == nil:
		return &wire.MemberReply{Outcome: &wire.MemberReply_Done{Done: true}}, nil
	case errors.As(err, &notLeader):
		return &wire.MemberReply{Outcome: &wire.MemberReply_NotLeader{
			NotLeader: &wire.NotLeader{Leader: notLeader.Leader},
		}}, nil
	default:
		return &wire.MemberReply{Outcome: &wire.MemberReply_Refused{Refused: err.Error()}}, nil
	}
}

func changeMember(ctx context.Context, members Members, request *wire.MemberRequest) error {
	switch request.GetAction() {
	case actionAdd:
		return members.AddMember(ctx, conductor.Member{
			Name:    request.GetMember().GetName(),
			Address: request.GetMember().GetAddress(),
		})
	case actionRemove:
		return members.RemoveMember(ctx, request.GetMember().GetName(), request.GetMember().GetDisk())
	default:
		return &ActionError{Action: request.GetAction()}
	}
}

// ActionError is returned if the action of a membership change is unknown.
type ActionError struct{ Action string }

// Error returns the action.
func (e *ActionError) Error() string { return "unknown action " + e.Action }

// operator returns the authenticated operator or a status error.
func (r *Responder) operator(ctx context.Context) (string, error) {
	name, err := r.settings.Operator(ctx)
	if err != nil {
		return "", status.Error(codes.Unauthenticated, err.Error())
	}
	return name, nil
}
