package receiver_test

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/cataloger"
	"burdocklink/encoder"
	"burdocklink/receiver"
)

type badRequestCase struct {
	method, path, body string
	header             []string
	status             int
	errorType          string
	retry              bool
}

func TestBadInputIsAnsweredByType(t *testing.T) {
	past := time.Now().Add(-time.Minute).Format(time.RFC3339)
	cases := map[string]badRequestCase{
		"no key":            {path: encoder.PathModels, header: []string{"Authorization", ""}, status: 401, errorType: "missing-key"},
		"wrong key":         {path: encoder.PathModels, header: []string{"Authorization", "Bearer x"}, status: 401, errorType: "wrong-key"},
		"operator's key":    {path: encoder.PathModels, header: []string{"Authorization", "Bearer key-o"}, status: 403, errorType: "wrong-role"},
		"unknown path":      {path: "/v1/unknown", status: 404, errorType: "unknown-path"},
		"wrong method":      {path: encoder.PathChat, status: 405, errorType: "method-not-allowed"},
		"unknown class":     {method: "POST", path: encoder.PathChat, body: chat(false, 1), header: []string{encoder.HeaderClass, "vip"}, status: 400, errorType: "unknown-class"},
		"unknown model":     {method: "POST", path: encoder.PathChat, body: `{"model":"x","messages":[{}]}`, status: 404, errorType: "unknown-model"},
		"unknown service":   {path: "/services/nobody/x", status: 404, errorType: "unknown-service"},
		"engine as service": {method: "POST", path: "/services/asszisztens/v1/orders", status: 404, errorType: "unknown-service"},
		"malformed JSON":    {method: "POST", path: encoder.PathChat, body: `{"model":`, status: 400, errorType: "malformed-body"},
		"body of null":      {method: "POST", path: encoder.PathChat, body: `null`, status: 400, errorType: "malformed-body"},
		"no messages":       {method: "POST", path: encoder.PathChat, body: `{"model":"menu"}`, status: 400, errorType: "malformed-body"},
		"no prompt":         {method: "POST", path: encoder.PathCompletions, body: `{"model":"menu"}`, status: 400, errorType: "malformed-body"},
		"numeric model":     {method: "POST", path: encoder.PathChat, body: `{"model":7}`, status: 400, errorType: "malformed-body"},
		"negative limit":    {method: "POST", path: encoder.PathChat, body: `{"model":"menu","max_tokens":-1}`, status: 400, errorType: "malformed-body"},
		"oversized body":    {method: "POST", path: "/services/naptar/x", body: strings.Repeat("x", 2000), status: 413, errorType: "body-too-large"},
		"expired deadline":  {method: "POST", path: encoder.PathChat, header: []string{encoder.HeaderDeadline, past}, status: 504, errorType: "deadline-passed"},
		"malformed time":    {method: "POST", path: encoder.PathChat, header: []string{encoder.HeaderDeadline, "noon"}, status: 400, errorType: "malformed-header"},
		"long key":          {method: "POST", path: "/services/naptar/x", header: []string{encoder.HeaderIdempotencyKey, strings.Repeat("k", 201)}, status: 400, errorType: "malformed-header"},
		"malformed issued":  {method: "POST", path: "/services/naptar/x", header: []string{encoder.HeaderIdempotencyKey, "k", encoder.HeaderIssued, "noon"}, status: 400, errorType: "malformed-header"},
		"no holder":         {method: "POST", path: encoder.PathChat, body: chat(false, 1), status: 503, errorType: "no-upstream", retry: true},
		"stream in a class that forbids repeats": {method: "POST", path: encoder.PathChat, body: chat(true, 1),
			header: []string{encoder.HeaderClass, "registry"}, status: 400, errorType: "stream-not-possible"},
	}
	r := newRig(t, map[string]http.Handler{"naptar-1": http.NotFoundHandler()}, func(c *receiver.Config) {
		c.Settings.MaxBodyBytes = 1000
	})
	r.catalog.Services[modelService] = []string{"engine-9"}
	r.catalog.Upstreams["engine-9"] = cataloger.Upstream{Name: "engine-9", Kind: cataloger.EngineUpstream}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { c.check(t, r) })
	}
}

func (c badRequestCase) check(t *testing.T, r *rig) {
	if c.method == "" {
		c.method = "GET"
	}
	got := r.send(c.method, c.path, c.body, append(c.header, encoder.HeaderRequestID, "mine-1")...)
	assert.Equal(t, got.status, c.status, got.body)
	var body encoder.ErrorReply
	assert.NilError(t, json.Unmarshal([]byte(got.body), &body), got.body)
	assert.Equal(t, body.Error.Type, c.errorType)
	assert.Equal(t, body.Error.Outcome, encoder.OutcomeNotRun)
	assert.Equal(t, body.Error.RequestID, "mine-1")
	assert.Assert(t, body.Error.Message != "")
	assert.Equal(t, got.outcome(), encoder.OutcomeNotRun)
	assert.Equal(t, got.header.Get(encoder.HeaderRequestID), "mine-1")
	assert.Equal(t, got.header.Get("Retry-After") != "", c.retry)
}

func TestNothingIsServedBeforeACatalog(t *testing.T) {
	r := newRig(t, nil, func(c *receiver.Config) {
		c.Catalog = func() *cataloger.Catalog { return nil }
	})
	for _, path := range []string{encoder.PathModels, "/readyz", "/services/naptar/x"} {
		got := r.send("GET", path, "")
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Equal(t, got.outcome(), encoder.OutcomeNotRun)
		assert.Assert(t, got.header.Get("Retry-After") != "")
	}
}

func TestEmptyAnswersOfServicesPassAsTheyAre(t *testing.T) {
	notFound := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-From", "naptar")
		w.WriteHeader(http.StatusNotFound)
	})
	r := newRig(t, map[string]http.Handler{"naptar-1": notFound})

	got := r.send("GET", "/services/naptar/none", "")

	assert.Equal(t, got.status, http.StatusNotFound)
	assert.Equal(t, got.body, "")
	assert.Equal(t, got.outcome(), encoder.OutcomeRan)
	assert.Equal(t, got.header.Get("X-From"), "naptar")
}

func TestCallersCannotNameAnotherSubscriberOrPassTheirKeyOn(t *testing.T) {
	var seen http.Header
	naptar := http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) { seen = req.Header })
	r := newRig(t, map[string]http.Handler{"naptar-1": naptar})

	r.send("GET", "/services/naptar/x", "", encoder.HeaderSubscriber, "carbono", encoder.HeaderPriority, "99")

	assert.DeepEqual(t, seen.Values(encoder.HeaderSubscriber), []string{"cukorvirag"})
	assert.Equal(t, seen.Get("Authorization"), "")
	assert.Assert(t, seen.Get(encoder.HeaderPriority) != "99")
}

func TestSlowBodiesAndHeadersAreBounded(t *testing.T) {
	r := newRig(t, map[string]http.Handler{"naptar-1": http.NotFoundHandler()}, func(c *receiver.Config) {
		c.Settings.BodyTimeout = 100 * time.Millisecond
		c.Settings.HeaderTimeout = 100 * time.Millisecond
	})
	cases := map[string]struct{ sent, want string }{
		"body":   {sent: "POST /services/naptar/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-a\r\nContent-Length: 9\r\n\r\nx", want: "408"},
		"header": {sent: "POST /services/naptar/x HTTP/1.1\r\nHost: x\r\nX-Slow: ", want: "408"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", r.receiver.Address())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, c.sent)
			assert.NilError(t, err)
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
			line, err := bufio.NewReader(conn).ReadString('\n')
			if name == "header" {
				// net/http may close without an answer if a header is incomplete
				assert.Assert(t, err == io.EOF || strings.Contains(line, c.want), line)
				return
			}
			assert.NilError(t, err)
			assert.Assert(t, strings.Contains(line, c.want), line)
		})
	}
}

// staleService answers the first call of a request with the refusal of another one.
type staleService struct{ calls atomic.Int32 }

func (s *staleService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.calls.Add(1) == 1 {
		w.Header().Set(encoder.HeaderRequestID, "earlier")
		w.Header().Set(encoder.HeaderNotRun, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(encoder.HeaderRequestID, r.Header.Get(encoder.HeaderRequestID))
	_, _ = io.WriteString(w, "ok")
}

func TestRefusalOfAnotherRequestDoesNotSayNotRun(t *testing.T) {
	service := &staleService{}
	r := newRig(t, map[string]http.Handler{"naptar-1": service})
	got := r.send(http.MethodGet, "/services/naptar/free", "")
	assert.Assert(t, got.outcome() != encoder.OutcomeNotRun, got.body)
	assert.Assert(t, got.status != http.StatusServiceUnavailable, got.body)
}

// Guards against bodies that stop before their end and take the memory of the process, so
// that ordinary callers are refused.
func TestBodiesThatStopDontKeepOthersOut(t *testing.T) {
	const mebibyte = 1 << 20
	r := newRig(t, map[string]http.Handler{"naptar-1": http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(w, "done")
	})}, func(c *receiver.Config) {
		c.Settings.MaxBodyBytes, c.Settings.BodyMemory = 2*mebibyte, 6*mebibyte
	})
	address := r.receiver.Address()
	stopped := make([]net.Conn, 0, 8)
	defer func() {
		for _, conn := range stopped {
			_ = conn.Close()
		}
	}()
	for range cap(stopped) {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		stopped = append(stopped, conn)
		_, _ = io.WriteString(conn, "POST /services/naptar/x HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key-a\r\nContent-Length: 2000000\r\n\r\n")
		_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = conn.Write(make([]byte, 1_999_999))
	}
	for range 20 {
		got := r.send("POST", "/services/naptar/x", "small", encoder.HeaderRequestID, "mine")
		assert.Equal(t, got.status, http.StatusOK, "%s", got.body)
	}
	time.Sleep(600 * time.Millisecond)
	got := r.send("POST", "/services/naptar/x", strings.Repeat("x", 2_000_000), encoder.HeaderRequestID, "large")
	assert.Equal(t, got.status, http.StatusOK, "%s", got.body)
}
