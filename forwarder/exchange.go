package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"burdocklink/admitter"
	"burdocklink/chooser"
	"burdocklink/classifier"
	"burdocklink/dispatcher"
	"burdocklink/linker"
	"burdocklink/matcher"
	"burdocklink/reporter"
	"burdocklink/router"
)

// exchange is one request on its way to its answer.
type exchange struct {
	*Forwarder
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time
	table   *matcher.Table
	route   *matcher.Route
	request Request
	// service is the one of the route's that this request goes to.
	service string
	class   classifier.Class
	body    []byte
	// deadline is the end of the caller's patience or of the route's timeout.
	deadline time.Time
	attempts attempts
	grant    *admitter.Grant
	// disallowed is true where the grant could not be used any more: the request
	// has been tried nowhere then.
	disallowed bool
	// fallback is an answer that is delivered where no better one comes.
	fallback *answer
	// lastEventID is the number of the last event that the caller has, and had the one
	// that it came with. Zero where there is none.
	lastEventID, initialEventID uint64
	events                      int
	// eventTokens is how many tokens an event holds.
	eventTokens int
	firstToken  time.Time
	granted     time.Time
	// rateLimit is the upstream's when the request was last sent.
	rateLimit router.RateLimit
	result    reporter.Result
	status    int
	// ownBytes are of whole answers.
	ownBytes int64
}

// answer is a whole answer of an upstream.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func newExchange(f *Forwarder, w http.ResponseWriter, r *http.Request) *exchange {
	return &exchange{Forwarder: f, w: w, r: r, arrived: time.Now()}
}

// serve sees the request through. The error says why there is no whole answer.
func (x *exchange) serve() error {
	if err := x.read(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadlineCause(x.r.Context(), x.deadline, &TimeoutError{})
	defer cancel()
	if err := x.readBody(); err != nil {
		return err
	}
	err := x.forward(ctx)
	if err != nil && x.fallback != nil && !x.attempts.responseStarted && x.r.Context().Err() == nil {
		return x.writeAnswer(x.fallback)
	}
	return err
}

// read finds out what is asked for.
func (x *exchange) read() error {
	request, err := x.Codec.DecodeRequest(x.r, x.arrived)
	x.request = request
	x.table = x.Table()
	if x.table == nil {
		return &NoConfigurationError{}
	}
	if err != nil {
		return err
	}
	x.route = x.table.Match(x.r.Host, x.r.URL.EscapedPath())
	if x.route == nil {
		return &NoRouteError{}
	}
	x.service = x.route.Pick(hashFraction(request.ID))
	x.deadline = x.arrived.Add(x.route.Timeout)
	if !request.Deadline.IsZero() && request.Deadline.Before(x.deadline) {
		x.deadline = request.Deadline
	}
	x.eventTokens = 1
	if engine := x.table.Configuration.Services[x.service].Engine; engine != nil {
		x.eventTokens = max(1, engine.TokensPerEvent)
	}
	x.class = classOf(x.route, x.eventTokens)
	if x.route.Resumable {
		x.initialEventID = parseID(request.LastEvent)
		x.lastEventID = x.initialEventID
	}
	return nil
}

// hashFraction spreads request IDs over [0, 1).
func hashFraction(id string) float64 {
	const steps = 1 << 24
	return float64(xxhash.Sum64String(id)%steps) / steps
}

// classOf is the class of work that a route stands for.
func classOf(route *matcher.Route, eventTokens int) classifier.Class {
	class := classifier.Class{
		Name:            route.Name,
		RepeatForbidden: !route.Repeatable(),
	}
	if route.Kind == matcher.Streaming {
		class.Target.FirstToken = route.Target
		class.Target.BetweenTokens = route.EventGapTarget / time.Duration(eventTokens)
	} else {
		class.Target.Whole = route.Target
	}
	return class
}

func (x *exchange) readBody() error {
	limit := x.table.Configuration.Limits.BodyBytes
	from := io.Reader(x.r.Body)
	if limit > 0 {
		from = http.MaxBytesReader(x.w, x.r.Body, limit)
	}
	body, err := io.ReadAll(from)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &BodyTooLargeError{Limit: limit}
	}
	if err != nil {
		return &BodyError{Cause: err}
	}
	x.body = body
	return nil
}

// forward sends the request to one upstream after the other until one has
// answered or no further one may be tried.
func (x *exchange) forward(ctx context.Context) error {
	for {
		if err := x.waitForUpstream(ctx); err != nil {
			return err
		}
		err := x.send(ctx)
		if err == nil {
			return nil
		}
		if cause := context.Cause(ctx); cause != nil {
			return x.endError(cause)
		}
		if !x.attempts.mayRetry(x.route, time.Now(), x.deadline) || (x.attempts.responseStarted && x.lastEventID == x.initialEventID) {
			return err
		}
		x.Log.Info("sent again", zap.String("request-id", x.request.ID),
			zap.String("upstream", x.grant.Choice.Upstream), zap.Int("sends", x.attempts.sends),
			zap.Int("runs", x.attempts.runs), zap.Error(err))
	}
}

// endError says what the end of the time or of the caller means for the request.
func (x *exchange) endError(cause error) error {
	if x.attempts.runs == 0 {
		return cause
	}
	return &LostError{Cause: cause}
}

// waitForUpstream waits for an upstream.
func (x *exchange) waitForUpstream(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	release := context.AfterFunc(x.admitCtx, func() { cancel(context.Cause(x.admitCtx)) })
	defer release()
	if err := x.chooseUpstream(ctx); err != nil {
		return linker.CauseOf(ctx, err)
	}
	return nil
}

// chooseUpstream waits for an upstream, and for one that holds what is asked for.
func (x *exchange) chooseUpstream(ctx context.Context) error {
	wanted := chooser.Requirement{
		Service: x.service, Model: x.request.Model, Adapter: x.request.Adapter, Deadline: x.usefulUntil(),
	}
	grant, err := chooser.Choose(ctx, x.Holders, wanted, x.acquire)
	if err != nil {
		return err
	}
	x.grant = grant
	if x.granted.IsZero() {
		x.granted = time.Now()
	}
	return nil
}

// maxWaitFraction is the part of the caller's time for which a stream's request may wait
// before it is refused: one that comes back has little time left, and needs the
// rest for its answer. Short answers can still be given near the end.
const maxWaitFraction = 0.5

// usefulUntil is when the caller must have a first event, or the whole answer.
func (x *exchange) usefulUntil() time.Time {
	until := x.callerLeavesAt()
	half := x.arrived.Add(time.Duration(maxWaitFraction * float64(x.deadline.Sub(x.arrived))))
	if x.route.Kind == matcher.Streaming && half.Before(until) {
		return half
	}
	if margin := until.Add(-usefulMargin); margin.After(x.arrived) {
		return margin
	}
	return until
}

// usefulMargin is left between a dispatch and the caller's leaving: a prompt is
// read meanwhile.
const usefulMargin = 250 * time.Millisecond

// callerLeavesAt is when the caller will have left without a first event.
func (x *exchange) callerLeavesAt() time.Time {
	patienceEnd := x.arrived.Add(x.route.EventTimeout())
	if patienceEnd.Before(x.deadline) {
		return patienceEnd
	}
	return x.deadline
}

// acquire asks for an upstream. A request that looks for one again is counted
// already.
func (x *exchange) acquire(ctx context.Context, counted bool) (*admitter.Grant, error) {
	if x.attempts.sends > 0 && !x.disallowed {
		return x.Admitter.Reacquire(ctx, x.grant)
	}
	request := x.admission()
	request.Counted = counted || x.attempts.sends > 0
	return x.Admitter.Acquire(ctx, request)
}

func (x *exchange) admission() admitter.Request {
	request := admitter.Request{
		Class:    x.class,
		Rank:     x.route.Rank,
		Arrived:  x.arrived,
		Deadline: x.deadline,

		UsefulUntil: x.usefulUntil(),
		Route: router.Request{
			Service:          x.service,
			PromptTokens:     x.request.PromptTokens,
			AnswerTokens:     x.expectedAnswerTokens(),
			AvailabilityZone: x.AvailabilityZone,
			Seed:             xxhash.Sum64String(x.request.ID),
		},
	}
	if x.request.Model != "" && x.table.Configuration.Services[x.service].Engine != nil {
		request.Route.Model = x.Holders.Name(x.service, x.request.Model, x.request.Adapter)
		request.Route.Prefixes = x.promptPrefixes(request.Route.Model)
		request.Route.BaseModel = x.Holders.Name(x.service, x.request.Model, "")
	}
	return request
}

// promptPrefixes returns the beginnings of the prompt that other requests for the same
// model and adapter may share.
func (x *exchange) promptPrefixes(model string) []router.Prefix {
	prefixes := make([]router.Prefix, 0, len(x.request.Parts))
	hash := xxhash.New()
	_, _ = hash.WriteString(model)
	tokens := 0
	for _, part := range x.request.Parts {
		// a hash takes all that is written
		_, _ = hash.WriteString(" " + part.ID)
		tokens += part.Tokens
		prefixes = append(prefixes, router.Prefix{Hash: hash.Sum64(), Tokens: tokens})
	}
	return prefixes
}

// expectedAnswerTokens is the expected length of the answer: the caller's guess, or half
// of the most where it does not guess.
func (x *exchange) expectedAnswerTokens() int {
	if x.request.ExpectedAnswerTokens > 0 {
		return x.request.ExpectedAnswerTokens
	}
	return x.request.AnswerTokens / 2
}

// send makes one attempt at the upstream of the grant.
func (x *exchange) send(ctx context.Context) error {
	x.attempts.sends++
	x.disallowed = false
	x.grant.Started = time.Now()
	choice := x.grant.Choice
	path := x.r.RequestURI
	sentAt := x.grant.Started
	x.rateLimit = x.Upstreams.Limit(choice)
	response, err := x.Calls.Send(ctx, dispatcher.Call{
		Address:    choice.Address,
		Method:     x.r.Method,
		Path:       path,
		Host:       x.r.Host,
		Header:     x.Codec.EncodeRequest(x.r.Header, x.upstreamRequest(choice)),
		Body:       x.body,
		OwnsAnswer: func(header http.Header) bool { return x.Codec.Owns(x.request.ID, header) },
		Allowed:    func() bool { return x.Upstreams.Allows(choice) },
	})
	if err != nil {
		return x.handleSendError(err)
	}
	info := x.Codec.DecodeAnswer(response, time.Now())
	x.Upstreams.ObserveNotice(choice, info.Notice, info.UnreadablePause)
	if info.Limit.Announced || !info.Misdirected {
		// where another upstream answers, a limit that is not named says nothing
		x.Upstreams.ObserveLimit(choice, sentAt, info.Limit, info.UnreadableLimit)
	}
	if info.Notice.Leaving {
		// the connection is not kept
		response.Close = true
	}
	if info.NotRun {
		return x.handleNotRun(response, info)
	}
	x.attempts.runs++
	if x.route.Kind == matcher.Streaming && response.StatusCode == http.StatusOK {
		return x.forwardStream(response, info)
	}
	return x.forwardWhole(response, info)
}

func (x *exchange) upstreamRequest(choice router.Choice) UpstreamRequest {
	send := UpstreamRequest{
		Now:       time.Now(),
		Deadline:  x.deadline,
		Upstream:  choice.Upstream,
		Rank:      min(x.route.Rank, lowestRank),
		Ranked:    x.route.Kind == matcher.Streaming,
		LastEvent: x.request.LastEvent,
	}
	if x.lastEventID > 0 {
		send.LastEvent = formatID(x.lastEventID)
	}
	return send
}

// lowestRank is the last urgency that engines know.
const lowestRank = 9

// handleSendError takes in a send that brought no answer.
func (x *exchange) handleSendError(err error) error {
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
	return &LostError{Cause: err}
}

// handleNotRun takes in an upstream's word that it did not run the request.
func (x *exchange) handleNotRun(response *http.Response, info AnswerInfo) error {
	dispatcher.Discard(response)
	if info.Misdirected {
		x.Calls.CloseIdle(x.grant.Choice.Address)
	}
	x.settle(router.OutcomeRefused)
	return &NotRunError{RetryAt: time.Now().Add(shortRetryDelay)}
}

// tokens is the length of the answer so far.
func (x *exchange) tokens() int { return x.events * x.eventTokens }

// settle ends the present grant.
func (x *exchange) settle(outcome router.Outcome) {
	x.grant.Done(admitter.Result{Ended: time.Now(), Tokens: x.tokens(), Outcome: outcome})
}
