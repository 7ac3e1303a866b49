package receiver

import (
	"context"
	"errors"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"burdocklink/admitter"
	"burdocklink/encoder"
	"burdocklink/relayer"
	"burdocklink/reporter"
	"burdocklink/router"
)

const (
	// bytesPerToken is the estimated size of a token of a prompt.
	bytesPerToken = 4
	// defaultAnswerTokens is the expected answer length of a request without a limit.
	defaultAnswerTokens = 256
)

func (r *Receiver) answerChat(x *exchange) error { return x.complete(true) }

func (r *Receiver) answerPrompt(x *exchange) error { return x.complete(false) }

func (x *exchange) complete(chat bool) error {
	if err := x.prepare(kindCompletion); err != nil {
		return err
	}
	body, err := x.readBody()
	if err != nil {
		return err
	}
	request, err := encoder.DecodeCompletion(body, chat)
	if err != nil {
		return err
	}
	route, err := x.modelRoute(request)
	if err != nil {
		return err
	}
	if x.class.RepeatForbidden {
		return x.completeOnce(request, route)
	}
	if !request.Stream && !request.SingleText {
		return x.runIdempotent(x.unaryCompletion(request, route))
	}
	return x.relay(request, route)
}

// completeOnce runs a completion whose class forbids repeats.
func (x *exchange) completeOnce(request *encoder.Completion, route router.Request) error {
	if request.Stream {
		return &StreamNotPossibleError{Class: x.class.Name}
	}
	return x.runOnce(x.unaryCompletion(request, route))
}

func (x *exchange) unaryCompletion(request *encoder.Completion, route router.Request) unaryRequest {
	return unaryRequest{
		route:  route,
		method: http.MethodPost,
		path:   x.r.URL.Path,
		header: http.Header{"Content-Type": {"application/json"}},
		body:   request.Body(),
		// without a stream there is no sign of progress before the answer
		timeout: answerTimeout(x.class.Target, x.Settings.RequestTimeout),
	}
}

// relay reads the answer from engines as a stream, and passes it to the caller as a
// stream or in one piece.
func (x *exchange) relay(request *encoder.Completion, route router.Request) error {
	opener := &streamOpener{guard: x.newGuard(request.Body(), promptParts(request, route)), request: request, route: route}
	defer opener.end()
	collected := &collector{}
	var sink relayer.Sink = collected
	if request.Stream {
		sink = &eventSink{exchange: x}
	}
	err := relayer.Relay(x.ctx, opener, sink)
	var rejected *requestRejectedError
	if errors.As(err, &rejected) && !x.headerSent {
		return x.passAnswer(rejected.upstream, rejected.answer)
	}
	if err != nil {
		return x.failRelay(opener, err)
	}
	opener.finishStream(router.OutcomeFinished)
	if request.Stream {
		return nil
	}
	return x.writeJSON(http.StatusOK, encoder.OutcomeRan, collected.answer(request.Chat))
}

// failRelay finishes the last stream and distinguishes callers that disconnected from
// answers that failed.
func (x *exchange) failRelay(opener *streamOpener, err error) error {
	var callerGone *relayer.CallerError
	if errors.As(err, &callerGone) || errors.Is(err, context.Canceled) {
		x.result = reporter.ResultAbandoned
		opener.finishStream(router.OutcomeCancelled)
		return &callerGoneError{Cause: err}
	}
	opener.finishStream(router.OutcomeFailed)
	return err
}

// modelRoute returns the routing request for an engine.
func (x *exchange) modelRoute(request *encoder.Completion) (router.Request, error) {
	base := request.Model
	if adapter, ok := x.catalog.Adapters[request.Model]; ok {
		base = adapter.Model
	}
	model, ok := x.catalog.Models[base]
	if !ok {
		return router.Request{}, &UnknownModelError{Name: request.Model}
	}
	expected := request.MaxTokens
	if expected == 0 {
		expected = defaultAnswerTokens
	}
	return router.Request{
		Service:          model.Service,
		Model:            request.Model,
		BaseModel:        base,
		PromptTokens:     request.PromptBytes/bytesPerToken + 1,
		AnswerTokens:     expected,
		Prefixes:         promptPrefixes(request),
		AvailabilityZone: x.Settings.AvailabilityZone,
		Seed:             xxhash.Sum64String(x.id),
	}, nil
}

// promptPrefixes returns a hash of the beginning of the prompt, which the requests of
// a conversation share.
func promptPrefixes(request *encoder.Completion) []router.Prefix {
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.WriteString(request.Model)
	_, _ = hash.Write(request.PromptHead)
	return []router.Prefix{{Hash: hash.Sum64(), Tokens: len(request.PromptHead) / bytesPerToken}}
}

// admissionRequest returns the admission request for a route.
func (x *exchange) admissionRequest(route router.Request) admitter.Request {
	return admitter.Request{
		Subscriber: x.identity.Name,
		Class:      x.class,
		Arrived:    x.arrived,
		Deadline:   x.deadline,
		Route:      route,
	}
}
