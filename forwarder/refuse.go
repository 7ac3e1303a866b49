package forwarder

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"burdocklink/admitter"
	"burdocklink/charger"
	"burdocklink/chooser"
	"burdocklink/historian"
	"burdocklink/quarantiner"
	"burdocklink/reporter"
	"burdocklink/router"
)

// shortRetryDelay is the retry delay for failures that are probably brief: choosing
// another upstream takes less.
const shortRetryDelay = 200 * time.Millisecond

// refuse answers a request for which there is no complete answer.
func (x *exchange) refuse(err error) {
	x.result = reporter.ResultFailed
	if x.attempts.runs == 0 {
		x.result = reporter.ResultRefused
	}
	if x.r.Context().Err() != nil || is[*callerGoneError](err) {
		x.result = reporter.ResultAbandoned
	}
	if x.grant != nil {
		x.settle(router.OutcomeCancelled)
	}
	if x.attempts.answerStarted {
		x.record(err)
		// a partial answer must not look complete
		panic(http.ErrAbortHandler)
	}
	x.status = statusOf(err, x.attempts)
	x.record(err)
	header := x.w.Header()
	if retry := retryTime(err); promisesNotRun(x.status) && !retry.IsZero() {
		seconds := max(0, time.Until(retry).Seconds())
		header.Set("Retry-After", strconv.FormatFloat(seconds, 'f', 3, 64))
	}
	header.Set("Content-Length", "0")
	x.endUnreadBody(err)
	x.w.WriteHeader(x.status)
}

// statusOf maps errors to HTTP statuses. A status that promises that the request has
// not run is returned only if no upstream can have run it.
func statusOf(err error, tries attempts) int {
	switch {
	case is[*MalformedError](err), is[*BodyError](err):
		return http.StatusBadRequest
	case is[*NoRouteError](err):
		return http.StatusNotFound
	case is[*UnknownKeyError](err) && tries.runs == 0:
		return http.StatusUnauthorized
	case is[*charger.QuotaError](err):
		return http.StatusTooManyRequests
	case is[*BodyTooLargeError](err):
		return http.StatusRequestEntityTooLarge
	case tries.runs == 0:
		return http.StatusServiceUnavailable
	case is[*TimeoutError](err):
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// retryTime returns the retry time that the failure gives, which may be zero, or a short
// delay from now for failures that have none.
func retryTime(err error) time.Time {
	var targetMissed *admitter.TargetMissedError
	var overload *admitter.OverloadError
	var noUpstream *router.NoUpstreamError
	var paused *router.PausedError
	var rateLimited *router.RateLimitedError
	var absent *chooser.AbsentError
	var notRun *NotRunError
	var quarantined *quarantiner.QuarantinedError
	var trialPending *quarantiner.TrialPendingError
	var originGone *router.OriginGoneError
	var unknownOrigin *historian.UnknownOriginError
	var overQuota *charger.QuotaError
	var quotaUnavailable *charger.UnavailableError
	var unconfirmedKey *UnconfirmedKeyError
	var bodyMemory *BodyMemoryError
	switch {
	case errors.As(err, &bodyMemory):
		return bodyMemory.RetryAt
	case errors.As(err, &overQuota):
		return overQuota.RetryAt
	case errors.As(err, &quotaUnavailable):
		return quotaUnavailable.RetryAt
	case errors.As(err, &unconfirmedKey):
		return unconfirmedKey.RetryAt
	case errors.As(err, &unknownOrigin):
		return unknownOrigin.RetryAt
	case errors.As(err, &originGone):
		// the stream can't go on at any time
		return time.Time{}
	case errors.As(err, &targetMissed):
		return targetMissed.RetryAt
	case errors.As(err, &overload):
		return overload.RetryAt
	case errors.As(err, &noUpstream):
		return noUpstream.RetryAt
	case errors.As(err, &paused):
		return paused.RetryAt
	case errors.As(err, &rateLimited):
		return rateLimited.RetryAt
	case errors.As(err, &absent):
		return absent.RetryAt
	case errors.As(err, &notRun):
		return notRun.RetryAt
	case errors.As(err, &quarantined):
		return quarantined.RetryAt
	case errors.As(err, &trialPending):
		return trialPending.RetryAt
	default:
		return time.Now().Add(shortRetryDelay)
	}
}

func is[E error](err error) bool {
	var target E
	return errors.As(err, &target)
}

// record counts and logs the result of the request.
func (x *exchange) record(err error) {
	now := time.Now()
	subscriber := x.subscriber()
	if subscriber == "" {
		subscriber = x.service
	}
	x.Reporter.Record(reporter.Sample{
		Class: x.class, Subscriber: subscriber, Arrived: x.arrived,
		FirstToken: x.firstToken, Ended: now, Tokens: x.tokens(), Result: x.result,
	})
	fields := []zap.Field{
		zap.String("request-id", x.request.ID),
		zap.String("result", x.result.String()),
		zap.Int("status", x.status),
		zap.String("class", x.class.Name),
		zap.String("service", x.service),
		zap.String("model", x.request.Model),
		zap.String("adapter", x.request.Adapter),
		zap.Int("sends", x.attempts.sends),
		zap.Int("runs", x.attempts.runs),
		zap.Int("events", x.events),
		zap.Duration("took", now.Sub(x.arrived)),
	}
	if !x.deadline.IsZero() {
		fields = append(fields, zap.Duration("left", x.deadline.Sub(now)))
	}
	if x.table != nil {
		fields = append(fields, zap.Uint64("configuration", x.table.Configuration.Version))
	}
	if x.organisation != nil {
		fields = append(fields, zap.String("organisation", x.organisation.Name))
	}
	if x.grant != nil {
		fields = append(fields, zap.String("upstream", x.grant.Choice.Upstream), zap.String("software", x.grant.Choice.Software),
			zap.Duration("queued", x.granted.Sub(x.arrived)))
		if x.grant.Entry != "" {
			fields = append(fields, zap.String("admitted-by", x.grant.Entry))
		}
	}
	if x.request.LastEvent != "" {
		fields = append(fields, zap.String("last-event", x.request.LastEvent), zap.String("resumes", x.request.Resumes))
	}
	if x.rateLimit.Announced {
		fields = append(fields, zap.Float64("limit", x.rateLimit.PerSecond))
	}
	if !x.firstToken.IsZero() {
		fields = append(fields, zap.Duration("first-event", x.firstToken.Sub(x.arrived)))
	}
	if err != nil {
		fields = append(fields, zap.Error(err))
	}
	if x.result == reporter.ResultFailed {
		fields = append(fields, zap.String("fingerprint", x.subject.Fingerprint), zap.Bool("header-arrived", x.headerArrived),
			zap.Bool("upstream-crashed", x.crashes.Crashed), zap.Strings("prompt-parts", x.request.loggedParts()))
	}
	x.Log.Info("request", fields...)
}
