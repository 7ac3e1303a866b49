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
	// bytesPerToken estimates the length of a prompt.
	bytesPerToken = 4
	// answerTokens is expected of a request without a limit.
	answerTokens = 256
)

func (r *Receiver) answerChat(x *exchange) error { return x.complete(true) }

func (r *Receiver) answerPrompt(x *exchange) error { return x.complete(false) }

func (x *exchange) complete(chat bool) error {
	if err := x.admit(kindCompletion); err != nil {
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
		return x.whole(x.completionWork(request, route))
	}
	return x.relay(request, route)
}

// completeOnce runs a completion of a class that forbids repeats.
func (x *exchange) completeOnce(request *encoder.Completion, route router.Request) error {
	if request.Stream {
		return &StreamNotPossibleError{Class: x.class.Name}
	}
	return x.once(x.completionWork(request, route))
}

func (x *exchange) completionWork(request *encoder.Completion, route router.Request) work {
	return work{
		route:  route,
		method: http.MethodPost,
		path:   x.r.URL.Path,
		header: http.Header{"Content-Type": {"application/json"}},
		body:   request.Body(),
		// without a stream nothing shows that the engine is at work
		silence: wholeSilence(x.class.Target, x.Settings.RequestTime),
	}
}

// relay streams the answer from engines and passes it on, as a stream or put
// together.
func (x *exchange) relay(request *encoder.Completion, route router.Request) error {
	legs := &engines{exchange: x, request: request, route: route}
	whole := &collector{}
	var sink relayer.Sink = whole
	if request.Stream {
		sink = &eventSink{exchange: x}
	}
	err := relayer.Relay(x.ctx, legs, sink)
	var refused *answeredError
	if errors.As(err, &refused) && !x.answered {
		return x.passAnswer(refused.upstream, refused.answer)
	}
	if err != nil {
		return x.breakRelay(legs, err)
	}
	legs.settle(router.OutcomeFinished)
	if request.Stream {
		return nil
	}
	return x.writeJSON(http.StatusOK, encoder.OutcomeRan, whole.answer(request.Chat))
}

// breakRelay settles the last stream and tells a caller that left from an
// answer that broke.
func (x *exchange) breakRelay(legs *engines, err error) error {
	var gone *relayer.CallerError
	if errors.As(err, &gone) || errors.Is(err, context.Canceled) {
		x.result = reporter.ResultAbandoned
		legs.settle(router.OutcomeCancelled)
		return &callerGoneError{Cause: err}
	}
	legs.settle(router.OutcomeFailed)
	return err
}

// modelRoute finds what the choice of an engine depends on.
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
		expected = answerTokens
	}
	return router.Request{
		Service:          model.Service,
		Model:            request.Model,
		BaseModel:        base,
		PromptTokens:     request.PromptBytes/bytesPerToken + 1,
		AnswerTokens:     expected,
		Prefixes:         prefixOf(request),
		AvailabilityZone: x.Settings.AvailabilityZone,
		Seed:             xxhash.Sum64String(x.id),
	}, nil
}

// prefixOf is the beginning of the prompt, which requests of one conversation
// share.
func prefixOf(request *encoder.Completion) []router.Prefix {
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.WriteString(request.Model)
	_, _ = hash.Write(request.PromptHead)
	return []router.Prefix{{Hash: hash.Sum64(), Tokens: len(request.PromptHead) / bytesPerToken}}
}

// admission is the request for an upstream.
func (x *exchange) admission(route router.Request) admitter.Request {
	return admitter.Request{
		Subscriber: x.identity.Name,
		Class:      x.class,
		Arrived:    x.arrived,
		Deadline:   x.deadline,
		Route:      route,
	}
}
