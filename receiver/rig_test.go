package receiver_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"burdocklink/admitter"
	"burdocklink/authenticator"
	"burdocklink/cataloger"
	"burdocklink/claimer"
	"burdocklink/classifier"
	"burdocklink/dispatcher"
	"burdocklink/encoder"
	"burdocklink/observer"
	"burdocklink/receiver"
	"burdocklink/reporter"
	"burdocklink/router"
)

const (
	model        = "menu"
	adapter      = "menu-hu"
	modelService = "asszisztens"
	plainService = "naptar"
	testTimeout  = 20 * time.Second
)

// fixedKeys authenticates a fixed set of keys.
type fixedKeys map[string]authenticator.Identity

func (k fixedKeys) Authenticate(key string) (authenticator.Identity, error) {
	if key == "" {
		return authenticator.Identity{}, &authenticator.MissingKeyError{}
	}
	identity, ok := k[key]
	if !ok {
		return authenticator.Identity{}, &authenticator.UnknownKeyError{}
	}
	return identity, nil
}

// rig is an entry with simulated upstreams.
type rig struct {
	t        testing.TB
	receiver *receiver.Receiver
	admitter *admitter.Admitter
	router   *router.Router
	reporter *reporter.Reporter
	claims   *claimTable
	catalog  *cataloger.Catalog
	ready    error
	baseURL  string
	stopped  bool
}

type rigOption func(*receiver.Config)

func newRig(t testing.TB, upstreams map[string]http.Handler, options ...rigOption) *rig {
	t.Helper()
	r := &rig{t: t, claims: newClaimTable(), reporter: reporter.New(reporter.Settings{})}
	r.catalog = newCatalog(t, upstreams)
	r.router = router.New(router.Settings{AvailabilityZone: "bp-a"})
	r.router.Update(r.catalog)
	r.admitter = admitter.New(r.router, admitter.Settings{})
	assert.NilError(t, r.admitter.Start(context.Background(), nil))
	config := receiver.Config{
		Settings: receiver.Settings{Listen: "127.0.0.1:0", Entry: "entry-1", AvailabilityZone: "bp-a"},
		Log:      zap.NewNop(),
		Catalog:  func() *cataloger.Catalog { return r.catalog },
		Ready:    func() error { return r.ready },
		Authenticator: fixedKeys{
			"key-a": {Name: "cukorvirag", Role: authenticator.RoleSubscriber},
			"key-b": {Name: "carbono", Role: authenticator.RoleSubscriber},
			"key-o": {Name: "ops", Role: authenticator.RoleOperator},
		},
		Admitter: r.admitter,
		Claims:   r.claims,
		Upstreams: observer.New(observer.Settings{
			Router: r.router, Wake: r.admitter.Wake, Forget: func(string) {},
			Registry: metrics.NewRegistry(), Log: zap.NewNop(),
		}),
		Dispatcher: dispatcher.New(dispatcher.Settings{}),
		Reporter:   r.reporter,
	}
	for _, option := range options {
		option(&config)
	}
	r.receiver = receiver.New(config)
	assert.NilError(t, r.receiver.Start(context.Background(), nil))
	t.Cleanup(r.stop)
	r.baseURL = "http://" + r.receiver.Address()
	return r
}

func (r *rig) stop() {
	if !r.stopped {
		_ = r.receiver.Stop(time.Now().Add(testTimeout))
	}
	_ = r.admitter.Stop(time.Now().Add(testTimeout))
}

// newCatalog returns a catalog of the upstreams. The model is placed on all whose names
// begin with "engine"; the others are plain services.
func newCatalog(t testing.TB, upstreams map[string]http.Handler) *cataloger.Catalog {
	t.Helper()
	changes := []cataloger.Change{
		cataloger.PutClass{Class: classifier.Class{Name: "interactive"}},
		cataloger.PutClass{Class: classifier.Class{Name: "registry", RepeatForbidden: true}},
		cataloger.PutClass{Class: classifier.Class{Name: "draft"}},
		cataloger.PutModel{Model: cataloger.Model{Name: model, Service: modelService}},
		cataloger.PutAdapter{Adapter: cataloger.Adapter{Name: adapter, Model: model}},
	}
	for name, handler := range upstreams {
		changes = append(changes, putUpstream(t, name, handler)...)
	}
	catalog, err := cataloger.New().With(cataloger.Delta{To: 1, Changes: changes})
	assert.NilError(t, err)
	return catalog
}

func putUpstream(t testing.TB, name string, handler http.Handler) []cataloger.Change {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	added := cataloger.Upstream{
		Name:             name,
		Incarnation:      name + "-1",
		Address:          server.Listener.Addr().String(),
		AvailabilityZone: "bp-a",
		Service:          plainService,
		Kind:             cataloger.PlainUpstream,
		State:            cataloger.UpstreamLive,
	}
	if !strings.HasPrefix(name, "engine") {
		return []cataloger.Change{cataloger.PutUpstream{Upstream: added}}
	}
	added.Kind = cataloger.EngineUpstream
	added.Service = modelService
	added.Slots = 64
	return []cataloger.Change{
		cataloger.PutUpstream{Upstream: added},
		cataloger.PutPlacement{Placement: cataloger.Placement{
			Upstream:    name,
			Incarnation: added.Incarnation,
			Models:      []string{model},
			Adapters:    []string{adapter},
		}},
	}
}

// reply is the complete answer to a request.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
	// close is set if the connection closes after the answer.
	close bool
}

func (r reply) outcome() string { return r.header.Get(encoder.HeaderOutcome) }

// send makes a request. Header fields are given as alternating names and values.
func (r *rig) send(method, path, body string, header ...string) reply {
	r.t.Helper()
	response, err := http.DefaultTransport.RoundTrip(r.request(method, path, body, header...))
	assert.NilError(r.t, err)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(data), err: err, close: response.Close}
}

func (r *rig) request(method, path, body string, header ...string) *http.Request {
	r.t.Helper()
	request, err := http.NewRequest(method, r.baseURL+path, strings.NewReader(body))
	assert.NilError(r.t, err)
	request.Header.Set("Authorization", "Bearer key-a")
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	return request
}

// chat returns the body of a chat request with a limit of tokens.
func chat(stream bool, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"torta"}]}`,
		model, stream, tokens)
}

// claimTable is a simplified claim table with fault injection.
type claimTable struct {
	mu     sync.Mutex
	claims map[claimer.Key]*claimRow
	events []claimer.Event
	// fail, if set, returns errors for an event: before prevents its application, and
	// after loses its result.
	fail func(event claimer.Event) (before, after error)
}

type claimRow struct {
	digest  [32]byte
	attempt string
	state   claimer.Result
}

func newClaimTable() *claimTable { return &claimTable{claims: map[claimer.Key]*claimRow{}} }

func (t *claimTable) Claim(_ context.Context, event claimer.Event) (claimer.Result, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var before, after error
	if t.fail != nil {
		before, after = t.fail(event)
	}
	if before != nil {
		return nil, before
	}
	t.events = append(t.events, event)
	return t.apply(event), after
}

func (t *claimTable) apply(event claimer.Event) claimer.Result {
	switch event := event.(type) {
	case claimer.Open:
		return t.open(event)
	case claimer.Finish:
		return t.end(event.Key, event.Attempt, claimer.Answered{Answer: event.Answer})
	case claimer.MarkUnknown:
		return t.end(event.Key, event.Attempt, claimer.Unknown{})
	case claimer.Release:
		row := t.claims[event.Key]
		if row == nil || row.attempt != event.Attempt {
			return claimer.Stale{}
		}
		delete(t.claims, event.Key)
	}
	return claimer.Recorded{}
}

func (t *claimTable) open(event claimer.Open) claimer.Result {
	row := t.claims[event.Key]
	switch {
	case row == nil:
		t.claims[event.Key] = &claimRow{digest: event.Digest, attempt: event.Attempt}
	case row.digest != event.Digest:
		return claimer.Mismatch{}
	case row.state != nil:
		return row.state
	case row.attempt != event.Attempt:
		return claimer.Pending{Deadline: time.Now().Add(time.Second)}
	}
	return claimer.Granted{Deadline: event.Deadline}
}

func (t *claimTable) end(key claimer.Key, attempt string, state claimer.Result) claimer.Result {
	row := t.claims[key]
	if row == nil || row.attempt != attempt {
		return claimer.Stale{}
	}
	row.state = state
	return claimer.Recorded{}
}
