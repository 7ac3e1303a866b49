package receiver

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"burdocklink/admitter"
	"burdocklink/authenticator"
	"burdocklink/dispatcher"
	"burdocklink/encoder"
	"burdocklink/quarantiner"
	"burdocklink/relayer"
	"burdocklink/reporter"
	"burdocklink/router"
)

// refusal is how a failure is reported to the caller.
type refusal struct {
	status    int
	errorType string
	// outcome is empty if it depends on whether the request may have run.
	outcome string
	retryAt time.Time
}

// Delays after which callers may retry.
const (
	shortRetryDelay = time.Second
	longRetryDelay  = 5 * time.Second
)

// refuse answers a failed request and logs the failure.
func (x *exchange) refuse(err error) {
	if x.result == 0 {
		x.result = reporter.ResultFailed
		if !x.mayHaveRun {
			x.result = reporter.ResultRefused
		}
	}
	var callerGone *callerGoneError
	if errors.As(err, &callerGone) || x.r.Context().Err() != nil {
		x.result = reporter.ResultAbandoned
	}
	reply := refusalFor(err)
	if reply.outcome == "" {
		reply.outcome = encoder.OutcomeNotRun
		if x.mayHaveRun {
			reply.outcome = encoder.OutcomeUnknown
		}
	}
	x.Log.Info("request refused",
		zap.String("request-id", x.id),
		zap.String("type", reply.errorType),
		zap.String("outcome", reply.outcome),
		zap.Error(err),
	)
	if x.headerSent {
		// an answer that has been started must not look complete
		panic(http.ErrAbortHandler)
	}
	x.writeRefusal(reply, err)
}

func (x *exchange) writeRefusal(reply refusal, err error) {
	body, _ := json.Marshal(encoder.ErrorReply{Error: encoder.ErrorDetail{
		Type:       reply.errorType,
		Message:    err.Error(),
		Outcome:    reply.outcome,
		RequestID:  x.id,
		RetryAfter: reply.retryAt,
	}})
	header := x.w.Header()
	header.Set("Content-Type", "application/json")
	if !reply.retryAt.IsZero() {
		seconds := math.Ceil(time.Until(reply.retryAt).Seconds())
		header.Set("Retry-After", strconv.Itoa(max(1, int(seconds))))
	}
	if reply.status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	if reply.status == http.StatusRequestTimeout || reply.status == http.StatusRequestEntityTooLarge || is[*BodyMemoryError](err) {
		header.Set("Connection", "close")
	}
	_ = x.write(reply.status, reply.outcome, body)
}

// refusalFor maps an error to a refusal.
func refusalFor(err error) refusal {
	if reply, ok := claimRefusal(err); ok {
		return reply
	}
	if reply, ok := requestRefusal(err); ok {
		return reply
	}
	return upstreamRefusal(err)
}

// requestRefusal maps errors in the request itself.
func requestRefusal(err error) (refusal, bool) {
	var noMemory *BodyMemoryError
	switch {
	case errors.As(err, &noMemory):
		return refusal{
			status:    http.StatusServiceUnavailable,
			errorType: "body-not-read",
			outcome:   encoder.OutcomeNotRun,
			retryAt:   noMemory.RetryAt,
		}, true
	case is[*authenticator.MissingKeyError](err):
		return refusal{status: http.StatusUnauthorized, errorType: "missing-key"}, true
	case is[*authenticator.UnknownKeyError](err):
		return refusal{status: http.StatusUnauthorized, errorType: "wrong-key"}, true
	case is[*WrongRoleError](err):
		return refusal{status: http.StatusForbidden, errorType: "wrong-role"}, true
	case is[*UnknownPathError](err):
		return refusal{status: http.StatusNotFound, errorType: "unknown-path"}, true
	case is[*MethodNotAllowedError](err):
		return refusal{status: http.StatusMethodNotAllowed, errorType: "method-not-allowed"}, true
	case is[*UnknownClassError](err):
		return refusal{status: http.StatusBadRequest, errorType: "unknown-class"}, true
	case is[*UnknownModelError](err):
		return refusal{status: http.StatusNotFound, errorType: "unknown-model"}, true
	case is[*UnknownServiceError](err):
		return refusal{status: http.StatusNotFound, errorType: "unknown-service"}, true
	case is[*MalformedHeaderError](err):
		return refusal{status: http.StatusBadRequest, errorType: "malformed-header"}, true
	case is[*encoder.MalformedError](err):
		return refusal{status: http.StatusBadRequest, errorType: "malformed-body"}, true
	case is[*BodyTooLargeError](err):
		return refusal{status: http.StatusRequestEntityTooLarge, errorType: "body-too-large"}, true
	case is[*BodyTimeoutError](err):
		return refusal{status: http.StatusRequestTimeout, errorType: "body-timeout"}, true
	case is[*StreamNotPossibleError](err):
		return refusal{status: http.StatusBadRequest, errorType: "stream-not-possible"}, true
	case is[*DeadlinePassedError](err):
		return refusal{status: http.StatusGatewayTimeout, errorType: "deadline-passed"}, true
	default:
		return refusal{}, false
	}
}

// claimRefusal maps errors of non-idempotent requests.
func claimRefusal(err error) (refusal, bool) {
	var inProgress *InProgressError
	var full *ClaimsFullError
	switch {
	case errors.As(err, &full):
		return refusal{
			status:    http.StatusServiceUnavailable,
			errorType: "claims-full",
			outcome:   encoder.OutcomeNotRun,
			retryAt:   full.RetryAt,
		}, true
	case is[*KeyMismatchError](err):
		return refusal{
			status:    http.StatusUnprocessableEntity,
			errorType: "key-mismatch",
			outcome:   encoder.OutcomeNotRun,
		}, true
	case errors.As(err, &inProgress):
		return refusal{
			status:    http.StatusConflict,
			errorType: "in-progress",
			outcome:   encoder.OutcomeUnknown,
			retryAt:   inProgress.RetryAt,
		}, true
	case is[*OutcomeUnknownError](err):
		return refusal{
			status:    http.StatusBadGateway,
			errorType: "outcome-unknown",
			outcome:   encoder.OutcomeUnknown,
		}, true
	case is[*AnswerDroppedError](err):
		return refusal{status: http.StatusGone, errorType: "answer-dropped", outcome: encoder.OutcomeRan}, true
	case is[*TooOldError](err):
		return refusal{status: http.StatusConflict, errorType: "too-old", outcome: encoder.OutcomeUnknown}, true
	case is[*ClaimsUnreachableError](err):
		return refusal{
			status:    http.StatusServiceUnavailable,
			errorType: "claims-unreachable",
			outcome:   encoder.OutcomeNotRun,
			retryAt:   time.Now().Add(longRetryDelay),
		}, true
	default:
		return refusal{}, false
	}
}

// upstreamRefusal maps errors of admission and of upstreams, and all others.
func upstreamRefusal(err error) refusal {
	var targetMissed *admitter.TargetMissedError
	var overload *admitter.OverloadError
	var noUpstream *router.NoUpstreamError
	var paused *router.PausedError
	var rateLimited *router.RateLimitedError
	var saturated *router.SaturatedError
	var quarantined *quarantiner.QuarantinedError
	var trialPending *quarantiner.TrialPendingError
	var originGone *router.OriginGoneError
	retryAt := time.Now().Add(shortRetryDelay)
	reply := refusal{status: http.StatusServiceUnavailable, retryAt: retryAt}
	switch {
	case errors.As(err, &targetMissed):
		reply.errorType, reply.retryAt = "target-out-of-reach", targetMissed.RetryAt
	case errors.As(err, &overload):
		reply.errorType, reply.retryAt = "overloaded", overload.RetryAt
	case errors.As(err, &noUpstream):
		reply.errorType, reply.retryAt = "no-upstream", noUpstream.RetryAt
	case errors.As(err, &paused):
		reply.errorType, reply.retryAt = "upstreams-paused", paused.RetryAt
	case errors.As(err, &rateLimited):
		reply.errorType, reply.retryAt = "upstreams-rate-limited", rateLimited.RetryAt
	case errors.As(err, &saturated):
		reply.errorType, reply.retryAt = "overloaded", saturated.RetryAt
	case errors.As(err, &quarantined):
		reply.errorType, reply.retryAt = "prompt-quarantined", quarantined.RetryAt
	case errors.As(err, &trialPending):
		reply.errorType, reply.retryAt = "prompt-suspected", trialPending.RetryAt
	case errors.As(err, &originGone):
		reply.status, reply.errorType = http.StatusBadGateway, "answer-broken"
	case is[*admitter.RetryBudgetError](err):
		reply.errorType = "retries-spent"
	case is[*admitter.StoppedError](err), is[*NotReadyError](err):
		reply.errorType = "not-ready"
	case is[*UpstreamRefusedError](err):
		reply.errorType = "upstream-refused"
	case is[*dispatcher.NotSentError](err):
		reply.status, reply.errorType = http.StatusBadGateway, "upstream-unreachable"
	case is[*relayer.NotContinuableError](err), is[*relayer.InterruptedError](err):
		reply.status, reply.errorType = http.StatusBadGateway, "answer-broken"
	default:
		reply.status, reply.errorType = http.StatusBadGateway, "upstream-failed"
	}
	return reply
}

// is reports whether the error chain contains an error of the type.
func is[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
