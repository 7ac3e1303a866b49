// Package proposer sends commands to the leader of the control group. It tries
// the members in turn until one answers as the leader or the context ends, which
// is safe because commands are idempotent.
package proposer

import (
	"context"
	"time"

	"burdocklink/applier"
	"burdocklink/claimer"
	"burdocklink/encoder"
	"burdocklink/encoder/wire"
	"burdocklink/linker"
)

const (
	// replyTimeout limits the wait for one member's reply.
	replyTimeout = 1500 * time.Millisecond
	// retryInterval is the wait before the next attempt.
	retryInterval = 50 * time.Millisecond
	// silenceDuration is how long a member that failed to reply is passed over.
	silenceDuration = time.Second
)

// Settings configure a Proposer.
type Settings struct {
	// Control lists the addresses of the control members.
	Control []string
	Links   *linker.Linker
	// Leader returns the last known address of the leader, or an empty string.
	Leader func() string
}

// Proposer commits commands through the leader. It is safe for concurrent use.
type Proposer struct{ settings Settings }

// New returns a proposer.
func New(settings Settings) *Proposer { return &Proposer{settings: settings} }

// Claim commits an event of the claim table. The error is an *UnconfirmedError
// if the context ended before the outcome was known; the event may or may not be
// committed then.
func (p *Proposer) Claim(ctx context.Context, event claimer.Event) (claimer.Result, error) {
	applied, err := p.propose(ctx, applier.Claim{Event: event})
	if err != nil {
		return nil, err
	}
	result, ok := applied.Result.(applier.ClaimResult)
	if !ok {
		return nil, &UnexpectedResultError{}
	}
	return result.Result, nil
}

func (p *Proposer) propose(ctx context.Context, command applier.Command) (applier.Applied, error) {
	data, err := encoder.EncodeCommand(command)
	if err != nil {
		return applier.Applied{}, err
	}
	request := &wire.ProposeRequest{Command: data}
	members, leader := linker.NewRotation(), p.settings.Leader()
	for {
		address := members.Next(leader, p.settings.Control, time.Now())
		reply, err := p.send(ctx, address, request)
		if applied := reply.GetApplied(); err == nil && applied != nil {
			return encoder.DecodeApplied(applied)
		}
		if linker.IsFinal(err) {
			return applier.Applied{}, &RefusedError{Cause: err}
		}
		if now := time.Now(); err != nil {
			members.MarkSilent(address, now, now.Add(silenceDuration))
		}
		leader = reply.GetNotLeader().GetLeader()
		if !linker.Sleep(ctx, retryInterval) {
			return applier.Applied{}, &UnconfirmedError{Cause: err}
		}
	}
}

// send sends the request to one member. If the member does not reply in time, its
// connection is dropped, so that the next attempt uses a new one.
func (p *Proposer) send(ctx context.Context, address string, request *wire.ProposeRequest) (*wire.ProposeReply, error) {
	link, err := p.settings.Links.Connect(address)
	if err != nil {
		return nil, err
	}
	attempt, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	reply, err := wire.NewControlClient(link).Propose(attempt, request)
	if attempt.Err() == context.DeadlineExceeded && ctx.Err() == nil {
		p.settings.Links.Drop(address, link)
	}
	return reply, err
}
