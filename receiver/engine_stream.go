package receiver

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdocklink/admitter"
	"burdocklink/dispatcher"
	"burdocklink/encoder"
	"burdocklink/linker"
	"burdocklink/quarantiner"
	"burdocklink/relayer"
	"burdocklink/router"
)

const (
	// maxOpenTries is how many engines are tried for one stream.
	maxOpenTries = 4
	// openRetryDelay is the wait before engines that were tried are tried again.
	openRetryDelay = 200 * time.Millisecond
)

// streamOpener opens the engine streams of one answer. It is not safe for concurrent
// use.
type streamOpener struct {
	*guard
	request *encoder.Completion
	route   router.Request
	// origin is the engine that began the answer; zero before the first event, and where the
	// platform names no software versions.
	origin router.Origin
	// grant, attemptID and streamTokens belong to the current stream.
	grant        *admitter.Grant
	attemptID    string
	streamTokens int
	// resumeOutcome is the outcome of the last failed resume on the current engine.
	resumeOutcome router.Outcome
}

// requestRejectedError carries the answer of an engine that rejects the request
// itself, which is passed on to the caller unchanged.
type requestRejectedError struct {
	upstream string
	answer   dispatcher.Answer
}

func (e *requestRejectedError) Error() string {
	return "the engine refused the request with status " + strconv.Itoa(e.answer.Status)
}

// engineCrashedError reports that engines crashed under a request, so it is not sent to
// another one.
type engineCrashedError struct{}

func (e *engineCrashedError) Error() string { return "the engine crashed when it began to answer" }

// answerMismatchError reports that an answer belongs to another request.
type answerMismatchError struct{ got string }

func (e *answerMismatchError) Error() string { return "the answer belongs to request " + e.got }

// Open starts the answer on an engine, or continues it from the part that the caller
// has.
func (o *streamOpener) Open(ctx context.Context, from relayer.Prefix) (relayer.Source, error) {
	for tries := 1; ; tries++ {
		if !o.sends.MayRetry() {
			return nil, &engineCrashedError{}
		}
		if err := o.await(ctx); err != nil {
			return nil, err
		}
		if err := o.selectEngine(ctx, from); err != nil {
			return nil, linker.CauseOf(ctx, err)
		}
		if !o.pass.Valid() {
			returnGrant(o.grant)
			o.attemptID = ""
			continue
		}
		source, err := o.startStream(ctx, from)
		if err == nil {
			return source, nil
		}
		o.finishStream(openOutcome(err))
		var rejected *requestRejectedError
		if ctx.Err() != nil || errors.As(err, &rejected) || tries >= maxOpenTries {
			return nil, linker.CauseOf(ctx, err)
		}
	}
}

// promptParts returns the part of the prompt that other requests of the model's service
// may share: its beginning.
func promptParts(request *encoder.Completion, route router.Request) []string {
	hash := strconv.FormatUint(xxhash.Sum64(request.PromptHead), 16)
	return []string{route.Service + "/" + hash}
}

// selectEngine finishes the current stream and acquires an engine for the next one.
func (o *streamOpener) selectEngine(ctx context.Context, from relayer.Prefix) error {
	o.finishStream(cmp.Or(o.resumeOutcome, router.OutcomeFailed))
	o.resumeOutcome = 0
	previous := o.grant
	grant, err := o.acquire(ctx, previous, from)
	var noUpstream *router.NoUpstreamError
	if previous != nil && errors.As(err, &noUpstream) {
		// there is no other engine: the one that failed may have recovered
		if err := sleep(ctx, openRetryDelay); err != nil {
			return err
		}
		grant, err = o.Admitter.Acquire(ctx, o.nextAdmissionRequest(from, nil))
	}
	if err != nil {
		return err
	}
	o.grant = grant
	o.attemptID = o.newAttemptID()
	o.streamTokens = 0
	return nil
}

func (o *streamOpener) acquire(ctx context.Context, previous *admitter.Grant, from relayer.Prefix) (*admitter.Grant, error) {
	switch {
	case previous == nil:
		return o.Admitter.Acquire(ctx, o.admissionRequest(o.route))
	case from.Events > 0:
		// the answer is continued and not repeated, so the retry budget is not charged
		return o.Admitter.Acquire(ctx, o.nextAdmissionRequest(from, []string{previous.Choice.Upstream}))
	default:
		return o.Admitter.Reacquire(ctx, previous)
	}
}

// nextAdmissionRequest returns the admission request for a further stream. If the
// caller has a part of the answer, its target for the first token was already met or
// missed, so the request counts as arrived now.
func (o *streamOpener) nextAdmissionRequest(from relayer.Prefix, avoid []string) admitter.Request {
	request := o.admissionRequest(o.route)
	if from.Events > 0 {
		request.Arrived = time.Now()
		request.Route.PromptTokens += from.Events
	}
	request.Route.Avoid = avoid
	request.Route.Origin = o.origin
	return request
}

// startStream sends the request to the engine of the grant, and once more if the
// connection failed.
func (o *streamOpener) startStream(ctx context.Context, from relayer.Prefix) (relayer.Source, error) {
	body, err := o.body(from)
	if err != nil {
		return nil, err
	}
	call := dispatcher.Call{
		Address:      o.grant.Choice.Address,
		Method:       http.MethodPost,
		Path:         o.r.URL.Path,
		Header:       o.header(),
		Body:         body,
		StallTimeout: o.firstEventTimeout(),
		OnHeader:     o.onHeader(o.grant.Choice),
	}
	source, err := o.openStream(ctx, call)
	var interrupted *dispatcher.InterruptedError
	if ctx.Err() != nil || !errors.As(err, &interrupted) || o.checkCrash(ctx, o.grant.Choice, quarantiner.StageWaiting, 0) {
		return source, err
	}
	return o.restartStream(ctx, call)
}

// restartStream retries on a new connection after one failed. The engine may be
// healthy and may have received the request, so the stream is resumed if possible.
func (o *streamOpener) restartStream(ctx context.Context, call dispatcher.Call) (relayer.Source, error) {
	source, err := o.Resume(ctx, 0)
	var unknownStream *relayer.UnknownStreamError
	if !errors.As(err, &unknownStream) {
		return source, err
	}
	if !o.Upstreams.TakePermit(o.grant.Choice) {
		return nil, err
	}
	o.attemptID = o.newAttemptID()
	call.Header = o.header()
	call.NewConnection = true
	return o.openStream(ctx, call)
}

func (o *streamOpener) body(from relayer.Prefix) ([]byte, error) {
	if from.Events == 0 {
		return o.request.StreamingBody()
	}
	return o.request.ContinuationBody(from.Text, from.Events)
}

func (o *streamOpener) header() http.Header {
	return http.Header{
		"Content-Type":           {"application/json"},
		"Accept":                 {"text/event-stream"},
		encoder.HeaderRequestID:  {o.attemptID},
		encoder.HeaderPriority:   {strconv.Itoa(o.grant.Priority)},
		encoder.HeaderSubscriber: {o.identity.Name},
	}
}

// Resume continues the current stream after the event with the given ID, on a new
// connection. If the engine's rate limit permits no request now, it returns an
// *relayer.UnknownStreamError, so that the answer is continued elsewhere.
func (o *streamOpener) Resume(ctx context.Context, after uint64) (relayer.Source, error) {
	if o.sends.Crashed {
		return nil, &relayer.UnknownStreamError{}
	}
	if !o.Upstreams.TakePermit(o.grant.Choice) {
		return nil, &relayer.UnknownStreamError{}
	}
	header := o.header()
	header.Set(encoder.HeaderLastEventID, strconv.FormatUint(after, 10))
	source, err := o.openStream(ctx, dispatcher.Call{
		Address:       o.grant.Choice.Address,
		Method:        http.MethodGet,
		Path:          encoder.PathStreams + o.attemptID,
		Header:        header,
		NewConnection: true,
		StallTimeout:  resumeTimeout,
		OnHeader:      o.onHeader(o.grant.Choice),
	})
	if err == nil {
		// an engine that knows the stream gets the timeout of a new one
		source.(*engineStream).timeout = o.firstEventTimeout()
	}
	var status *UpstreamStatusError
	if errors.As(err, &status) || is[*requestRejectedError](err) {
		return nil, &relayer.UnknownStreamError{}
	}
	if err != nil {
		o.resumeOutcome = openOutcome(err)
	}
	return source, err
}

// openStream makes a call that is answered with an event stream.
func (o *streamOpener) openStream(ctx context.Context, call dispatcher.Call) (relayer.Source, error) {
	response, err := o.Dispatcher.OpenStream(ctx, call)
	if err != nil {
		o.mayHaveRun = o.mayHaveRun || !is[*dispatcher.NotSentError](err)
		return nil, err
	}
	if got := response.Header.Get(encoder.HeaderRequestID); got != "" && got != o.attemptID {
		o.mayHaveRun = true
		_ = response.Body.Close()
		return nil, &answerMismatchError{got: got}
	}
	if response.StatusCode != http.StatusOK {
		return nil, o.responseError(call.Address, response)
	}
	o.mayHaveRun = true
	if !o.headerSent {
		o.w.Header().Set(encoder.HeaderUpstream, o.grant.Choice.Upstream)
	}
	return &engineStream{
		Stream:    relayer.NewStream(response.Body),
		opener:    o,
		attemptID: o.attemptID,
		body:      response.Body,
		timeout:   call.StallTimeout,
	}, nil
}

// responseError returns an *UpstreamStatusError if another engine may serve the
// request, and a *requestRejectedError if the request is at fault.
func (o *streamOpener) responseError(address string, response *http.Response) error {
	answer, err := o.Dispatcher.ReadAll(address, response)
	if err != nil {
		o.mayHaveRun = true
		return err
	}
	notRun := answer.Header.Get(encoder.HeaderNotRun) != ""
	switch {
	case notRun, answer.Status == http.StatusNotFound, answer.Status == http.StatusTooManyRequests:
		return &UpstreamStatusError{Status: answer.Status}
	case answer.Status >= http.StatusInternalServerError:
		o.mayHaveRun = true
		return &UpstreamStatusError{Status: answer.Status}
	default:
		o.mayHaveRun = true
		return &requestRejectedError{upstream: o.grant.Choice.Upstream, answer: answer}
	}
}

// finishStream releases the grant of the current stream once. A stream that may still
// run is cancelled.
func (o *streamOpener) finishStream(outcome router.Outcome) {
	if o.grant == nil || o.attemptID == "" {
		return
	}
	o.grant.Done(admitter.Result{Ended: time.Now(), Tokens: o.streamTokens, Outcome: outcome})
	if outcome == router.OutcomeFinished {
		o.pass.Completed()
	} else {
		o.canceller.cancel(o.grant.Choice.Address, o.attemptID)
	}
	o.attemptID = ""
}

// engineStream records the events of one stream as they arrive.
type engineStream struct {
	*relayer.Stream
	opener    *streamOpener
	attemptID string
	body      io.ReadCloser
	started   bool
	// timeout bounds the wait for the next event.
	timeout time.Duration
}

// RequestID returns the attempt ID that the stream belongs to.
func (s *engineStream) RequestID() string { return s.attemptID }

// Next returns the next event.
func (s *engineStream) Next() (relayer.Event, error) {
	if body, ok := s.body.(dispatcher.PieceReader); ok {
		body.BeginPiece(s.timeout)
	}
	event, err := s.Stream.Next()
	if err != nil {
		s.opener.checkBreak()
		return event, err
	}
	s.opener.recordEvent()
	if !s.started {
		s.started = true
		s.timeout = s.opener.nextEventTimeout()
	}
	return event, nil
}

// checkBreak finds out whether the engine has crashed after it began to answer.
func (o *streamOpener) checkBreak() {
	stage := quarantiner.StageAnswering
	if o.tokens == 0 && o.streamTokens == 0 {
		stage = quarantiner.StageBeginning
	}
	o.checkCrash(o.ctx, o.grant.Choice, stage, o.streamTokens)
}

func (o *streamOpener) recordEvent() {
	o.streamTokens++
	o.tokens++
	o.pass.Lasted(o.streamTokens)
	if o.tokens == 1 && o.softwareDiffers() {
		o.origin = o.grant.Choice.Origin()
	}
	if o.streamTokens == 2 {
		o.pass.Answered()
	}
	if o.streamTokens > 1 {
		return
	}
	now := time.Now()
	o.grant.FirstToken(now)
	if o.firstToken.IsZero() {
		o.firstToken = now
	}
}

// softwareDiffers reports whether the platform names a software version of any engine of
// the service. An engine without one then differs from all others.
func (o *streamOpener) softwareDiffers() bool {
	return slices.ContainsFunc(o.catalog.Services[o.route.Service], func(name string) bool {
		return o.catalog.Upstreams[name].Software != ""
	})
}

// openOutcome returns the outcome that the router records for a failed start or
// resume.
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
