package receiver

import (
	"context"
	"net/http"
	"time"

	"burdocklink/claimer"
	"burdocklink/dispatcher"
	"burdocklink/encoder"
)

// Timeouts and backoff of calls to the claim service.
const (
	// openTimeout bounds the time until an opened claim is confirmed.
	openTimeout = 5 * time.Second
	// finishTimeout is how long a caller waits for its answer to be stored.
	finishTimeout = 10 * time.Second
	// recordTimeout is how long a caller waits for other outcomes to be recorded.
	recordTimeout = 2 * time.Second
	// claimTryTimeout bounds the wait for one answer of the claim service.
	claimTryTimeout = 2 * time.Second
	// claimBackoff is the wait before the first retry.
	claimBackoff    = 20 * time.Millisecond
	maxClaimBackoff = 500 * time.Millisecond
	// backgroundRecordPeriod is how long an unconfirmed event is retried.
	backgroundRecordPeriod = 10 * time.Minute
)

// claim is one attempt to run a non-idempotent request.
type claim struct {
	*exchange
	key    claimer.Key
	digest [32]byte
	// id is the ID of the attempt. No other claim dispatches anything under it.
	id     string
	issued time.Time
	// openDeadline is the claim deadline in the latest Open.
	openDeadline time.Time
}

// run opens the claim, waits while another attempt holds it, and acts on the result.
func (c *claim) run(request unaryRequest) error {
	waitDeadline := c.arrived.Add(c.Settings.PendingTimeout)
	backoff := claimBackoff
	for {
		result, err := c.open()
		if err != nil {
			c.abandon()
			return &ClaimsUnreachableError{Cause: err}
		}
		pending, ok := result.(claimer.Pending)
		if !ok {
			return c.handleResult(result, request)
		}
		if time.Now().Add(backoff).After(waitDeadline) {
			return &InProgressError{RetryAt: pending.Deadline}
		}
		if sleep(c.ctx, backoff) != nil {
			return &InProgressError{RetryAt: pending.Deadline}
		}
		backoff = min(2*backoff, maxClaimBackoff)
	}
}

// open sends an Open until it is answered.
func (c *claim) open() (claimer.Result, error) {
	now := time.Now()
	c.openDeadline = now.Add(c.Settings.ClaimTimeout)
	event := claimer.Open{
		Key:      c.key,
		Digest:   c.digest,
		Attempt:  c.id,
		Entry:    c.Settings.Entry,
		Deadline: c.openDeadline,
		Issued:   c.issued,
	}
	return c.send(event, now.Add(openTimeout))
}

// send repeats an event until it is answered or the deadline has passed. It
// continues even if the caller disconnects.
func (c *claim) send(event claimer.Event, deadline time.Time) (claimer.Result, error) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(c.ctx), deadline)
	defer cancel()
	backoff := claimBackoff
	for {
		result, err := c.trySend(ctx, event)
		if err == nil {
			return result, nil
		}
		if sleep(ctx, backoff) != nil {
			return nil, err
		}
		backoff = min(2*backoff, maxClaimBackoff)
	}
}

func (c *claim) trySend(ctx context.Context, event claimer.Event) (claimer.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTryTimeout)
	defer cancel()
	return c.Claims.Claim(ctx, event)
}

// handleResult acts on the state of a claim that is not pending.
func (c *claim) handleResult(result claimer.Result, request unaryRequest) error {
	switch result := result.(type) {
	case claimer.Granted:
		return c.dispatch(request, result.Deadline)
	case claimer.Answered:
		return c.replay(result.Answer)
	case claimer.Mismatch:
		return &KeyMismatchError{}
	case claimer.AnswerDropped:
		return &AnswerDroppedError{}
	case claimer.TooOld:
		return &TooOldError{Horizon: result.Horizon}
	case claimer.Full:
		return &ClaimsFullError{RetryAt: result.Retry}
	case claimer.Overdue:
		return &DeadlinePassedError{}
	case claimer.Invalid:
		return &MalformedHeaderError{Name: encoder.HeaderIdempotencyKey, Expected: "another value: " + result.Reason}
	default:
		return &OutcomeUnknownError{}
	}
}

// dispatch runs the request once and records its outcome before the caller
// receives the answer.
func (c *claim) dispatch(request unaryRequest, deadline time.Time) error {
	upstream, answer, err := c.dispatchOnce(request, deadline)
	if err == nil {
		finish := claimer.Finish{Key: c.key, Attempt: c.id, Answer: c.storable(answer)}
		c.record(finish, time.Now().Add(finishTimeout))
		c.markAbandonedIfCallerGone()
		return c.passAnswer(upstream, answer)
	}
	if is[*OutcomeUnknownError](err) {
		c.record(claimer.MarkUnknown{Key: c.key, Attempt: c.id}, time.Now().Add(recordTimeout))
		return err
	}
	c.record(claimer.Release{Key: c.key, Attempt: c.id}, time.Now().Add(recordTimeout))
	return err
}

// record commits an event. After the deadline it continues in the background.
func (c *claim) record(event claimer.Event, deadline time.Time) {
	if _, err := c.send(event, deadline); err == nil {
		return
	}
	c.recordLater(event)
}

// abandon releases an attempt whose Open may have been applied or may still be. The
// release is repeated until the Open can no longer be granted, so that a resend can
// run.
func (c *claim) abandon() {
	c.claimRecorder.add(unconfirmedEvent{
		event:          claimer.Release{Key: c.key, Attempt: c.id},
		requestID:      c.id,
		expiresAt:      c.openDeadline,
		mayPrecedeOpen: true,
	})
}

// recordLater records an event in the background.
func (c *claim) recordLater(event claimer.Event) {
	c.claimRecorder.add(unconfirmedEvent{event: event, requestID: c.id, expiresAt: time.Now().Add(backgroundRecordPeriod)})
}

// storable returns the answer in the form that is stored for resends. An answer larger
// than MaxStoredBytes becomes a bare status 410.
func (c *claim) storable(answer dispatcher.Answer) claimer.Answer {
	if len(answer.Body) > c.Settings.MaxStoredBytes {
		return claimer.Answer{Status: http.StatusGone}
	}
	header := http.Header{}
	copyHeader(header, answer.Header)
	header.Del("Date")
	return claimer.Answer{Status: answer.Status, Header: header, Body: answer.Body}
}

// replay answers a resend with the stored answer.
func (c *claim) replay(stored claimer.Answer) error {
	if stored.Status == http.StatusGone && stored.Header == nil && len(stored.Body) == 0 {
		return &AnswerDroppedError{}
	}
	copyHeader(c.w.Header(), stored.Header)
	return c.write(stored.Status, encoder.OutcomeRan, stored.Body)
}
