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
	// maxOpenTries is how many engines are tried for one stream.
	maxOpenTries = 4
	// openRetryDelay is the wait before the same engines are tried again.
	openRetryDelay = 200 * time.Millisecond
)

// streamOpener opens the streams of one answer. It is used by one goroutine.
type streamOpener struct {
	*exchange
	request *encoder.Completion
	route   router.Request
	// grant, attempt and tokens are of the present stream.
	grant        *admitter.Grant
	attemptID    string
	streamTokens int
	// resumeOutcome is what the last failed resume says of the present engine.
	resumeOutcome router.Outcome
}

// requestRejectedError carries an engine's refusal of the request itself, which goes
// to the caller as it is.
type requestRejectedError struct {
	upstream string
	answer   dispatcher.Answer
}

func (e *requestRejectedError) Error() string {
	return "the engine refused the request with status " + strconv.Itoa(e.answer.Status)
}

// streamMismatchError says that a stream belongs to another request.
type streamMismatchError struct{ got string }

func (e *streamMismatchError) Error() string { return "the stream belongs to request " + e.got }

// Open starts the answer or continues it after what the caller has.
func (e *streamOpener) Open(ctx context.Context, from relayer.Prefix) (relayer.Source, error) {
	for tries := 1; ; tries++ {
		if err := e.selectEngine(ctx, from); err != nil {
			return nil, linker.CauseOf(ctx, err)
		}
		source, err := e.startStream(ctx, from)
		if err == nil {
			return source, nil
		}
		e.finishStream(openOutcome(err))
		var rejected *requestRejectedError
		if ctx.Err() != nil || errors.As(err, &rejected) || tries >= maxOpenTries {
			return nil, linker.CauseOf(ctx, err)
		}
	}
}

// selectEngine finds an engine for the next stream.
func (e *streamOpener) selectEngine(ctx context.Context, from relayer.Prefix) error {
	e.finishStream(cmp.Or(e.resumeOutcome, router.OutcomeFailed))
	e.resumeOutcome = 0
	previous := e.grant
	grant, err := e.acquire(ctx, previous, from)
	var noUpstream *router.NoUpstreamError
	if previous != nil && errors.As(err, &noUpstream) {
		// no other engine: the one that failed may have recovered
		if err := sleep(ctx, openRetryDelay); err != nil {
			return err
		}
		grant, err = e.Admitter.Acquire(ctx, e.nextAdmissionRequest(from, nil))
	}
	if err != nil {
		return err
	}
	e.grant = grant
	e.attemptID = e.newAttemptID()
	e.streamTokens = 0
	return nil
}

func (e *streamOpener) acquire(ctx context.Context, previous *admitter.Grant, from relayer.Prefix) (*admitter.Grant, error) {
	switch {
	case previous == nil:
		return e.Admitter.Acquire(ctx, e.admissionRequest(e.route))
	case from.Events > 0:
		// what the caller has is kept: this is the rest of a request, not a retry
		return e.Admitter.Acquire(ctx, e.nextAdmissionRequest(from, []string{previous.Choice.Upstream}))
	default:
		return e.Admitter.Reacquire(ctx, previous)
	}
}

// nextAdmissionRequest asks for an upstream once more. The target of the first token
// was met or missed already where the caller has a part of the answer.
func (e *streamOpener) nextAdmissionRequest(from relayer.Prefix, avoid []string) admitter.Request {
	request := e.admissionRequest(e.route)
	if from.Events > 0 {
		request.Arrived = time.Now()
		request.Route.PromptTokens += from.Events
	}
	request.Route.Avoid = avoid
	return request
}

// startStream sends the request to the engine of the grant.
func (e *streamOpener) startStream(ctx context.Context, from relayer.Prefix) (relayer.Source, error) {
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
		StallTimeout: e.firstEventTimeout(),
		OnHeader:     e.onHeader(e.grant.Choice),
	}
	source, err := e.openStream(ctx, call)
	var interrupted *dispatcher.InterruptedError
	if ctx.Err() != nil || !errors.As(err, &interrupted) {
		return source, err
	}
	return e.restartStream(ctx, call)
}

// restartStream uses a new connection after one failed: the engine may be fine,
// and may even have the request.
func (e *streamOpener) restartStream(ctx context.Context, call dispatcher.Call) (relayer.Source, error) {
	source, err := e.Resume(ctx, 0)
	var unknownStream *relayer.UnknownStreamError
	if !errors.As(err, &unknownStream) {
		return source, err
	}
	if !e.Upstreams.TakePermit(e.grant.Choice) {
		return nil, err
	}
	e.attemptID = e.newAttemptID()
	call.Header = e.header()
	call.NewConnection = true
	return e.openStream(ctx, call)
}

func (e *streamOpener) body(from relayer.Prefix) ([]byte, error) {
	if from.Events == 0 {
		return e.request.Streamed()
	}
	return e.request.Continued(from.Text, from.Events)
}

func (e *streamOpener) header() http.Header {
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
func (e *streamOpener) Resume(ctx context.Context, after uint64) (relayer.Source, error) {
	if !e.Upstreams.TakePermit(e.grant.Choice) {
		return nil, &relayer.UnknownStreamError{}
	}
	header := e.header()
	header.Set(encoder.HeaderLastEventID, strconv.FormatUint(after, 10))
	source, err := e.openStream(ctx, dispatcher.Call{
		Address:       e.grant.Choice.Address,
		Method:        http.MethodGet,
		Path:          encoder.PathStreams + e.attemptID,
		Header:        header,
		NewConnection: true,
		StallTimeout:  resumeTimeout,
		OnHeader:      e.onHeader(e.grant.Choice),
	})
	if err == nil {
		// an engine that knows the stream gets the time of a new one
		source.(*engineStream).timeout = e.firstEventTimeout()
	}
	var status *UpstreamStatusError
	if errors.As(err, &status) || is[*requestRejectedError](err) {
		return nil, &relayer.UnknownStreamError{}
	}
	if err != nil {
		e.resumeOutcome = openOutcome(err)
	}
	return source, err
}

// openStream makes a call that answers with events.
func (e *streamOpener) openStream(ctx context.Context, call dispatcher.Call) (relayer.Source, error) {
	response, err := e.Dispatcher.OpenStream(ctx, call)
	if err != nil {
		e.mayHaveRun = e.mayHaveRun || !is[*dispatcher.NotSentError](err)
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, e.refusalOf(call.Address, response)
	}
	e.mayHaveRun = true
	if got := response.Header.Get(encoder.HeaderRequestID); got != "" && got != e.attemptID {
		_ = response.Body.Close()
		return nil, &streamMismatchError{got: got}
	}
	if !e.headerSent {
		e.w.Header().Set(encoder.HeaderUpstream, e.grant.Choice.Upstream)
	}
	return &engineStream{
		Stream:    relayer.NewStream(response.Body),
		opener:    e,
		attemptID: e.attemptID,
		body:      response.Body,
		timeout:   call.StallTimeout,
	}, nil
}

// refusalOf tells an engine that cannot work now from a request at fault.
func (e *streamOpener) refusalOf(address string, response *http.Response) error {
	answer, err := e.Dispatcher.ReadAll(address, response)
	if err != nil {
		e.mayHaveRun = true
		return err
	}
	notRun := answer.Header.Get(encoder.HeaderNotRun) != ""
	switch {
	case notRun, answer.Status == http.StatusNotFound, answer.Status == http.StatusTooManyRequests:
		return &UpstreamStatusError{Status: answer.Status}
	case answer.Status >= http.StatusInternalServerError:
		e.mayHaveRun = true
		return &UpstreamStatusError{Status: answer.Status}
	default:
		e.mayHaveRun = true
		return &requestRejectedError{upstream: e.grant.Choice.Upstream, answer: answer}
	}
}

// finishStream ends the present stream once, and cancels it where it may still run.
func (e *streamOpener) finishStream(outcome router.Outcome) {
	if e.grant == nil || e.attemptID == "" {
		return
	}
	e.grant.Done(admitter.Result{Ended: time.Now(), Tokens: e.streamTokens, Outcome: outcome})
	if outcome != router.OutcomeFinished {
		e.canceller.cancel(e.grant.Choice.Address, e.attemptID)
	}
	e.attemptID = ""
}

// engineStream notes the events of one stream as they arrive.
type engineStream struct {
	*relayer.Stream
	opener    *streamOpener
	attemptID string
	body      io.ReadCloser
	started   bool
	// timeout is the longest wait for the next event.
	timeout time.Duration
}

// RequestID returns the attempt that the stream belongs to.
func (l *engineStream) RequestID() string { return l.attemptID }

// Next returns the next event.
func (l *engineStream) Next() (relayer.Event, error) {
	if body, ok := l.body.(dispatcher.PieceReader); ok {
		body.BeginPiece(l.timeout)
	}
	event, err := l.Stream.Next()
	if err != nil {
		return event, err
	}
	l.opener.recordEvent()
	if !l.started {
		l.started = true
		l.timeout = l.opener.nextEventTimeout()
	}
	return event, nil
}

func (e *streamOpener) recordEvent() {
	e.streamTokens++
	e.tokens++
	if e.streamTokens > 1 {
		return
	}
	now := time.Now()
	e.grant.FirstToken(now)
	if e.firstToken.IsZero() {
		e.firstToken = now
	}
}

// openOutcome tells the router what a failed start says of the engine.
func openOutcome(err error) router.Outcome {
	switch {
	case is[*dispatcher.NotSentError](err), is[*dispatcher.StalledError](err):
		return router.OutcomeUnreachable
	case is[*UpstreamStatusError](err), is[*requestRejectedError](err):
		return router.OutcomeRefused
	default:
		return router.OutcomeFailed
	}
}

func sleep(ctx context.Context, delay time.Duration) error {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
