package receiver

import (
	"context"
	"time"

	"burdocklink/admitter"
	"burdocklink/quarantiner"
	"burdocklink/router"
)

// guard keeps one request from upstreams that it would crash. It is not safe for
// concurrent use.
type guard struct {
	*exchange
	subject quarantiner.Subject
	pass    *quarantiner.Pass
	sends   quarantiner.Sends
}

// newGuard returns the guard of a request with this body and these shared prompt parts.
func (x *exchange) newGuard(body []byte, parts []string) *guard {
	fingerprint := quarantiner.Fingerprint([]byte(x.r.Method), []byte(x.r.URL.RequestURI()), []byte(x.identity.Name), body)
	return &guard{exchange: x, subject: quarantiner.Subject{Fingerprint: fingerprint, Parts: parts}}
}

// await waits until the request may be sent.
func (g *guard) await(ctx context.Context) error {
	g.end()
	g.sends.Begin()
	pass, err := g.Quarantine.Admit(ctx, g.subject, g.deadline)
	if err != nil {
		return err
	}
	g.pass = pass
	return nil
}

// acquire waits for an upstream until the request may be sent to it.
func (g *guard) acquire(route router.Request) (*admitter.Grant, error) {
	for {
		if err := g.await(g.ctx); err != nil {
			return nil, err
		}
		grant, err := g.Admitter.Acquire(g.ctx, g.admissionRequest(route))
		if err != nil || g.pass.Valid() {
			return grant, err
		}
		returnGrant(grant)
	}
}

// reacquire waits for the next upstream after a grant, unless crashes since then keep the
// request from being sent.
func (g *guard) reacquire(grant *admitter.Grant) (*admitter.Grant, error) {
	if !g.pass.Valid() {
		if err := g.await(g.ctx); err != nil {
			return nil, err
		}
	}
	return g.Admitter.Reacquire(g.ctx, grant)
}

// returnGrant ends a grant that was not used.
func returnGrant(grant *admitter.Grant) {
	grant.Done(admitter.Result{Ended: time.Now(), Outcome: router.OutcomeCancelled})
	grant.MarkNotSent()
}

// end ends the pass, if there is one.
func (g *guard) end() {
	if g.pass != nil {
		g.pass.End()
	}
}

// checkCrash reports whether the upstream has crashed before the end of its answer. One that
// is leaving may have stopped.
func (g *guard) checkCrash(ctx context.Context, choice router.Choice, stage quarantiner.Stage, events int) bool {
	broken := quarantiner.Break{
		Upstream: choice.Incarnation, Address: choice.Address, Stage: stage, Events: events, Repeated: g.sends.Repeated(),
	}
	if g.Upstreams.Leaving(choice) || !g.pass.Broken(ctx, broken) {
		return false
	}
	g.sends.Crash(stage)
	return true
}
