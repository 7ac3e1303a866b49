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
	tries    attempts
	grant    *admitter.Grant
	// disallowed is true where the grant could not be used any more: the request
	// has been tried nowhere then.
	disallowed bool
	// failure is an answer that is delivered where no better one comes.
	failure *answer
	// last is the number of the last event that the caller has, and had the one
	// that it came with. Zero where there is none.
	last, had uint64
	events    int
	// eventTokens is how many tokens an event holds.
	eventTokens int
	firstToken  time.Time
	granted     time.Time
	// limit is the upstream's when the request was last sent.
	limit  router.RateLimit
	result reporter.Result
	status int
	// heldBytes are of whole answers.
	heldBytes int64
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
	if err != nil && x.failure != nil && !x.tries.begun && x.r.Context().Err() == nil {
		return x.deliver(x.failure)
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
	x.service = x.route.Pick(fraction(request.ID))
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
		x.had = parseID(request.LastEvent)
		x.last = x.had
	}
	return nil
}

// fraction spreads request IDs over [0, 1).
func fraction(id string) float64 {
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
		if err := x.place(ctx); err != nil {
			return err
		}
		err := x.send(ctx)
		if err == nil {
			return nil
		}
		if cause := context.Cause(ctx); cause != nil {
			return x.ended(cause)
		}
		if !x.tries.mayAgain(x.route, time.Now(), x.deadline) || (x.tries.begun && x.last == x.had) {
			return err
		}
		x.Log.Info("sent again", zap.String("request-id", x.request.ID),
			zap.String("upstream", x.grant.Choice.Upstream), zap.Int("sends", x.tries.sends),
			zap.Int("runs", x.tries.runs), zap.Error(err))
	}
}

// ended says what the end of the time or of the caller means for the request.
func (x *exchange) ended(cause error) error {
	if x.tries.runs == 0 {
		return cause
	}
	return &LostError{Cause: cause}
}

// place waits for an upstream.
func (x *exchange) place(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	release := context.AfterFunc(x.admitting, func() { cancel(context.Cause(x.admitting)) })
	defer release()
	if err := x.choose(ctx); err != nil {
		return linker.CauseOf(ctx, err)
	}
	return nil
}

// choose waits for an upstream, and for one that holds what is asked for.
func (x *exchange) choose(ctx context.Context) error {
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

// mostHeld is the part of the caller's time for which a stream's request may wait
// before it is refused: one that comes back has little time left, and needs the
// rest for its answer. Short answers can still be given near the end.
const mostHeld = 0.5

// usefulUntil is when the caller must have a first event, or the whole answer.
func (x *exchange) usefulUntil() time.Time {
	until := x.leavesAt()
	half := x.arrived.Add(time.Duration(mostHeld * float64(x.deadline.Sub(x.arrived))))
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

// leavesAt is when the caller will have left without a first event.
func (x *exchange) leavesAt() time.Time {
	patient := x.arrived.Add(x.route.EventTimeout())
	if patient.Before(x.deadline) {
		return patient
	}
	return x.deadline
}

// acquire asks for an upstream. A request that looks for one again is counted
// already.
func (x *exchange) acquire(ctx context.Context, counted bool) (*admitter.Grant, error) {
	if x.tries.sends > 0 && !x.disallowed {
		return x.Admitter.Reacquire(ctx, x.grant)
	}
	request := x.admission()
	request.Counted = counted || x.tries.sends > 0
	return x.Admitter.Acquire(ctx, request)
}

func (x *exchange) admission() admitter.Request {
	asked := admitter.Request{
		Class:    x.class,
		Rank:     x.route.Rank,
		Arrived:  x.arrived,
		Deadline: x.deadline,

		UsefulUntil: x.usefulUntil(),
		Route: router.Request{
			Service:          x.service,
			PromptTokens:     x.request.PromptTokens,
			AnswerTokens:     x.likelyTokens(),
			AvailabilityZone: x.AvailabilityZone,
			Seed:             xxhash.Sum64String(x.request.ID),
		},
	}
	if x.request.Model != "" && x.table.Configuration.Services[x.service].Engine != nil {
		asked.Route.Model = x.Holders.Name(x.service, x.request.Model, x.request.Adapter)
		asked.Route.Prefixes = x.parts(asked.Route.Model)
		asked.Route.BaseModel = x.Holders.Name(x.service, x.request.Model, "")
	}
	return asked
}

// parts returns the beginnings of the prompt that other requests for the same
// model and adapter may share.
func (x *exchange) parts(holds string) []router.Prefix {
	parts := make([]router.Prefix, 0, len(x.request.Parts))
	hash := xxhash.New()
	_, _ = hash.WriteString(holds)
	tokens := 0
	for _, part := range x.request.Parts {
		// a hash takes all that is written
		_, _ = hash.WriteString(" " + part.ID)
		tokens += part.Tokens
		parts = append(parts, router.Prefix{Hash: hash.Sum64(), Tokens: tokens})
	}
	return parts
}

// likelyTokens is the expected length of the answer: the caller's guess, or half
// of the most where it does not guess.
func (x *exchange) likelyTokens() int {
	if x.request.LikelyAnswerTokens > 0 {
		return x.request.LikelyAnswerTokens
	}
	return x.request.AnswerTokens / 2
}

// send makes one attempt at the upstream of the grant.
func (x *exchange) send(ctx context.Context) error {
	x.tries.sends++
	x.disallowed = false
	x.grant.Started = time.Now()
	choice := x.grant.Choice
	path := x.r.RequestURI
	sentAt := x.grant.Started
	x.limit = x.Upstreams.Limit(choice)
	response, err := x.Calls.Send(ctx, dispatcher.Call{
		Address:    choice.Address,
		Method:     x.r.Method,
		Path:       path,
		Host:       x.r.Host,
		Header:     x.Codec.EncodeSend(x.r.Header, x.sending(choice)),
		Body:       x.body,
		OwnsAnswer: func(header http.Header) bool { return x.Codec.Owns(x.request.ID, header) },
		Allowed:    func() bool { return x.Upstreams.Allows(choice) },
	})
	if err != nil {
		return x.unanswered(err)
	}
	said := x.Codec.DecodeAnswer(response, time.Now())
	x.Upstreams.ObserveNotice(choice, said.Notice, said.UnreadablePause)
	if said.Limit.Announced || !said.Elsewhere {
		// where another upstream answers, a limit that is not named says nothing
		x.Upstreams.ObserveLimit(choice, sentAt, said.Limit, said.UnreadableLimit)
	}
	if said.Notice.Leaving {
		// the connection is not kept
		response.Close = true
	}
	if said.NotRun {
		return x.notRun(response, said)
	}
	x.tries.runs++
	if x.route.Kind == matcher.Streaming && response.StatusCode == http.StatusOK {
		return x.stream(response, said)
	}
	return x.whole(response, said)
}

func (x *exchange) sending(choice router.Choice) Send {
	send := Send{
		Now:       time.Now(),
		Deadline:  x.deadline,
		Upstream:  choice.Upstream,
		Rank:      min(x.route.Rank, lowestRank),
		Ranked:    x.route.Kind == matcher.Streaming,
		LastEvent: x.request.LastEvent,
	}
	if x.last > 0 {
		send.LastEvent = formatID(x.last)
	}
	return send
}

// lowestRank is the last urgency that engines know.
const lowestRank = 9

// unanswered takes in a send that brought no answer.
func (x *exchange) unanswered(err error) error {
	var unsent *dispatcher.NotSentError
	if errors.As(err, &unsent) {
		outcome := router.OutcomeUnreachable
		x.disallowed = is[*dispatcher.DisallowedError](err)
		if x.disallowed {
			outcome = router.OutcomeCancelled
		}
		x.settle(outcome)
		x.grant.MarkNotSent()
		return &NotRunError{Retry: time.Now().Add(shortRetry)}
	}
	x.tries.runs++
	x.settle(router.OutcomeFailed)
	return &LostError{Cause: err}
}

// notRun takes in an upstream's word that it did not run the request.
func (x *exchange) notRun(response *http.Response, said Answer) error {
	dispatcher.Discard(response)
	if said.Elsewhere {
		x.Calls.CloseIdle(x.grant.Choice.Address)
	}
	x.settle(router.OutcomeRefused)
	return &NotRunError{Retry: time.Now().Add(shortRetry)}
}

// tokens is the length of the answer so far.
func (x *exchange) tokens() int { return x.events * x.eventTokens }

// settle ends the present grant.
func (x *exchange) settle(outcome router.Outcome) {
	x.grant.Done(admitter.Result{Ended: time.Now(), Tokens: x.tokens(), Outcome: outcome})
}
