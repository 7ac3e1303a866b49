package receiver

import (
	"context"
	"crypto/sha256"
	"errors"
	"strconv"
	"time"

	"burdocklink/admitter"
	"burdocklink/claimer"
	"burdocklink/dispatcher"
	"burdocklink/encoder"
	"burdocklink/linker"
	"burdocklink/quarantiner"
	"burdocklink/reporter"
	"burdocklink/router"
)

const (
	// maxKeyBytes is the length of the longest idempotency key.
	maxKeyBytes = 200
	// maxDispatchTries is how many upstreams are tried while each refuses the request
	// without running it.
	maxDispatchTries = 4
	// finishMargin is the part of a claim's lifetime that is reserved for recording
	// the answer.
	finishMargin = 2 * time.Second
)

// runOnce runs a non-idempotent request. Once dispatched, the request continues even
// if the caller disconnects.
func (x *exchange) runOnce(request unaryRequest) error {
	name := x.r.Header.Get(encoder.HeaderIdempotencyKey)
	if name == "" {
		deadline := x.arrived.Add(x.Settings.ClaimTimeout)
		upstream, answer, err := x.dispatchOnce(request, deadline)
		if err != nil {
			return err
		}
		return x.passAnswer(upstream, answer)
	}
	if !isValidKey(name) {
		return &MalformedHeaderError{
			Name:     encoder.HeaderIdempotencyKey,
			Expected: "1 to " + strconv.Itoa(maxKeyBytes) + " printable characters",
		}
	}
	issued, err := x.headerTime(encoder.HeaderIssued)
	if err != nil {
		return err
	}
	attempt := &claim{
		exchange: x,
		key:      claimer.Key{Subscriber: x.identity.Name, Name: name},
		digest:   digest(request),
		id:       x.newAttemptID(),
		issued:   issued,
	}
	return attempt.run(request)
}

// dispatchOnce sends a request to one upstream, and to another one only if the
// previous one certainly did not run it. The error is an *OutcomeUnknownError if the
// request may have run; after any other error it has not run.
func (x *exchange) dispatchOnce(request unaryRequest, deadline time.Time) (string, dispatcher.Answer, error) {
	guard := x.newGuard(request.body, nil)
	defer guard.end()
	grant, err := guard.acquire(request.route)
	if err != nil {
		return "", dispatcher.Answer{}, linker.CauseOf(x.ctx, err)
	}
	for tries := 1; ; tries++ {
		answer, err := guard.tryOnce(request, grant, deadline)
		if err == nil || is[*OutcomeUnknownError](err) {
			return grant.Choice.Upstream, answer, err
		}
		if tries >= maxDispatchTries || x.ctx.Err() != nil {
			return "", dispatcher.Answer{}, err
		}
		next, failure := guard.reacquire(grant)
		if is[*router.PausedError](failure) || is[*router.RateLimitedError](failure) {
			return "", dispatcher.Answer{}, failure
		}
		if failure != nil {
			return "", dispatcher.Answer{}, err
		}
		grant = next
	}
}

// tryOnce dispatches the request to the upstream of the grant.
func (g *guard) tryOnce(request unaryRequest, grant *admitter.Grant, deadline time.Time) (dispatcher.Answer, error) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(g.ctx), deadline.Add(-finishMargin))
	defer cancel()
	if ctx.Err() != nil || g.ctx.Err() != nil {
		grant.Done(admitter.Result{Ended: time.Now(), Outcome: dispatchOutcome(dispatcher.Answer{}, ctx.Err())})
		return dispatcher.Answer{}, linker.CauseOf(g.ctx, &DeadlinePassedError{})
	}
	answer, err := g.Dispatcher.Once(ctx, g.call(request, grant))
	grant.Done(admitter.Result{Ended: time.Now(), Outcome: dispatchOutcome(answer, err)})
	g.acquit(answer, err)
	if err != nil && !is[*dispatcher.NotSentError](err) && ctx.Err() == nil {
		g.checkCrash(ctx, grant.Choice, quarantiner.StageWaiting, 0)
	}
	var notSent *dispatcher.NotSentError
	switch {
	case errors.As(err, &notSent):
		return dispatcher.Answer{}, err
	case err != nil:
		g.mayHaveRun = true
		return dispatcher.Answer{}, &OutcomeUnknownError{Cause: err}
	case reportsNotRun(answer):
		return dispatcher.Answer{}, &UpstreamRefusedError{Status: answer.Status}
	case isUnavailable(answer.Status):
		g.mayHaveRun = true
		return answer, &OutcomeUnknownError{Cause: &UpstreamStatusError{Status: answer.Status}}
	default:
		g.mayHaveRun = true
		return answer, nil
	}
}

// isValidKey reports whether a key has only printable ASCII characters and at most
// maxKeyBytes.
func isValidKey(name string) bool {
	if len(name) > maxKeyBytes {
		return false
	}
	for _, char := range []byte(name) {
		if char < ' ' || char > '~' {
			return false
		}
	}
	return true
}

// digest returns a hash of the service, method, path and body, by which a resend is
// recognised as the same request.
func digest(request unaryRequest) [sha256.Size]byte {
	hash := sha256.New()
	for _, part := range []string{request.route.Service, request.method, request.path} {
		hash.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	hash.Write(request.body)
	return [sha256.Size]byte(hash.Sum(nil))
}

// markAbandonedIfCallerGone sets the result of a request that ran after its caller
// had disconnected.
func (x *exchange) markAbandonedIfCallerGone() {
	if x.r.Context().Err() != nil {
		x.result = reporter.ResultAbandoned
	}
}
