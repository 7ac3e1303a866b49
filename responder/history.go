package responder

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"burdocklink/applier"
	"burdocklink/cataloger"
	"burdocklink/encoder/wire"
)

// History lists accepted changes, newest first.
func (r *Responder) History(ctx context.Context, request *wire.HistoryRequest) (*wire.HistoryReply, error) {
	if _, err := r.operator(ctx); err != nil {
		return nil, err
	}
	var records []applier.AcceptedChange
	read := func(state *applier.State) { records = state.AcceptedChanges() }
	if err := r.settings.Group.Read(ctx, read); err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	reply := &wire.HistoryReply{}
	for i := len(records) - 1; i >= 0 && len(reply.Records) < int(request.GetMost()); i-- {
		reply.Records = append(reply.Records, historyRecord(records[i]))
	}
	return reply, nil
}

func historyRecord(record applier.AcceptedChange) *wire.HistoryRecord {
	mapped := &wire.HistoryRecord{
		Operator: record.Operator,
		Request:  record.RequestID,
		AtUnixMs: record.At.UnixMilli(),
		Revision: record.Revision,
	}
	for _, change := range record.Changes {
		mapped.Changes = append(mapped.Changes, describeChange(change))
	}
	return mapped
}

// describeChange returns a one-line description of a change.
func describeChange(change cataloger.Change) string {
	switch change := change.(type) {
	case cataloger.PutClass:
		return "set class " + change.Class.Name
	case cataloger.RemoveClass:
		return "remove class " + change.Name
	case cataloger.PutModel:
		return "set model " + change.Model.Name
	case cataloger.RemoveModel:
		return "remove model " + change.Name
	case cataloger.PutAdapter:
		return "set adapter " + change.Adapter.Name
	case cataloger.RemoveAdapter:
		return "remove adapter " + change.Name
	case cataloger.PutUpstream:
		return "set upstream " + change.Upstream.Name
	case cataloger.RemoveUpstream:
		return "remove upstream " + change.Name
	case cataloger.PutPlacement:
		return "place " + change.Placement.Upstream
	default:
		return "unknown change"
	}
}
