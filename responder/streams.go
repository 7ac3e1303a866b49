package responder

import (
	"context"
	"time"

	"burdocklink/applier"
	"burdocklink/cataloger"
	"burdocklink/encoder"
	"burdocklink/encoder/wire"
	"burdocklink/historian"
)

// Streams records which software began the streams of an entry, and finds that of one
// stream. Only the leader does so, under its lease.
func (r *Responder) Streams(ctx context.Context, request *wire.StreamsRequest) (*wire.StreamsReply, error) {
	state := r.settings.Group.Status()
	if r.settings.Streams == nil || !state.Leading {
		return &wire.StreamsReply{}, nil
	}
	now := time.Now()
	r.settings.Streams.Record(encoder.DecodeStreams(request.GetBegun()), now)
	reply := &wire.StreamsReply{Leading: true, Term: state.Term}
	if len(request.GetServices()) == 0 {
		return reply, nil
	}
	// what is committed includes the releases that earlier leaders recorded
	if _, err := r.settings.Group.Confirm(ctx); err != nil {
		return &wire.StreamsReply{}, nil
	}
	var releases map[cataloger.ReleaseKey]cataloger.Release
	if err := r.settings.Group.Read(ctx, func(state *applier.State) { releases = state.Catalog().Releases }); err != nil {
		return &wire.StreamsReply{}, nil
	}
	switch answer := r.settings.Streams.Find(request.GetFind(), request.GetServices(), state.Term, releases, now).(type) {
	case historian.Known:
		reply.Found = encoder.EncodeStream(request.GetFind(), answer.Stream)
	case historian.Unknown:
		reply.Final = true
	}
	return reply, nil
}
