package receiver

import (
	"context"
	"net/http"
	"time"

	"burdocklink/claimer"
	"burdocklink/dispatcher"
	"burdocklink/encoder"
)

// times of the talk with the claim service.
const (
	// openTimeout is how long a claim may take to be confirmed.
	openTimeout = 5 * time.Second
	// finishTimeout is how long a caller waits until its answer is kept.
	finishTimeout = 10 * time.Second
	// recordTimeout is how long it waits for other records.
	recordTimeout = 2 * time.Second
	// claimTryTimeout is the longest wait for one answer of the claim service.
	claimTryTimeout = 2 * time.Second
	// claimBackoff is the first wait between two tries.
	claimBackoff    = 20 * time.Millisecond
	maxClaimBackoff = 500 * time.Millisecond
	// backgroundRecordPeriod is how long an unconfirmed record is repeated.
	backgroundRecordPeriod = 10 * time.Minute
)

// claim is one attempt at a request that must not run twice.
type claim struct {
	*exchange
	key    claimer.Key
	digest [32]byte
	// id is the attempt's. Nothing is dispatched under it but by this claim.
	id     string
	issued time.Time
	// openDeadline is the latest deadline that was asked for.
	openDeadline time.Time
}

// run opens the claim and does what its state asks for.
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

// open asks for the claim until the answer is known.
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

// send repeats an event until it is answered or the time is over.
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

// handleResult follows the state of a claim that is not pending.
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

// dispatch runs the work once and records what became of it before the caller
// is told.
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

// record commits an event, in the background after the time given.
func (c *claim) record(event claimer.Event, deadline time.Time) {
	if _, err := c.send(event, deadline); err == nil {
		return
	}
	c.recordLater(event)
}

// abandon gives an attempt up that may have been opened or may still be. It is
// repeated until no opening can be granted any more, so that a resend works.
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

// storable returns the answer as it is kept for resends.
func (c *claim) storable(answer dispatcher.Answer) claimer.Answer {
	if len(answer.Body) > c.Settings.MaxStoredBytes {
		return claimer.Answer{Status: http.StatusGone}
	}
	header := http.Header{}
	copyHeader(header, answer.Header)
	header.Del("Date")
	return claimer.Answer{Status: answer.Status, Header: header, Body: answer.Body}
}

// replay gives the kept answer to a resend.
func (c *claim) replay(stored claimer.Answer) error {
	if stored.Status == http.StatusGone && stored.Header == nil && len(stored.Body) == 0 {
		return &AnswerDroppedError{}
	}
	copyHeader(c.w.Header(), stored.Header)
	return c.write(stored.Status, encoder.OutcomeRan, stored.Body)
}
