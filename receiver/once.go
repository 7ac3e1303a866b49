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
	"burdocklink/reporter"
	"burdocklink/router"
)

const (
	// keyBytes is the longest idempotency key.
	keyBytes = 200
	// dispatchTries is how many upstreams may refuse a request unrun.
	dispatchTries = 4
	// finishMargin is kept of a claim's life for recording its answer.
	finishMargin = 2 * time.Second
)

// once runs a work that must not run twice. From the dispatch on it goes on
// without its caller.
func (x *exchange) once(asked work) error {
	name := x.r.Header.Get(encoder.HeaderIdempotencyKey)
	if name == "" {
		by := x.arrived.Add(x.Settings.ClaimTime)
		upstream, answer, err := x.dispatchOnce(asked, by)
		if err != nil {
			return err
		}
		return x.passAnswer(upstream, answer)
	}
	if !isKey(name) {
		return &MalformedHeaderError{
			Name:  encoder.HeaderIdempotencyKey,
			Needs: "1 to " + strconv.Itoa(keyBytes) + " printable characters",
		}
	}
	issued, err := x.headerTime(encoder.HeaderIssued)
	if err != nil {
		return err
	}
	held := &claim{
		exchange: x,
		key:      claimer.Key{Subscriber: x.identity.Name, Name: name},
		digest:   digest(asked),
		id:       x.attempt(),
		issued:   issued,
	}
	return held.run(asked)
}

// dispatchOnce sends a work to one upstream. It goes to another only where the
// one before provably did not run it. The error is an *OutcomeUnknownError
// where the work may have run; with any other it did not.
func (x *exchange) dispatchOnce(asked work, by time.Time) (string, dispatcher.Answer, error) {
	grant, err := x.Admitter.Acquire(x.ctx, x.admission(asked.route))
	if err != nil {
		return "", dispatcher.Answer{}, linker.CauseOf(x.ctx, err)
	}
	for tries := 1; ; tries++ {
		answer, err := x.tryOnce(asked, grant, by)
		if err == nil || is[*OutcomeUnknownError](err) {
			return grant.Choice.Upstream, answer, err
		}
		if tries >= dispatchTries || x.ctx.Err() != nil {
			return "", dispatcher.Answer{}, err
		}
		next, failure := x.Admitter.Reacquire(x.ctx, grant)
		if is[*router.PausedError](failure) || is[*router.RateLimitedError](failure) {
			return "", dispatcher.Answer{}, failure
		}
		if failure != nil {
			return "", dispatcher.Answer{}, err
		}
		grant = next
	}
}

// tryOnce makes the single dispatch.
func (x *exchange) tryOnce(asked work, grant *admitter.Grant, by time.Time) (dispatcher.Answer, error) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(x.ctx), by.Add(-finishMargin))
	defer cancel()
	if ctx.Err() != nil || x.ctx.Err() != nil {
		grant.Done(admitter.Result{Ended: time.Now(), Outcome: wholeOutcome(dispatcher.Answer{}, ctx.Err())})
		return dispatcher.Answer{}, linker.CauseOf(x.ctx, &DeadlinePassedError{})
	}
	answer, err := x.Calls.Once(ctx, x.call(asked, grant))
	grant.Done(admitter.Result{Ended: time.Now(), Outcome: wholeOutcome(answer, err)})
	var unsent *dispatcher.NotSentError
	switch {
	case errors.As(err, &unsent):
		return dispatcher.Answer{}, err
	case err != nil:
		x.sent = true
		return dispatcher.Answer{}, &OutcomeUnknownError{Cause: err}
	case promisesNotRun(answer):
		return dispatcher.Answer{}, &RefusedError{Status: answer.Status}
	case isUnavailable(answer.Status):
		x.sent = true
		return answer, &OutcomeUnknownError{Cause: &UpstreamStatusError{Status: answer.Status}}
	default:
		x.sent = true
		return answer, nil
	}
}

// isKey returns true for keys of printable characters within the bound.
func isKey(name string) bool {
	if len(name) > keyBytes {
		return false
	}
	for _, char := range []byte(name) {
		if char < ' ' || char > '~' {
			return false
		}
	}
	return true
}

// digest covers all that makes two requests the same.
func digest(asked work) [sha256.Size]byte {
	hash := sha256.New()
	for _, part := range []string{asked.route.Service, asked.method, asked.path} {
		hash.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	hash.Write(asked.body)
	return [sha256.Size]byte(hash.Sum(nil))
}

// abandonIfGone notes that a caller left although its request ran.
func (x *exchange) abandonIfGone() {
	if x.r.Context().Err() != nil {
		x.result = reporter.ResultAbandoned
	}
}
