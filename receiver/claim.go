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
	// openTime is how long a claim may take to be confirmed.
	openTime = 5 * time.Second
	// finishTime is how long a caller waits until its answer is kept.
	finishTime = 10 * time.Second
	// recordTime is how long it waits for other records.
	recordTime = 2 * time.Second
	// claimTry is the longest wait for one answer of the claim service.
	claimTry = 2 * time.Second
	// claimPause is the first wait between two tries.
	claimPause    = 20 * time.Millisecond
	claimPauseMax = 500 * time.Millisecond
	// settleFor is how long an unconfirmed record is repeated.
	settleFor = 10 * time.Minute
)

// claim is one attempt at a request that must not run twice.
type claim struct {
	*exchange
	key    claimer.Key
	digest [32]byte
	// id is the attempt's. Nothing is dispatched under it but by this claim.
	id     string
	issued time.Time
	// openUntil is the latest deadline that was asked for.
	openUntil time.Time
}

// run opens the claim and does what its state asks for.
func (c *claim) run(asked work) error {
	giveUp := c.arrived.Add(c.Settings.PendingTime)
	pause := claimPause
	for {
		result, err := c.open()
		if err != nil {
			c.abandon()
			return &ClaimsUnreachableError{Cause: err}
		}
		pending, ok := result.(claimer.Pending)
		if !ok {
			return c.act(result, asked)
		}
		if time.Now().Add(pause).After(giveUp) {
			return &InProgressError{Retry: pending.Deadline}
		}
		if sleep(c.ctx, pause) != nil {
			return &InProgressError{Retry: pending.Deadline}
		}
		pause = min(2*pause, claimPauseMax)
	}
}

// open asks for the claim until the answer is known.
func (c *claim) open() (claimer.Result, error) {
	now := time.Now()
	c.openUntil = now.Add(c.Settings.ClaimTime)
	event := claimer.Open{
		Key:      c.key,
		Digest:   c.digest,
		Attempt:  c.id,
		Entry:    c.Settings.Entry,
		Deadline: c.openUntil,
		Issued:   c.issued,
	}
	return c.ask(event, now.Add(openTime))
}

// ask repeats an event until it is answered or the time is over.
func (c *claim) ask(event claimer.Event, until time.Time) (claimer.Result, error) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(c.ctx), until)
	defer cancel()
	pause := claimPause
	for {
		result, err := c.askOnce(ctx, event)
		if err == nil {
			return result, nil
		}
		if sleep(ctx, pause) != nil {
			return nil, err
		}
		pause = min(2*pause, claimPauseMax)
	}
}

func (c *claim) askOnce(ctx context.Context, event claimer.Event) (claimer.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTry)
	defer cancel()
	return c.Claims.Claim(ctx, event)
}

// act follows the state of a claim that is not pending.
func (c *claim) act(result claimer.Result, asked work) error {
	switch result := result.(type) {
	case claimer.Granted:
		return c.dispatch(asked, result.Deadline)
	case claimer.Answered:
		return c.repeat(result.Answer)
	case claimer.Mismatch:
		return &KeyMismatchError{}
	case claimer.AnswerDropped:
		return &AnswerDroppedError{}
	case claimer.TooOld:
		return &TooOldError{Horizon: result.Horizon}
	case claimer.Full:
		return &ClaimsFullError{Retry: result.Retry}
	case claimer.Overdue:
		return &DeadlinePassedError{}
	case claimer.Invalid:
		return &MalformedHeaderError{Name: encoder.HeaderIdempotencyKey, Needs: "another value: " + result.Reason}
	default:
		return &OutcomeUnknownError{}
	}
}

// dispatch runs the work once and records what became of it before the caller
// is told.
func (c *claim) dispatch(asked work, by time.Time) error {
	upstream, answer, err := c.dispatchOnce(asked, by)
	if err == nil {
		finish := claimer.Finish{Key: c.key, Attempt: c.id, Answer: c.storable(answer)}
		c.record(finish, time.Now().Add(finishTime))
		c.abandonIfGone()
		return c.passAnswer(upstream, answer)
	}
	if is[*OutcomeUnknownError](err) {
		c.record(claimer.MarkUnknown{Key: c.key, Attempt: c.id}, time.Now().Add(recordTime))
		return err
	}
	c.record(claimer.Release{Key: c.key, Attempt: c.id}, time.Now().Add(recordTime))
	return err
}

// record commits an event, in the background after the time given.
func (c *claim) record(event claimer.Event, until time.Time) {
	if _, err := c.ask(event, until); err == nil {
		return
	}
	c.later(event)
}

// abandon gives an attempt up that may have been opened or may still be. It is
// repeated until no opening can be granted any more, so that a resend works.
func (c *claim) abandon() {
	c.settler.add(unsettled{
		event:     claimer.Release{Key: c.key, Attempt: c.id},
		requestID: c.id,
		until:     c.openUntil,
		overtakes: true,
	})
}

// later records an event in the background.
func (c *claim) later(event claimer.Event) {
	c.settler.add(unsettled{event: event, requestID: c.id, until: time.Now().Add(settleFor)})
}

// storable returns the answer as it is kept for resends.
func (c *claim) storable(answer dispatcher.Answer) claimer.Answer {
	if len(answer.Body) > c.Settings.StoredBytes {
		return claimer.Answer{Status: http.StatusGone}
	}
	header := http.Header{}
	copyHeader(header, answer.Header)
	header.Del("Date")
	return claimer.Answer{Status: answer.Status, Header: header, Body: answer.Body}
}

// repeat gives the kept answer to a resend.
func (c *claim) repeat(kept claimer.Answer) error {
	if kept.Status == http.StatusGone && kept.Header == nil && len(kept.Body) == 0 {
		return &AnswerDroppedError{}
	}
	copyHeader(c.w.Header(), kept.Header)
	return c.write(kept.Status, encoder.OutcomeRan, kept.Body)
}
