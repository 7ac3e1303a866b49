package forwarder

import (
	"context"

	"burdocklink/quarantiner"
)

// awaitPass waits until the request may be sent to an upstream that it might crash.
func (x *exchange) awaitPass(ctx context.Context) error {
	x.endPass()
	pass, err := x.Quarantine.Admit(ctx, x.subject, x.usefulUntil())
	if err != nil {
		return err
	}
	x.pass = pass
	return nil
}

func (x *exchange) endPass() {
	if x.pass != nil {
		x.pass.End()
	}
}

// fingerprint identifies requests that repeat this one, which come under other request IDs
// and at any entry.
func (x *exchange) fingerprint() string {
	return quarantiner.Fingerprint([]byte(x.r.Method), []byte(x.r.Host), []byte(x.r.RequestURI), []byte(x.request.Caller), x.body)
}

// sharedParts returns the IDs of the prompt's parts within the service. The last part
// belongs to the request alone.
func (x *exchange) sharedParts() []string {
	parts := x.request.Parts
	shared := make([]string, 0, len(parts))
	for i := range len(parts) - 1 {
		shared = append(shared, x.service+"/"+parts[i].ID)
	}
	return shared
}

// checkCrash reports whether the upstream has crashed before the end of its answer. One that
// is leaving may have stopped, and a request whose caller has left shows nothing.
func (x *exchange) checkCrash(ctx context.Context, stage quarantiner.Stage) bool {
	if ctx.Err() != nil {
		return false
	}
	choice := x.grant.Choice
	broken := quarantiner.Break{
		Upstream: choice.Incarnation, Address: choice.Address, Stage: stage, Events: x.arrivedEvents,
		Repeated: x.crashes.Repeated(),
	}
	if x.Upstreams.Leaving(choice) || !x.pass.Broken(ctx, broken) {
		return false
	}
	x.crashes.Crash(stage)
	return true
}
