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
	"burdocklink/relayer"
	"burdocklink/reporter"
	"burdocklink/router"
)

// refusal is what a caller is told of a failure.
type refusal struct {
	status int
	word   string
	// outcome is empty where the exchange itself knows it.
	outcome string
	retry   time.Time
}

// waits before a repeat makes sense.
const (
	shortRetry = time.Second
	longRetry  = 5 * time.Second
)

// refuse answers a request that failed.
func (x *exchange) refuse(err error) {
	if x.result == 0 {
		x.result = reporter.ResultFailed
		if !x.sent {
			x.result = reporter.ResultRefused
		}
	}
	var gone *callerGoneError
	if errors.As(err, &gone) || x.r.Context().Err() != nil {
		x.result = reporter.ResultAbandoned
	}
	told := describe(err)
	if told.outcome == "" {
		told.outcome = encoder.OutcomeNotRun
		if x.sent {
			told.outcome = encoder.OutcomeUnknown
		}
	}
	x.Log.Info("refused",
		zap.String("request-id", x.id),
		zap.String("type", told.word),
		zap.String("outcome", told.outcome),
		zap.Error(err),
	)
	if x.answered {
		// an answer that has begun must not look complete
		panic(http.ErrAbortHandler)
	}
	x.writeRefusal(told, err)
}

func (x *exchange) writeRefusal(told refusal, err error) {
	body, _ := json.Marshal(encoder.ErrorReply{Error: encoder.ErrorDetail{
		Type:       told.word,
		Message:    err.Error(),
		Outcome:    told.outcome,
		RequestID:  x.id,
		RetryAfter: told.retry,
	}})
	header := x.w.Header()
	header.Set("Content-Type", "application/json")
	if !told.retry.IsZero() {
		seconds := math.Ceil(time.Until(told.retry).Seconds())
		header.Set("Retry-After", strconv.Itoa(max(1, int(seconds))))
	}
	if told.status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	if told.status == http.StatusRequestTimeout || told.status == http.StatusRequestEntityTooLarge {
		header.Set("Connection", "close")
	}
	_ = x.write(told.status, told.outcome, body)
}

// describe maps failures to what callers are told.
func describe(err error) refusal {
	if told, ok := describeClaim(err); ok {
		return told
	}
	if told, ok := describeRequest(err); ok {
		return told
	}
	return describeWork(err)
}

// describeRequest maps the failures that a request itself causes.
func describeRequest(err error) (refusal, bool) {
	switch {
	case is[*authenticator.MissingKeyError](err):
		return refusal{status: http.StatusUnauthorized, word: "missing-key"}, true
	case is[*authenticator.UnknownKeyError](err):
		return refusal{status: http.StatusUnauthorized, word: "wrong-key"}, true
	case is[*WrongRoleError](err):
		return refusal{status: http.StatusForbidden, word: "wrong-role"}, true
	case is[*UnknownPathError](err):
		return refusal{status: http.StatusNotFound, word: "unknown-path"}, true
	case is[*MethodNotAllowedError](err):
		return refusal{status: http.StatusMethodNotAllowed, word: "method-not-allowed"}, true
	case is[*UnknownClassError](err):
		return refusal{status: http.StatusBadRequest, word: "unknown-class"}, true
	case is[*UnknownModelError](err):
		return refusal{status: http.StatusNotFound, word: "unknown-model"}, true
	case is[*UnknownServiceError](err):
		return refusal{status: http.StatusNotFound, word: "unknown-service"}, true
	case is[*MalformedHeaderError](err):
		return refusal{status: http.StatusBadRequest, word: "malformed-header"}, true
	case is[*encoder.MalformedError](err):
		return refusal{status: http.StatusBadRequest, word: "malformed-body"}, true
	case is[*BodyTooLargeError](err):
		return refusal{status: http.StatusRequestEntityTooLarge, word: "body-too-large"}, true
	case is[*BodyTimeoutError](err):
		return refusal{status: http.StatusRequestTimeout, word: "body-timeout"}, true
	case is[*StreamNotPossibleError](err):
		return refusal{status: http.StatusBadRequest, word: "stream-not-possible"}, true
	case is[*DeadlinePassedError](err):
		return refusal{status: http.StatusGatewayTimeout, word: "deadline-passed"}, true
	default:
		return refusal{}, false
	}
}

// describeClaim maps the failures of requests that must not run twice.
func describeClaim(err error) (refusal, bool) {
	var progress *InProgressError
	var full *ClaimsFullError
	switch {
	case errors.As(err, &full):
		return refusal{
			status:  http.StatusServiceUnavailable,
			word:    "claims-full",
			outcome: encoder.OutcomeNotRun,
			retry:   full.Retry,
		}, true
	case is[*KeyMismatchError](err):
		return refusal{
			status:  http.StatusUnprocessableEntity,
			word:    "key-mismatch",
			outcome: encoder.OutcomeNotRun,
		}, true
	case errors.As(err, &progress):
		return refusal{
			status:  http.StatusConflict,
			word:    "in-progress",
			outcome: encoder.OutcomeUnknown,
			retry:   progress.Retry,
		}, true
	case is[*OutcomeUnknownError](err):
		return refusal{
			status:  http.StatusBadGateway,
			word:    "outcome-unknown",
			outcome: encoder.OutcomeUnknown,
		}, true
	case is[*AnswerDroppedError](err):
		return refusal{status: http.StatusGone, word: "answer-dropped", outcome: encoder.OutcomeRan}, true
	case is[*TooOldError](err):
		return refusal{status: http.StatusConflict, word: "too-old", outcome: encoder.OutcomeUnknown}, true
	case is[*ClaimsUnreachableError](err):
		return refusal{
			status:  http.StatusServiceUnavailable,
			word:    "claims-unreachable",
			outcome: encoder.OutcomeNotRun,
			retry:   time.Now().Add(longRetry),
		}, true
	default:
		return refusal{}, false
	}
}

// describeWork maps the failures of admission and of upstreams.
func describeWork(err error) refusal {
	var hopeless *admitter.TargetMissedError
	var overload *admitter.OverloadError
	var nowhere *router.NoUpstreamError
	var paused *router.PausedError
	var rationed *router.RateLimitedError
	var saturated *router.SaturatedError
	soon := time.Now().Add(shortRetry)
	told := refusal{status: http.StatusServiceUnavailable, retry: soon}
	switch {
	case errors.As(err, &hopeless):
		told.word, told.retry = "target-out-of-reach", hopeless.RetryAt
	case errors.As(err, &overload):
		told.word, told.retry = "overloaded", overload.RetryAt
	case errors.As(err, &nowhere):
		told.word, told.retry = "no-upstream", nowhere.RetryAt
	case errors.As(err, &paused):
		told.word, told.retry = "upstreams-paused", paused.RetryAt
	case errors.As(err, &rationed):
		told.word, told.retry = "upstreams-rate-limited", rationed.RetryAt
	case errors.As(err, &saturated):
		told.word, told.retry = "overloaded", saturated.RetryAt
	case is[*admitter.RetryBudgetError](err):
		told.word = "retries-spent"
	case is[*admitter.StoppedError](err), is[*NotReadyError](err):
		told.word = "not-ready"
	case is[*RefusedError](err):
		told.word = "upstream-refused"
	case is[*dispatcher.NotSentError](err):
		told.status, told.word = http.StatusBadGateway, "upstream-unreachable"
	case is[*relayer.NotContinuableError](err), is[*relayer.InterruptedError](err):
		told.status, told.word = http.StatusBadGateway, "answer-broken"
	default:
		told.status, told.word = http.StatusBadGateway, "upstream-failed"
	}
	return told
}

// is returns true where the chain holds a failure of the type.
func is[T error](err error) bool {
	var found T
	return errors.As(err, &found)
}
