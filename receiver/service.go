package receiver

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdocklink/admitter"
	"burdocklink/cataloger"
	"burdocklink/dispatcher"
	"burdocklink/encoder"
	"burdocklink/linker"
	"burdocklink/quarantiner"
	"burdocklink/router"
)

// unaryRequest is a request whose answer is not streamed.
type unaryRequest struct {
	route  router.Request
	method string
	// path is the path at the upstream, with the query.
	path   string
	header http.Header
	body   []byte
	// timeout is the stall timeout of the call; zero for the dispatcher's default.
	timeout time.Duration
}

func (r *Receiver) answerService(x *exchange) error {
	if err := x.prepare(kindOf(x.r.Method)); err != nil {
		return err
	}
	name, path := splitService(x.r)
	if !hasService(x.catalog, name) {
		return &UnknownServiceError{Name: name}
	}
	body, err := x.readBody()
	if err != nil {
		return err
	}
	request := unaryRequest{
		route:  x.serviceRoute(name),
		method: x.r.Method,
		path:   path,
		header: x.serviceHeader(),
		body:   body,

		timeout: answerTimeout(x.class.Target, 0),
	}
	if x.class.RepeatForbidden {
		return x.runOnce(request)
	}
	return x.runIdempotent(request)
}

// splitService splits the request path into the service's name and the path at the
// service, with the query. The path stays escaped as the caller sent it.
func splitService(r *http.Request) (name, path string) {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), pathServices)
	name, path, _ = strings.Cut(rest, "/")
	path = "/" + path
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return name, path
}

// hasService reports whether there is a plain service with the name. Engines' own
// paths, such as the one for orders, are not exposed to callers.
func hasService(catalog *cataloger.Catalog, name string) bool {
	upstreams, known := catalog.Services[name]
	for _, upstream := range upstreams {
		if catalog.Upstreams[upstream].Kind != cataloger.PlainUpstream {
			return false
		}
	}
	return known
}

func (x *exchange) serviceRoute(name string) router.Request {
	return router.Request{
		Service:          name,
		AvailabilityZone: x.Settings.AvailabilityZone,
		Seed:             xxhash.Sum64String(x.id),
	}
}

func (x *exchange) serviceHeader() http.Header {
	header := http.Header{}
	copyHeader(header, x.r.Header)
	header.Del("Authorization")
	header.Del(encoder.HeaderClass)
	return header
}

// call returns the call that sends a request to the upstream of a grant.
func (x *exchange) call(request unaryRequest, grant *admitter.Grant) dispatcher.Call {
	header := request.header.Clone()
	header.Set(encoder.HeaderRequestID, x.newAttemptID())
	header.Set(encoder.HeaderPriority, strconv.Itoa(grant.Priority))
	header.Set(encoder.HeaderSubscriber, x.identity.Name)
	return dispatcher.Call{
		Address:      grant.Choice.Address,
		Method:       request.method,
		Path:         request.path,
		Header:       header,
		Body:         request.body,
		StallTimeout: request.timeout,
		OnHeader:     x.onHeader(grant.Choice),
	}
}

// runIdempotent runs an idempotent request and retries it on other upstreams.
func (x *exchange) runIdempotent(request unaryRequest) error {
	guard := x.newGuard(request.body, nil)
	defer guard.end()
	grant, err := guard.acquire(request.route)
	if err != nil {
		return linker.CauseOf(x.ctx, err)
	}
	for {
		answer, failure := guard.tryIdempotent(request, grant)
		if failure == nil && !isUnavailable(answer.Status) {
			return x.passAnswer(grant.Choice.Upstream, answer)
		}
		if x.ctx.Err() != nil {
			return linker.CauseOf(x.ctx, failure)
		}
		if !guard.sends.MayRetry() {
			return linker.CauseOf(x.ctx, failure)
		}
		next, err := guard.reacquire(grant)
		if err != nil && failure == nil {
			return x.passAnswer(grant.Choice.Upstream, answer)
		}
		if err != nil {
			return linker.CauseOf(x.ctx, failure)
		}
		grant = next
	}
}

// tryIdempotent dispatches the request once, and repeats it on a new connection if the
// connection was interrupted and the upstream still listens.
func (g *guard) tryIdempotent(request unaryRequest, grant *admitter.Grant) (dispatcher.Answer, error) {
	call := g.call(request, grant)
	answer, err := g.Dispatcher.Do(g.ctx, call)
	if is[*dispatcher.InterruptedError](err) && g.ctx.Err() == nil && !g.checkCrash(g.ctx, grant.Choice, quarantiner.StageWaiting, 0) {
		g.mayHaveRun = true
		call.NewConnection = true
		answer, err = g.Dispatcher.Do(g.ctx, call)
	}
	if got := answer.Header.Get(encoder.HeaderRequestID); err == nil && got != "" && got != call.Header.Get(encoder.HeaderRequestID) {
		answer, err = dispatcher.Answer{}, &answerMismatchError{got: got}
	}
	g.mayHaveRun = g.mayHaveRun || !cannotHaveRun(answer, err)
	g.acquit(answer, err)
	grant.Done(admitter.Result{Ended: time.Now(), Outcome: dispatchOutcome(answer, err)})
	return answer, err
}

// acquit records that an upstream has answered the request with success.
func (g *guard) acquit(answer dispatcher.Answer, err error) {
	if err == nil && answer.Status < http.StatusMultipleChoices {
		g.pass.Completed()
	}
}

// cannotHaveRun reports whether the upstream certainly did not run the request.
func cannotHaveRun(answer dispatcher.Answer, err error) bool {
	if err != nil {
		return is[*dispatcher.NotSentError](err)
	}
	return reportsNotRun(answer)
}

// reportsNotRun reports whether the upstream states that it did not run the request.
func reportsNotRun(answer dispatcher.Answer) bool {
	return isUnavailable(answer.Status) && answer.Header.Get(encoder.HeaderNotRun) == "true"
}

// isUnavailable reports whether another upstream may succeed after this status.
func isUnavailable(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

func dispatchOutcome(answer dispatcher.Answer, err error) router.Outcome {
	switch {
	case is[*dispatcher.NotSentError](err), is[*dispatcher.StalledError](err):
		return router.OutcomeUnreachable
	case err != nil:
		return router.OutcomeFailed
	case reportsNotRun(answer):
		return router.OutcomeRefused
	case isUnavailable(answer.Status):
		return router.OutcomeFailed
	default:
		return router.OutcomeFinished
	}
}

// passAnswer writes an upstream's answer to the caller.
func (x *exchange) passAnswer(upstream string, answer dispatcher.Answer) error {
	copyHeader(x.w.Header(), answer.Header)
	x.w.Header().Set(encoder.HeaderUpstream, upstream)
	return x.write(answer.Status, answerOutcome(answer), answer.Body)
}

// answerOutcome returns the outcome of the request by the upstream's answer.
func answerOutcome(answer dispatcher.Answer) string {
	switch {
	case reportsNotRun(answer):
		return encoder.OutcomeNotRun
	case isUnavailable(answer.Status):
		return encoder.OutcomeUnknown
	default:
		return encoder.OutcomeRan
	}
}
