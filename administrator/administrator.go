// Package administrator is the operators' client of the control members. It finds
// the leader by itself and retries a change under the same request ID, so that a
// lost reply does no harm.
package administrator

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"burdocklink/applier"
	"burdocklink/cataloger"
	"burdocklink/encoder"
	"burdocklink/encoder/wire"
	"burdocklink/linker"
)

// Times of a call.
const (
	// answerTimeout is the timeout of a call to one member.
	answerTimeout = 2 * time.Second
	// retryDelay is the delay before the next member is called.
	retryDelay = 100 * time.Millisecond
	// silenceDuration is how long a member that failed to answer is passed over.
	silenceDuration = time.Second
)

// Settings are the settings of an administrator.
type Settings struct {
	// Control lists the control members' addresses.
	Control []string
	Links   *linker.Linker
	// Key is the operator's key.
	Key string
}

// Administrator is safe for concurrent use.
type Administrator struct{ settings Settings }

// New returns an administrator.
func New(settings Settings) *Administrator { return &Administrator{settings: settings} }

// Change proposes changes that are based on a catalog revision and returns the
// accepted revision. The request ID identifies retries of the same change. The error
// is a *ConflictError, *InvalidError, *RefusedError or *NoAnswerError.
func (a *Administrator) Change(ctx context.Context, request string, baseRevision uint64, changes []cataloger.Change) (uint64, error) {
	data, err := encoder.EncodeCommand(applier.Change{RequestID: request, BaseRevision: baseRevision, Changes: changes})
	if err != nil {
		return 0, err
	}
	message := &wire.ProposeRequest{Command: data}
	var reply *wire.ProposeReply
	err = a.askLeader(ctx, func(ctx context.Context, client wire.OperatorClient) (*wire.NotLeader, error) {
		var err error
		reply, err = client.Change(ctx, message)
		if err == nil && reply.GetApplied() == nil && reply.GetNotLeader() == nil {
			return nil, status.Error(codes.Unavailable, reply.GetUncertain())
		}
		return reply.GetNotLeader(), err
	})
	if err != nil {
		return 0, err
	}
	applied, err := encoder.DecodeApplied(reply.GetApplied())
	if err != nil {
		return 0, err
	}
	return acceptedRevision(applied.Result)
}

func acceptedRevision(result applier.Result) (uint64, error) {
	switch result := result.(type) {
	case applier.Accepted:
		return result.Revision, nil
	case applier.Conflict:
		return 0, &ConflictError{Current: result.Current}
	case applier.Invalid:
		return 0, &InvalidError{Reason: result.Reason}
	default:
		return 0, &InvalidError{Reason: "the answer belongs to another command"}
	}
}

// Status returns the leader's status of the system, or that of any member if there
// is no leader. The error is a *RefusedError or *NoAnswerError.
func (a *Administrator) Status(ctx context.Context) (*wire.StatusReply, error) {
	var best *wire.StatusReply
	err := a.askEach(ctx, func(ctx context.Context, client wire.OperatorClient) (bool, error) {
		reply, err := client.Status(ctx, &wire.StatusRequest{})
		if err != nil {
			return false, err
		}
		best = reply
		return reply.GetLeading(), nil
	})
	if best != nil {
		return best, nil
	}
	return nil, err
}

// Revision returns the catalog revision at the leader; no other member is ahead of
// it. A change based on the revision of a lagging member would conflict with changes
// that its operator never saw. The error is a *RefusedError or *NoAnswerError.
func (a *Administrator) Revision(ctx context.Context) (uint64, error) {
	var reply *wire.StatusReply
	err := a.askLeader(ctx, func(ctx context.Context, client wire.OperatorClient) (*wire.NotLeader, error) {
		var err error
		reply, err = client.Status(ctx, &wire.StatusRequest{})
		if err == nil && !reply.GetLeading() {
			return &wire.NotLeader{}, nil
		}
		return nil, err
	})
	return reply.GetRevision(), err
}

// History returns up to limit accepted changes, newest first. The error is a
// *RefusedError or *NoAnswerError.
func (a *Administrator) History(ctx context.Context, limit uint32) (*wire.HistoryReply, error) {
	var reply *wire.HistoryReply
	err := a.askLeader(ctx, func(ctx context.Context, client wire.OperatorClient) (*wire.NotLeader, error) {
		var err error
		reply, err = client.History(ctx, &wire.HistoryRequest{Most: limit})
		return nil, err
	})
	return reply, err
}

// ChangeMember adds or removes a control member. The error is an *InvalidError,
// *RefusedError or *NoAnswerError.
func (a *Administrator) ChangeMember(ctx context.Context, request *wire.MemberRequest) error {
	var reply *wire.MemberReply
	err := a.askLeader(ctx, func(ctx context.Context, client wire.OperatorClient) (*wire.NotLeader, error) {
		var err error
		reply, err = client.ChangeMember(ctx, request)
		return reply.GetNotLeader(), err
	})
	if err != nil {
		return err
	}
	if reason := reply.GetRefused(); reason != "" {
		return &InvalidError{Reason: reason}
	}
	return nil
}

// memberCall calls one member. It returns a *wire.NotLeader, which may carry the
// leader's address, if the member does not lead.
type memberCall func(ctx context.Context, client wire.OperatorClient) (*wire.NotLeader, error)

// askLeader calls the members in turn, or the leader that one of them names, until
// one answers as the leader.
func (a *Administrator) askLeader(ctx context.Context, do memberCall) error {
	members, leader := linker.NewRotation(), ""
	var last error
	for {
		address := members.Next(leader, a.settings.Control, time.Now())
		notLeader, err := a.callMember(ctx, address, do)
		if err == nil && notLeader == nil {
			return nil
		}
		if refused := finalError(err); refused != nil {
			return refused
		}
		if now := time.Now(); err != nil {
			last = err
			members.MarkSilent(address, now, now.Add(silenceDuration))
		}
		leader = notLeader.GetLeader()
		if !linker.Sleep(ctx, retryDelay) {
			return &NoAnswerError{Cause: last}
		}
	}
}

// askEach calls each member once and stops early if do returns true. It returns nil
// only in that case.
func (a *Administrator) askEach(ctx context.Context, do func(context.Context, wire.OperatorClient) (bool, error)) error {
	var last error
	for _, address := range a.settings.Control {
		enough := false
		_, err := a.callMember(ctx, address, func(ctx context.Context, client wire.OperatorClient) (*wire.NotLeader, error) {
			var err error
			enough, err = do(ctx, client)
			return nil, err
		})
		if refused := finalError(err); refused != nil {
			return refused
		}
		if err != nil {
			last = err
		}
		if enough {
			return nil
		}
	}
	return &NoAnswerError{Cause: last}
}

func (a *Administrator) callMember(ctx context.Context, address string, do memberCall) (*wire.NotLeader, error) {
	link, err := a.settings.Links.Connect(address)
	if err != nil {
		return nil, err
	}
	callCtx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	authorized := metadata.AppendToOutgoingContext(callCtx, "authorization", "Bearer "+a.settings.Key)
	notLeader, err := do(authorized, wire.NewOperatorClient(link))
	if callCtx.Err() != nil && ctx.Err() == nil {
		a.settings.Links.Drop(address, link)
	}
	return notLeader, err
}
