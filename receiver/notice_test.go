package receiver_test

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"burdocklink/encoder"
)

// withHeader counts the requests that reach an upstream, except cancellations, and adds
// a header field to its answers.
func withHeader(count *atomic.Int64, name, value string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodDelete {
			count.Add(1)
		}
		w.Header().Set(name, value)
		next.ServeHTTP(w, r)
	})
}

func serveNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(encoder.HeaderNotRun, "true")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func TestLeavingUpstreamGetsNoRequestsAfterItsNotice(t *testing.T) {
	plain := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) })
	cases := map[string]struct {
		upstreams []string
		serve     http.Handler
		method    string
		path      string
		body      string
	}{
		"stream":              {[]string{"engine-1", "engine-2"}, &engine{}, "POST", encoder.PathChat, chat(true, 2)},
		"whole completion":    {[]string{"engine-1", "engine-2"}, &engine{}, "POST", encoder.PathChat, chat(false, 2)},
		"idempotent call":     {[]string{"naptar-1", "naptar-2"}, plain, "GET", "/services/naptar/x", ""},
		"non-idempotent call": {[]string{"naptar-1", "naptar-2"}, plain, "POST", "/services/naptar/x", "body"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var leaving, other atomic.Int64
			r := newRig(t, map[string]http.Handler{
				c.upstreams[0]: withHeader(&leaving, encoder.HeaderLeaving, encoder.LeavingValue, c.serve),
				c.upstreams[1]: withHeader(&other, "X-Own", "1", c.serve),
			})
			for range 12 {
				got := r.send(c.method, c.path, c.body)
				assert.Equal(t, got.status, http.StatusOK)
				assert.Equal(t, got.header.Get(encoder.HeaderLeaving), "", "leaving header reached the caller")
			}
			assert.Assert(t, leaving.Load() <= 1, "%d requests", leaving.Load())
			assert.Assert(t, other.Load() >= 11)
		})
	}
}

func TestLeavingHeaderOfCallerIsNotForwarded(t *testing.T) {
	var seen http.Header
	naptar := http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) { seen = req.Header })
	r := newRig(t, map[string]http.Handler{"naptar-1": naptar})
	r.send("GET", "/services/naptar/x", "", encoder.HeaderLeaving, encoder.LeavingValue)
	assert.Equal(t, seen.Get(encoder.HeaderLeaving), "")
}

func TestPauseOfAllUpstreamsIsReportedToCaller(t *testing.T) {
	cases := map[string]struct{ name, method, path, body string }{
		"stream":              {"engine-1", "POST", encoder.PathChat, chat(true, 2)},
		"non-idempotent call": {"naptar-1", "POST", "/services/naptar/x", "body"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var reached atomic.Int64
			r := newRig(t, map[string]http.Handler{
				c.name: withHeader(&reached, "Retry-After", "20", http.HandlerFunc(serveNotRun)),
			})
			for range 5 {
				got := r.send(c.method, c.path, c.body)
				assert.Equal(t, got.status, http.StatusServiceUnavailable)
				assert.Equal(t, got.outcome(), encoder.OutcomeNotRun)
				seconds, err := strconv.Atoi(got.header.Get("Retry-After"))
				assert.NilError(t, err)
				assert.Assert(t, seconds >= 19 && seconds <= 22, "%d", seconds)
			}
			assert.Equal(t, reached.Load(), int64(1))
		})
	}
}
