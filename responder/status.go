package responder

import (
	"context"
	"maps"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"burdocklink/applier"
	"burdocklink/cataloger"
	"burdocklink/conductor"
	"burdocklink/encoder"
	"burdocklink/encoder/wire"
	"burdocklink/orderer"
	"burdocklink/placer"
)

// Status returns the status of the system as known to this member. Only the leader's is
// complete.
func (r *Responder) Status(ctx context.Context, _ *wire.StatusRequest) (*wire.StatusReply, error) {
	if _, err := r.operator(ctx); err != nil {
		return nil, err
	}
	reply := memberStatus(r.settings.Group.Status())
	read := func(state *applier.State) { describeState(reply, state) }
	if err := r.settings.Group.Read(ctx, read); err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	r.describeEntries(reply, time.Now())
	return reply, nil
}

func memberStatus(state conductor.Status) *wire.StatusReply {
	reply := &wire.StatusReply{
		Member:    state.Member,
		Leader:    state.Leader,
		Leading:   state.Leading,
		Term:      state.Term,
		Committed: state.Committed,
		Applied:   state.Applied,
	}
	for _, member := range state.Members {
		reply.Members = append(reply.Members, &wire.MemberState{
			Name:    member.Name,
			Disk:    member.Disk,
			Address: member.Address,
			Role:    roleName(member.Role),
		})
	}
	return reply
}

func roleName(role conductor.Role) string {
	if role == conductor.Voter {
		return "voter"
	}
	return "learner"
}

// leaderAddress returns the leader's address, or an empty string.
func leaderAddress(state conductor.Status) string {
	for _, member := range state.Members {
		if member.Name == state.Leader {
			return member.Address
		}
	}
	return ""
}

func describeState(reply *wire.StatusReply, state *applier.State) {
	catalog := state.Catalog()
	reply.Revision = catalog.Revision
	reply.Moves = state.Orders().Moves()
	for _, name := range slices.Sorted(maps.Keys(catalog.Upstreams)) {
		reply.Upstreams = append(reply.Upstreams, upstreamState(catalog, name))
	}
	for _, order := range state.Orders().Unsettled() {
		reply.Orders = append(reply.Orders, &wire.OrderState{
			Id:       order.ID,
			Upstream: order.Upstream,
			Work:     describeWork(order.Work),
		})
	}
	for _, name := range slices.Sorted(maps.Keys(catalog.Classes)) {
		class := catalog.Classes[name]
		reply.Classes = append(reply.Classes, &wire.ClassState{
			Name:            class.Name,
			FirstTokenMs:    class.Target.FirstToken.Milliseconds(),
			BetweenTokensMs: class.Target.BetweenTokens.Milliseconds(),
			WholeMs:         class.Target.Whole.Milliseconds(),
			RepeatForbidden: class.RepeatForbidden,
		})
	}
}

func upstreamState(catalog *cataloger.Catalog, name string) *wire.UpstreamState {
	upstream := catalog.Upstreams[name]
	placement := catalog.Placements[name]
	state := &wire.UpstreamState{
		Name:             name,
		AvailabilityZone: upstream.AvailabilityZone,
		Service:          upstream.Service,
		State:            stateName(upstream.State),
		MemoryBytes:      upstream.MemoryBytes,
		Models:           placement.Models,
		Adapters:         placement.Adapters,
	}
	for _, model := range placement.Models {
		state.HeldBytes += catalog.Models[model].MemoryBytes
	}
	for _, adapter := range placement.Adapters {
		state.HeldBytes += catalog.Adapters[adapter].MemoryBytes
	}
	return state
}

// describeWork returns a short description of an order's work.
func describeWork(work orderer.Work) string {
	switch work := work.(type) {
	case orderer.LoadModel:
		return "load model " + work.Model
	case orderer.UnloadModel:
		return "unload model " + work.Model
	case orderer.LoadAdapter:
		return "load adapter " + work.Adapter
	case orderer.UnloadAdapter:
		return "unload adapter " + work.Adapter
	case orderer.SetRole:
		return "set role " + encoder.EncodeRole(work.Role)
	default:
		return "unknown work"
	}
}

func stateName(state cataloger.UpstreamState) string {
	if state == cataloger.UpstreamLeaving {
		return "leaving"
	}
	return "live"
}

func (r *Responder) describeEntries(reply *wire.StatusReply, now time.Time) {
	entries, demands := r.entries.list(), r.Demands()
	counts := map[string]*wire.ClassState{}
	for _, class := range reply.Classes {
		counts[class.GetName()] = class
	}
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		record := entries[name]
		reply.Entries = append(reply.Entries, &wire.EntryState{
			Name:             name,
			AvailabilityZone: record.request.GetAvailabilityZone(),
			Revision:         record.request.GetRevision(),
			InForce:          record.request.GetInForce(),
			SilentMs:         now.Sub(record.receivedAt).Milliseconds(),
		})
		addCounts(counts, demands[name])
	}
}

// addCounts adds the request counts of an entry to the states of their classes.
func addCounts(states map[string]*wire.ClassState, demand placer.Demand) {
	for _, classes := range demand.Counts {
		for class, count := range classes {
			state, known := states[class]
			if !known {
				continue
			}
			state.Ended += count.Ended
			state.Missed += count.Missed
			state.Refused += count.Refused
		}
	}
}
