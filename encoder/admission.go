package encoder

import (
	"errors"
	"math"
	"time"

	"burdocklink/admitter"
	"burdocklink/chooser"
	"burdocklink/classifier"
	"burdocklink/encoder/wire"
	"burdocklink/router"
)

// Limits on the values accepted from another entry.
const (
	// maxTokens applies to the prompt and to the answer.
	maxTokens = 1 << 24
	// maxPrefixes is the number of prompt prefixes that are decoded.
	maxPrefixes = 64
	// maxAvoided is the number of upstreams to avoid that are decoded.
	maxAvoided = 64
)

// EncodeAdmission encodes a request for admission by another entry. Times are
// encoded relative to now, in microseconds.
func EncodeAdmission(request *admitter.Request, retry, paid bool, now time.Time) *wire.AdmitMessage {
	route := &request.Route
	message := &wire.AdmitRequest{
		Subscriber: request.Subscriber,
		Weight:     request.Weight,
		Class: &wire.AdmitClass{
			Name: request.Class.Name, RepeatForbidden: request.Class.RepeatForbidden,
			FirstToken:    request.Class.Target.FirstToken.Microseconds(),
			BetweenTokens: request.Class.Target.BetweenTokens.Microseconds(),
			Whole:         request.Class.Target.Whole.Microseconds(),
		},
		ArrivedAgo: now.Sub(request.Arrived).Microseconds(),
		DeadlineIn: microsecondsUntil(request.Deadline, now),
		UsefulIn:   microsecondsUntil(request.UsefulUntil, now),
		Service:    route.Service, Holds: route.Model, Base: route.BaseModel,
		PromptTokens:     uint32(max(0, route.PromptTokens)),
		AnswerTokens:     uint32(max(0, route.AnswerTokens)),
		AvailabilityZone: route.AvailabilityZone,
		Avoid:            route.Avoid, Seed: route.Seed,
		Retry: retry, Paid: paid, Counted: request.Counted,
		Rank: uint32(max(0, request.Rank)),

		OriginSoftware: route.Origin.Software, OriginIncarnation: route.Origin.Incarnation,
	}
	for _, part := range route.Prefixes {
		message.Parts = append(message.Parts, &wire.PromptPart{Hash: part.Hash, Tokens: uint32(max(0, part.Tokens))})
	}
	return &wire.AdmitMessage{Message: &wire.AdmitMessage_Request{Request: message}}
}

// DecodeAdmission decodes a request for admission that was received now.
func DecodeAdmission(message *wire.AdmitRequest, now time.Time) admitter.Request {
	class := message.GetClass()
	request := admitter.Request{
		Subscriber: message.GetSubscriber(),
		Weight:     clampUnits(message.GetWeight()),
		Class: classifier.Class{
			Name: class.GetName(), RepeatForbidden: class.GetRepeatForbidden(),
			Target: classifier.Target{
				FirstToken:    clampMicroseconds(class.GetFirstToken()),
				BetweenTokens: clampMicroseconds(class.GetBetweenTokens()),
				Whole:         clampMicroseconds(class.GetWhole()),
			},
		},
		Arrived: now.Add(-clampMicroseconds(message.GetArrivedAgo())),
		Counted: message.GetCounted(),
		Rank:    int(min(message.GetRank(), math.MaxInt16)),
		Route: router.Request{
			Service: message.GetService(), Model: message.GetHolds(), BaseModel: message.GetBase(),
			PromptTokens:     int(min(message.GetPromptTokens(), maxTokens)),
			AnswerTokens:     int(min(message.GetAnswerTokens(), maxTokens)),
			AvailabilityZone: message.GetAvailabilityZone(),
			Seed:             message.GetSeed(),
			Origin:           router.Origin{Software: message.GetOriginSoftware(), Incarnation: message.GetOriginIncarnation()},
		},
	}
	if message != nil {
		request.Deadline = timeAfter(message.DeadlineIn, now)
		request.UsefulUntil = timeAfter(message.UsefulIn, now)
	}
	avoid := message.GetAvoid()
	request.Route.Avoid = avoid[:min(len(avoid), maxAvoided)]
	parts := message.GetParts()
	for _, part := range parts[:min(len(parts), maxPrefixes)] {
		tokens := int(min(part.GetTokens(), maxTokens))
		request.Route.Prefixes = append(request.Route.Prefixes, router.Prefix{Hash: part.GetHash(), Tokens: tokens})
	}
	return request
}

// EncodeGrant encodes the grant of a request that was received from another
// entry at receivedAt.
func EncodeGrant(grant *admitter.Grant, receivedAt, now time.Time) *wire.AdmitReply {
	choice := grant.Choice
	message := &wire.AdmitGrant{
		Upstream: choice.Upstream, Incarnation: choice.Incarnation, Address: choice.Address,
		CachedTokens: uint32(max(0, choice.CachedTokens)),
		PredictedIn:  choice.PredictedFirstToken.Sub(now).Microseconds(),
		PermitIn:     microsecondsUntil(choice.PermitExpiresAt, receivedAt),
		Paid:         grant.RetryCovered(),
		Software:     choice.Software,
	}
	return &wire.AdmitReply{Reply: &wire.AdmitReply_Grant{Grant: message}}
}

// DecodeGrant decodes the grant of a request that was sent at sentAt. The permit's
// lifetime counts from sentAt, the earliest time at which the other entry can have
// received the request.
func DecodeGrant(message *wire.AdmitGrant, sentAt, now time.Time) router.Choice {
	choice := router.Choice{
		Upstream: message.GetUpstream(), Incarnation: message.GetIncarnation(), Address: message.GetAddress(),
		Software:            message.GetSoftware(),
		CachedTokens:        int(min(message.GetCachedTokens(), maxTokens)),
		PredictedFirstToken: now.Add(clampMicroseconds(message.GetPredictedIn())),
	}
	if message != nil {
		choice.PermitExpiresAt = timeAfter(message.PermitIn, sentAt)
	}
	return choice
}

// EncodeResult encodes the result of a granted request. first is the time of the
// first token, zero if there was none.
func EncodeResult(first time.Time, result admitter.Result) *wire.AdmitMessage {
	message := &wire.AdmitResult{Outcome: uint32(result.Outcome), Tokens: uint32(max(0, result.Tokens))}
	if !first.IsZero() {
		ago := result.Ended.Sub(first).Microseconds()
		message.FirstTokenAgo = &ago
	}
	return &wire.AdmitMessage{Message: &wire.AdmitMessage_Result{Result: message}}
}

// DecodeResult decodes the result of a granted request. It returns the time of the
// first token, zero if there was none, and the result.
func DecodeResult(message *wire.AdmitResult, now time.Time) (time.Time, admitter.Result) {
	result := admitter.Result{
		Ended: now, Outcome: router.Outcome(message.GetOutcome()),
		Tokens: int(min(message.GetTokens(), maxTokens)),
	}
	if message == nil || result.Outcome < router.OutcomeFinished || result.Outcome > router.OutcomeCancelled {
		result.Outcome = router.OutcomeCancelled
	}
	if message == nil || message.FirstTokenAgo == nil {
		return time.Time{}, result
	}
	return now.Add(-clampMicroseconds(message.GetFirstTokenAgo())), result
}

// EncodeRefusal encodes the reason for which another entry's request is not
// admitted.
func EncodeRefusal(err error, now time.Time) *wire.AdmitReply {
	reason, retryAt := refusalReason(err)
	message := &wire.AdmitRefusal{Reason: reason, RetryIn: max(0, retryAt.Sub(now).Microseconds())}
	return &wire.AdmitReply{Reply: &wire.AdmitReply_Refusal{Refusal: message}}
}

// refusalReason returns the reason for a refusal and the time at which a retry may
// succeed, zero if unknown.
func refusalReason(err error) (wire.AdmitRefusal_Reason, time.Time) {
	var targetMissed *admitter.TargetMissedError
	var overloaded *admitter.OverloadError
	var noUpstream *router.NoUpstreamError
	var paused *router.PausedError
	var rateLimited *router.RateLimitedError
	var retryBudget *admitter.RetryBudgetError
	var absent *chooser.AbsentError
	var stopped *admitter.StoppedError
	var originGone *router.OriginGoneError
	switch {
	case errors.As(err, &originGone):
		return wire.AdmitRefusal_ORIGIN_GONE, time.Time{}
	case errors.As(err, &targetMissed):
		return wire.AdmitRefusal_HOPELESS, targetMissed.RetryAt
	case errors.As(err, &overloaded):
		return wire.AdmitRefusal_OVERLOAD, overloaded.RetryAt
	case errors.As(err, &noUpstream):
		return wire.AdmitRefusal_NO_UPSTREAM, noUpstream.RetryAt
	case errors.As(err, &paused):
		return wire.AdmitRefusal_PAUSED, paused.RetryAt
	case errors.As(err, &rateLimited):
		return wire.AdmitRefusal_RATIONED, rateLimited.RetryAt
	case errors.As(err, &retryBudget):
		return wire.AdmitRefusal_BUDGET, time.Time{}
	case errors.As(err, &absent):
		return wire.AdmitRefusal_ABSENT, absent.RetryAt
	case errors.As(err, &stopped):
		return wire.AdmitRefusal_STOPPED, time.Time{}
	default:
		return wire.AdmitRefusal_UNKNOWN, time.Time{}
	}
}

// DecodeRefusal returns the error for the reason for which a request was not
// admitted. Reasons without a specific error decode to *admitter.OverloadError.
func DecodeRefusal(message *wire.AdmitRefusal, request *admitter.Request, now time.Time) error {
	retryAt := now.Add(clampMicroseconds(message.GetRetryIn()))
	route := &request.Route
	switch message.GetReason() {
	case wire.AdmitRefusal_HOPELESS:
		return &admitter.TargetMissedError{RetryAt: retryAt}
	case wire.AdmitRefusal_NO_UPSTREAM:
		return &router.NoUpstreamError{Service: route.Service, Model: route.Model, RetryAt: retryAt}
	case wire.AdmitRefusal_PAUSED:
		return &router.PausedError{Service: route.Service, Model: route.Model, RetryAt: retryAt}
	case wire.AdmitRefusal_RATIONED:
		return &router.RateLimitedError{Service: route.Service, Model: route.Model, RetryAt: retryAt}
	case wire.AdmitRefusal_ORIGIN_GONE:
		return &router.OriginGoneError{Service: route.Service, Origin: route.Origin}
	case wire.AdmitRefusal_BUDGET:
		return &admitter.RetryBudgetError{}
	case wire.AdmitRefusal_ABSENT:
		return &chooser.AbsentError{Model: route.Model, RetryAt: retryAt}
	default:
		return &admitter.OverloadError{RetryAt: retryAt}
	}
}

// microsecondsUntil returns the time from now to at, nil for the zero time.
func microsecondsUntil(at, now time.Time) *int64 {
	if at.IsZero() {
		return nil
	}
	remaining := at.Sub(now).Microseconds()
	return &remaining
}

// timeAfter is the inverse of microsecondsUntil.
func timeAfter(remaining *int64, now time.Time) time.Time {
	if remaining == nil {
		return time.Time{}
	}
	return now.Add(clampMicroseconds(*remaining))
}

// clampMicroseconds returns a duration received from another process, limited to
// maxSpanMs.
func clampMicroseconds(count int64) time.Duration {
	return time.Duration(min(max(0, count), maxSpanMs*1000)) * time.Microsecond
}
