package forwarder

import (
	"context"
	"errors"
	"net/http"
	"time"

	"burdocklink/dispatcher"
	"burdocklink/matcher"
	"burdocklink/quarantiner"
	"burdocklink/router"
)

// send makes one attempt at the upstream that was granted.
func (x *exchange) send(ctx context.Context) error {
	x.attempts.sends++
	x.disallowed, x.headerArrived, x.arrivedEvents = false, false, 0
	x.crashes.Begin()
	x.grant.Started = time.Now()
	choice := x.grant.Choice
	path := x.r.RequestURI
	sentAt := x.grant.Started
	x.rateLimit = x.Upstreams.Limit(choice)
	if err := x.identify(ctx, choice); err != nil {
		return x.handleSendError(ctx, err)
	}
	response, err := x.Calls.Send(ctx, dispatcher.Call{
		Address:    choice.Address,
		Method:     x.r.Method,
		Path:       path,
		Host:       x.r.Host,
		Header:     x.Codec.EncodeRequest(x.r.Header, x.upstreamRequest(choice)),
		Body:       x.body,
		ID:         x.request.ID,
		OwnsAnswer: func(header http.Header) bool { return x.Codec.OwnsAnswer(x.request.ID, header) },
		Refuses:    x.refuses,
		Allowed:    func() bool { return x.Upstreams.Allows(choice) && x.pass.Valid() },
	})
	if err != nil {
		return x.handleSendError(ctx, err)
	}
	x.headerArrived = true
	info := x.Codec.DecodeAnswer(response, time.Now())
	x.Upstreams.ObserveNotice(choice, info.Notice, info.UnreadablePause)
	if info.Limit.Announced || !info.Misdirected {
		// the lack of a limit in the answer of another upstream says nothing about this one
		x.Upstreams.ObserveLimit(choice, sentAt, info.Limit, info.UnreadableLimit)
	}
	if info.Notice.Leaving {
		// don't reuse the connection
		response.Close = true
	}
	if info.NotRun {
		return x.handleNotRun(response, info)
	}
	x.attempts.runs++
	if x.route.Kind == matcher.Streaming && response.StatusCode == http.StatusOK {
		return x.forwardStream(ctx, response, info)
	}
	return x.forwardWhole(ctx, response, info)
}

// refuses reports whether an answer states that the request was not run, and whether it
// names the request.
func (x *exchange) refuses(response *http.Response) (refused, named bool) {
	info := x.Codec.DecodeAnswer(response, time.Now())
	return info.NotRun, info.RequestID != ""
}

func (x *exchange) upstreamRequest(choice router.Choice) UpstreamRequest {
	request := UpstreamRequest{
		Now:       time.Now(),
		Deadline:  x.deadline,
		Upstream:  choice.Upstream,
		Rank:      min(max(0, x.rank()), lowestRank),
		Ranked:    x.route.Kind == matcher.Streaming,
		LastEvent: x.request.LastEvent,

		HidesKey: x.hidesKey, Organisation: x.subscriber(),
	}
	if x.lastEventID > 0 {
		request.LastEvent = formatID(x.lastEventID)
	}
	return request
}

// lowestRank is the least urgent rank of the engines' protocol.
const lowestRank = 9

// handleSendError settles the grant of an attempt without an answer.
func (x *exchange) handleSendError(ctx context.Context, err error) error {
	var notSent *dispatcher.NotSentError
	if errors.As(err, &notSent) {
		outcome := router.OutcomeUnreachable
		x.disallowed = is[*dispatcher.DisallowedError](err)
		if x.disallowed {
			outcome = router.OutcomeCancelled
		}
		x.settle(outcome)
		x.grant.MarkNotSent()
		return &NotRunError{RetryAt: time.Now().Add(shortRetryDelay)}
	}
	x.attempts.runs++
	x.settle(router.OutcomeFailed)
	x.checkCrash(ctx, quarantiner.StageWaiting)
	return &LostError{Cause: err}
}

// handleNotRun settles the grant of an attempt that the upstream did not run.
func (x *exchange) handleNotRun(response *http.Response, info AnswerInfo) error {
	dispatcher.Discard(response)
	if info.Misdirected {
		x.Calls.CloseIdle(x.grant.Choice.Address)
	}
	x.settle(router.OutcomeRefused)
	return &NotRunError{RetryAt: time.Now().Add(shortRetryDelay)}
}
