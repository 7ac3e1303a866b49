package receiver

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"burdocklink/admitter"
	"burdocklink/dispatcher"
	"burdocklink/encoder"
	"burdocklink/linker"
	"burdocklink/relayer"
	"burdocklink/router"
)

const (
	// openTries is how many engines are tried for one stream.
	openTries = 4
	// openPause is the wait before the same engines are tried again.
	openPause = 200 * time.Millisecond
)

// engines opens the streams of one answer. It is used by one goroutine.
type engines struct {
	*exchange
	request *encoder.Completion
	route   router.Request
	// grant, attempt and tokens are of the present stream.
	grant     *admitter.Grant
	attemptID string
	legTokens int
	// leaving is what the last failed resume says of the present engine.
	leaving router.Outcome
}

// answeredError carries an engine's refusal of the request itself, which goes
// to the caller as it is.
type answeredError struct {
	upstream string
	answer   dispatcher.Answer
}

func (e *answeredError) Error() string {
	return "the engine refused the request with status " + strconv.Itoa(e.answer.Status)
}

// identityError says that a stream belongs to another request.
type identityError struct{ got string }

func (e *identityError) Error() string { return "the stream belongs to request " + e.got }

// Open starts the answer or continues it after what the caller has.
func (e *engines) Open(ctx context.Context, from relayer.Prefix) (relayer.Source, error) {
	for tries := 1; ; tries++ {
		if err := e.place(ctx, from); err != nil {
			return nil, linker.CauseOf(ctx, err)
		}
		source, err := e.start(ctx, from)
		if err == nil {
			return source, nil
		}
		e.settle(outcomeOf(err))
		var refused *answeredError
		if ctx.Err() != nil || errors.As(err, &refused) || tries >= openTries {
			return nil, linker.CauseOf(ctx, err)
		}
	}
}

// place finds an engine for the next stream.
func (e *engines) place(ctx context.Context, from relayer.Prefix) error {
	e.settle(cmp.Or(e.leaving, router.OutcomeFailed))
	e.leaving = 0
	before := e.grant
	grant, err := e.acquire(ctx, before, from)
	var nowhere *router.NoUpstreamError
	if before != nil && errors.As(err, &nowhere) {
		// no other engine: the one that failed may have recovered
		if err := sleep(ctx, openPause); err != nil {
			return err
		}
		grant, err = e.Admitter.Acquire(ctx, e.admissionNow(from, nil))
	}
	if err != nil {
		return err
	}
	e.grant = grant
	e.attemptID = e.attempt()
	e.legTokens = 0
	return nil
}

func (e *engines) acquire(ctx context.Context, before *admitter.Grant, from relayer.Prefix) (*admitter.Grant, error) {
	switch {
	case before == nil:
		return e.Admitter.Acquire(ctx, e.admission(e.route))
	case from.Events > 0:
		// what the caller has is kept: this is the rest of a request, not a retry
		return e.Admitter.Acquire(ctx, e.admissionNow(from, []string{before.Choice.Upstream}))
	default:
		return e.Admitter.Reacquire(ctx, before)
	}
}

// admissionNow asks for an upstream once more. The target of the first token
// was met or missed already where the caller has a part of the answer.
func (e *engines) admissionNow(from relayer.Prefix, avoid []string) admitter.Request {
	asked := e.admission(e.route)
	if from.Events > 0 {
		asked.Arrived = time.Now()
		asked.Route.PromptTokens += from.Events
	}
	asked.Route.Avoid = avoid
	return asked
}

// start sends the request to the engine of the grant.
func (e *engines) start(ctx context.Context, from relayer.Prefix) (relayer.Source, error) {
	body, err := e.body(from)
	if err != nil {
		return nil, err
	}
	call := dispatcher.Call{
		Address:      e.grant.Choice.Address,
		Method:       http.MethodPost,
		Path:         e.r.URL.Path,
		Header:       e.header(),
		Body:         body,
		StallTimeout: e.firstSilence(),
		OnHeader:     e.onHeader(e.grant.Choice),
	}
	source, err := e.stream(ctx, call)
	var interrupted *dispatcher.InterruptedError
	if ctx.Err() != nil || !errors.As(err, &interrupted) {
		return source, err
	}
	return e.startAfresh(ctx, call)
}

// startAfresh uses a new connection after one failed: the engine may be fine,
// and may even have the request.
func (e *engines) startAfresh(ctx context.Context, call dispatcher.Call) (relayer.Source, error) {
	source, err := e.Resume(ctx, 0)
	var forgotten *relayer.UnknownStreamError
	if !errors.As(err, &forgotten) {
		return source, err
	}
	if !e.Upstreams.TakePermit(e.grant.Choice) {
		return nil, err
	}
	e.attemptID = e.attempt()
	call.Header = e.header()
	call.NewConnection = true
	return e.stream(ctx, call)
}

func (e *engines) body(from relayer.Prefix) ([]byte, error) {
	if from.Events == 0 {
		return e.request.StreamingBody()
	}
	return e.request.ContinuationBody(from.Text, from.Events)
}

func (e *engines) header() http.Header {
	return http.Header{
		"Content-Type":           {"application/json"},
		"Accept":                 {"text/event-stream"},
		encoder.HeaderRequestID:  {e.attemptID},
		encoder.HeaderPriority:   {strconv.Itoa(e.grant.Priority)},
		encoder.HeaderSubscriber: {e.identity.Name},
	}
}

// Resume reads on after an event of the present stream, over a connection
// that nothing used before. Where the engine takes no more requests now, the answer
// is continued elsewhere.
func (e *engines) Resume(ctx context.Context, after uint64) (relayer.Source, error) {
	if !e.Upstreams.TakePermit(e.grant.Choice) {
		return nil, &relayer.UnknownStreamError{}
	}
	header := e.header()
	header.Set(encoder.HeaderLastEventID, strconv.FormatUint(after, 10))
	source, err := e.stream(ctx, dispatcher.Call{
		Address:       e.grant.Choice.Address,
		Method:        http.MethodGet,
		Path:          encoder.PathStreams + e.attemptID,
		Header:        header,
		NewConnection: true,
		StallTimeout:  resumeSilence,
		OnHeader:      e.onHeader(e.grant.Choice),
	})
	if err == nil {
		// an engine that knows the stream gets the time of a new one
		source.(*leg).silence = e.firstSilence()
	}
	var status *UpstreamStatusError
	if errors.As(err, &status) || is[*answeredError](err) {
		return nil, &relayer.UnknownStreamError{}
	}
	if err != nil {
		e.leaving = outcomeOf(err)
	}
	return source, err
}

// stream makes a call that answers with events.
func (e *engines) stream(ctx context.Context, call dispatcher.Call) (relayer.Source, error) {
	response, err := e.Calls.OpenStream(ctx, call)
	if err != nil {
		e.sent = e.sent || !is[*dispatcher.NotSentError](err)
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, e.refused(call.Address, response)
	}
	e.sent = true
	if got := response.Header.Get(encoder.HeaderRequestID); got != "" && got != e.attemptID {
		_ = response.Body.Close()
		return nil, &identityError{got: got}
	}
	if !e.answered {
		e.w.Header().Set(encoder.HeaderUpstream, e.grant.Choice.Upstream)
	}
	return &leg{
		Stream:   relayer.NewStream(response.Body),
		engines:  e,
		identity: e.attemptID,
		body:     response.Body,
		silence:  call.StallTimeout,
	}, nil
}

// refused tells an engine that cannot work now from a request at fault.
func (e *engines) refused(address string, response *http.Response) error {
	answer, err := e.Calls.ReadAll(address, response)
	if err != nil {
		e.sent = true
		return err
	}
	notRun := answer.Header.Get(encoder.HeaderNotRun) != ""
	switch {
	case notRun, answer.Status == http.StatusNotFound, answer.Status == http.StatusTooManyRequests:
		return &UpstreamStatusError{Status: answer.Status}
	case answer.Status >= http.StatusInternalServerError:
		e.sent = true
		return &UpstreamStatusError{Status: answer.Status}
	default:
		e.sent = true
		return &answeredError{upstream: e.grant.Choice.Upstream, answer: answer}
	}
}

// settle ends the present stream once, and cancels it where it may still run.
func (e *engines) settle(outcome router.Outcome) {
	if e.grant == nil || e.attemptID == "" {
		return
	}
	e.grant.Done(admitter.Result{Ended: time.Now(), Tokens: e.legTokens, Outcome: outcome})
	if outcome != router.OutcomeFinished {
		e.canceller.cancel(e.grant.Choice.Address, e.attemptID)
	}
	e.attemptID = ""
}

// leg notes the events of one stream as they arrive.
type leg struct {
	*relayer.Stream
	engines  *engines
	identity string
	body     io.ReadCloser
	begun    bool
	// silence is the longest wait for the next event.
	silence time.Duration
}

// RequestID returns the attempt that the stream belongs to.
func (l *leg) RequestID() string { return l.identity }

// Next returns the next event.
func (l *leg) Next() (relayer.Event, error) {
	if body, ok := l.body.(dispatcher.PieceReader); ok {
		body.BeginPiece(l.silence)
	}
	event, err := l.Stream.Next()
	if err != nil {
		return event, err
	}
	l.engines.note()
	if !l.begun {
		l.begun = true
		l.silence = l.engines.nextSilence()
	}
	return event, nil
}

func (e *engines) note() {
	e.legTokens++
	e.tokens++
	if e.legTokens > 1 {
		return
	}
	now := time.Now()
	e.grant.FirstToken(now)
	if e.firstToken.IsZero() {
		e.firstToken = now
	}
}

// outcomeOf tells the router what a failed start says of the engine.
func outcomeOf(err error) router.Outcome {
	switch {
	case is[*dispatcher.NotSentError](err), is[*dispatcher.StalledError](err):
		return router.OutcomeUnreachable
	case is[*UpstreamStatusError](err), is[*answeredError](err):
		return router.OutcomeRefused
	default:
		return router.OutcomeFailed
	}
}

func sleep(ctx context.Context, length time.Duration) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
