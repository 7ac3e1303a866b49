package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"burdocklink/admitter"
	"burdocklink/budgeter"
	"burdocklink/charger"
	"burdocklink/chooser"
	"burdocklink/classifier"
	"burdocklink/linker"
	"burdocklink/matcher"
	"burdocklink/quarantiner"
	"burdocklink/reporter"
	"burdocklink/router"
)

// exchange handles one request and its answer.
type exchange struct {
	*Forwarder
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time
	table   *matcher.Table
	route   *matcher.Route
	request Request
	// service is the service of the route's split that was picked for this request.
	service string
	class   classifier.Class
	// organisation is the one that the caller's key belongs to; nil if the request needs no
	// key. The keys of the table were confirmed at keysConfirmedAt.
	organisation    *matcher.Organisation
	keysConfirmedAt time.Time
	// hidesKey is true if the key must not reach upstreams.
	hidesKey bool
	// charge is what the request uses of the organisation's quota; nil for nothing.
	charge *charger.Charge
	body   []byte
	// memory is that of the body; nil if none was read. bodyRead is true once the whole
	// body has been read.
	memory   *budgeter.Body
	bodyRead bool
	// deadline is the caller's deadline or the route's timeout, whichever is earlier.
	deadline time.Time
	attempts attempts
	grant    *admitter.Grant
	// pass allows the request to be sent.
	pass *quarantiner.Pass
	// crashes are those of upstreams under the request.
	crashes quarantiner.Sends
	// subject is what may make the request crash upstreams.
	subject quarantiner.Subject
	// headerArrived is true if the header of an answer to the last send has arrived.
	headerArrived bool
	// arrivedEvents is the number of events of the answer to the last send.
	arrivedEvents int
	// disallowed is true if the grant had lapsed when it was to be used, so that the
	// request was not sent.
	disallowed bool
	// fallback is a failure of an upstream, written if no attempt gives a better answer.
	fallback *answer
	// lastEventID is the ID of the last event that the caller has, initialEventID the
	// one that its request named. Zero means none.
	lastEventID, initialEventID uint64
	// continuing is true if the answer to the last send goes on with a stream, and placed once
	// an event of it had an ID.
	continuing, placed bool
	// origin is the upstream that began the stream; zero if none has.
	origin router.Origin
	events int
	// eventTokens is the number of tokens per event.
	eventTokens int
	firstToken  time.Time
	granted     time.Time
	// rateLimit is the rate limit of the upstream when the request was last sent.
	rateLimit router.RateLimit
	result    reporter.Result
	status    int
	// ownBytes is the part of Forwarder.buffered that belongs to this request.
	ownBytes int64
}

// answer is an upstream's answer with its whole body.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func newExchange(f *Forwarder, w http.ResponseWriter, r *http.Request) *exchange {
	return &exchange{Forwarder: f, w: w, r: r, arrived: time.Now()}
}

// serve handles the request. It returns an error if no complete answer was written.
func (x *exchange) serve() error {
	if err := x.read(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadlineCause(x.r.Context(), x.deadline, &TimeoutError{})
	defer cancel()
	if err := x.untilDraining(ctx, x.chargeQuota); err != nil {
		return err
	}
	if err := x.readBody(); err != nil {
		return err
	}
	if err := x.findOrigin(ctx); err != nil {
		return err
	}
	x.subject = quarantiner.Subject{Fingerprint: x.fingerprint(), Parts: x.sharedParts()}
	err := x.forward(ctx)
	if err != nil && x.fallback != nil && !x.attempts.answerStarted && x.r.Context().Err() == nil {
		return x.writeAnswer(x.fallback)
	}
	return err
}

// read decodes the request and matches it to a route.
func (x *exchange) read() error {
	request, err := x.Codec.DecodeRequest(x.r, x.arrived)
	x.request = request
	x.table = x.awaitTable()
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
	if err := x.authorise(); err != nil {
		return err
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

const (
	// configurationTimeout is how long a request waits for the first configuration, less
	// than the time after which callers give up on an answer that has not begun. A
	// restarted process has it once the control group has elected a leader.
	configurationTimeout = 1800 * time.Millisecond
	// configurationPollInterval is the time between two checks for it.
	configurationPollInterval = 5 * time.Millisecond
)

// awaitTable returns the routes in force. While there are none, it waits for them during
// part of the caller's time; a caller that is refused returns later than that. It returns
// nil if there are still none.
func (x *exchange) awaitTable() *matcher.Table {
	until := x.arrived.Add(configurationTimeout)
	if half := x.arrived.Add(x.request.Deadline.Sub(x.arrived) / 2); !x.request.Deadline.IsZero() && half.Before(until) {
		until = half
	}
	for {
		x.confirmKeys()
		if table := x.Table(); table != nil || !time.Now().Before(until) || x.admitCtx.Err() != nil {
			return table
		}
		if !linker.Sleep(x.r.Context(), configurationPollInterval) {
			return nil
		}
	}
}

// hashFraction maps a request ID uniformly to [0, 1).
func hashFraction(id string) float64 {
	const steps = 1 << 24
	return float64(xxhash.Sum64String(id)%steps) / steps
}

// classOf returns the class of a route's requests.
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

// forward sends the request to one upstream after another until one answers or no
// further attempt is allowed.
func (x *exchange) forward(ctx context.Context) error {
	for {
		if x.attempts.runs == 0 && x.outlivesProcess() {
			return &DrainingError{}
		}
		if err := x.untilDraining(ctx, x.waitForUpstream); err != nil {
			return err
		}
		if !x.pass.Valid() {
			x.returnGrant()
			continue
		}
		if x.attempts.runs == 0 && x.outlivesProcess() {
			x.returnGrant()
			return &DrainingError{}
		}
		err := x.send(ctx)
		if err == nil {
			return nil
		}
		if cause := context.Cause(ctx); cause != nil {
			return x.endError(cause)
		}
		unnumbered := x.attempts.answerStarted && x.lastEventID == x.initialEventID
		if unnumbered || !x.crashes.MayRetry() || !x.attempts.mayRetry(x.route, time.Now(), x.deadline) {
			return err
		}
		x.Log.Info("sent again", zap.String("request-id", x.request.ID),
			zap.String("upstream", x.grant.Choice.Upstream), zap.String("software", x.grant.Choice.Software), zap.Int("sends", x.attempts.sends),
			zap.Int("runs", x.attempts.runs), zap.Error(err))
	}
}

// returnGrant ends a grant that was not used.
func (x *exchange) returnGrant() {
	x.disallowed = true
	x.settle(router.OutcomeCancelled)
	x.grant.MarkNotSent()
}

// endError returns the error for a request whose context ended. If an upstream may
// have run it, the answer is lost.
func (x *exchange) endError(cause error) error {
	if x.attempts.runs == 0 {
		return cause
	}
	return &LostError{Cause: cause}
}

// untilDraining waits for something until the request ends or the forwarder refuses waiting
// requests.
func (x *exchange) untilDraining(ctx context.Context, wait func(context.Context) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stopWatching := context.AfterFunc(x.admitCtx, func() { cancel(context.Cause(x.admitCtx)) })
	defer stopWatching()
	if err := wait(ctx); err != nil {
		return linker.CauseOf(ctx, err)
	}
	return nil
}

// waitForUpstream waits for an upstream that the request may be sent to.
func (x *exchange) waitForUpstream(ctx context.Context) error {
	if err := x.awaitPass(ctx); err != nil {
		return err
	}
	if err := x.chooseUpstream(ctx); err != nil {
		return err
	}
	return x.checkRevocation()
}

// chooseUpstream waits for an upstream that holds the requested model and adapter.
func (x *exchange) chooseUpstream(ctx context.Context) error {
	requirement := chooser.Requirement{
		Service: x.service, Model: x.request.Model, Adapter: x.request.Adapter,
		Origin: x.origin, Deadline: x.usefulUntil(),
	}
	grant, err := chooser.Choose(ctx, x.Holders, requirement, x.acquire)
	if err != nil {
		return err
	}
	x.grant = grant
	if x.granted.IsZero() {
		x.granted = time.Now()
	}
	return nil
}

// maxWaitFraction is the fraction of the caller's time that a streaming request may
// wait before it is refused: a request that is retried has little time left, and needs
// the rest for its answer. Whole answers can still be given near the deadline.
const maxWaitFraction = 0.5

// usefulUntil returns the latest time at which it is still useful to send the request.
func (x *exchange) usefulUntil() time.Time {
	until := x.callerGivesUpAt()
	half := x.arrived.Add(time.Duration(maxWaitFraction * float64(x.deadline.Sub(x.arrived))))
	if x.route.Kind == matcher.Streaming && half.Before(until) {
		return half
	}
	if margin := until.Add(-usefulMargin); margin.After(x.arrived) {
		return margin
	}
	return until
}

// usefulMargin is the time reserved for prefill between sending a request and the time
// at which the caller gives up.
const usefulMargin = 250 * time.Millisecond

// callerGivesUpAt returns when the caller gives up if it has no first event.
func (x *exchange) callerGivesUpAt() time.Time {
	giveUpAt := x.arrived.Add(x.route.EventTimeout())
	if giveUpAt.Before(x.deadline) {
		return giveUpAt
	}
	return x.deadline
}

// acquire requests a grant for an upstream. Repeated requests are not counted as demand
// again.
func (x *exchange) acquire(ctx context.Context, counted bool) (*admitter.Grant, error) {
	if x.attempts.sends > 0 && !x.disallowed {
		x.grant.Continue(x.origin)
		return x.Admitter.Reacquire(ctx, x.grant)
	}
	request := x.admission()
	request.Counted = counted || x.attempts.sends > 0 || x.disallowed
	return x.Admitter.Acquire(ctx, request)
}

func (x *exchange) admission() admitter.Request {
	request := admitter.Request{
		Subscriber: x.subscriber(),
		Weight:     x.weight(),

		Class:    x.class,
		Rank:     x.rank(),
		Arrived:  x.arrived,
		Deadline: x.deadline,

		UsefulUntil: x.usefulUntil(),
		Route: router.Request{
			Service:          x.service,
			PromptTokens:     x.request.PromptTokens,
			AnswerTokens:     x.expectedAnswerTokens(),
			AvailabilityZone: x.AvailabilityZone,
			Seed:             xxhash.Sum64String(x.request.ID),
			Origin:           x.origin,
		},
	}
	if x.request.Model != "" && x.table.Configuration.Services[x.service].Engine != nil {
		request.Route.Model = x.Holders.Name(x.service, x.request.Model, x.request.Adapter)
		request.Route.Prefixes = x.promptPrefixes(request.Route.Model)
		request.Route.BaseModel = x.Holders.Name(x.service, x.request.Model, "")
	}
	return request
}

// promptPrefixes returns the prefixes of the prompt that other requests for the same
// model and adapter may share.
func (x *exchange) promptPrefixes(model string) []router.Prefix {
	prefixes := make([]router.Prefix, 0, len(x.request.Parts))
	hash := xxhash.New()
	_, _ = hash.WriteString(model)
	tokens := 0
	for _, part := range x.request.Parts {
		// writing to a hash never fails
		_, _ = hash.WriteString(" " + part.ID)
		tokens += part.Tokens
		prefixes = append(prefixes, router.Prefix{Hash: hash.Sum64(), Tokens: tokens})
	}
	return prefixes
}

// expectedAnswerTokens returns the expected length of the answer: the caller's estimate,
// or half of the maximum if there is none.
func (x *exchange) expectedAnswerTokens() int {
	if x.request.ExpectedAnswerTokens > 0 {
		return x.request.ExpectedAnswerTokens
	}
	return x.request.AnswerTokens / 2
}

// tokens returns the number of tokens received so far.
func (x *exchange) tokens() int { return x.events * x.eventTokens }

// settle ends the current grant.
func (x *exchange) settle(outcome router.Outcome) {
	x.recordRunTime(outcome)
	x.grant.Done(admitter.Result{Ended: time.Now(), Tokens: x.tokens(), Outcome: outcome})
}
