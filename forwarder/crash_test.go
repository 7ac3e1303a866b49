package forwarder_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/forwarder"
	"burdocklink/matcher"
)

// serveCrashing serves an upstream that closes all its connections and its listener once
// it has sent the given text, with the header of a stream, for a request.
func (r *rig) serveCrashing(text string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(r.t, err)
	server := &http.Server{}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		r.runs.Add(1)
		w.Header().Set("Signed", "yes")
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
		_ = server.Close()
	})
	go func() { _ = server.Serve(listener) }()
	r.t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// serveCrashingUnframed is serveCrashing with an answer that has neither a length nor chunks.
func (r *rig) serveCrashingUnframed(text string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(r.t, err)
	server := &http.Server{}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		r.runs.Add(1)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_ = server.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nSigned: yes\r\nConnection: close\r\n\r\n"+text)
		_ = conn.Close()
	})
	go func() { _ = server.Serve(listener) }()
	r.t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// crashInterval is longer than the time within which crashes count as one.
const crashInterval = 150 * time.Millisecond

// withParts adds prompt parts to the codec of the tests.
func withParts(codec forwarder.Codec) forwarder.Codec {
	decode := codec.DecodeRequest
	codec.DecodeRequest = func(r *http.Request, now time.Time) (forwarder.Request, error) {
		request, err := decode(r, now)
		for _, id := range strings.Fields(r.Header.Get("Parts")) {
			request.Parts = append(request.Parts, forwarder.PromptPart{ID: id, Tokens: 1})
		}
		return request, err
	}
	return codec
}

// askParts sends a streaming request with prompt parts. No two have the same path.
func (r *rig) askParts(parts string) reply {
	r.asked++
	return r.ask(http.MethodPost, "/x/"+strconv.Itoa(r.asked), "", map[string]string{"Parts": parts})
}

func TestRequestIsNotSentAgainAfterItCrashedAnUpstream(t *testing.T) {
	cases := map[string]struct {
		upstream func(r *rig) string
		status   int
		runs     int32
	}{
		"upstream no longer listens": {func(r *rig) string { return r.serveCrashing("id: 1\nda") }, http.StatusBadGateway, 1},
		"upstream still listens":     {func(r *rig) string { return r.serve(events(1, 0, false)) }, http.StatusOK, 2},
		"upstream sent an event":     {func(r *rig) string { return r.serveCrashing(eventText(1, 2)) }, http.StatusOK, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, matcher.Route{Kind: matcher.Streaming, Resumable: true, MaxAttempts: 3}, events(1, 5, true))
			r.admission.upstreams = append([]string{c.upstream(r)}, r.admission.upstreams...)
			got := r.askParts("shared crashing own")
			assert.Equal(t, got.status, c.status)
			assert.Equal(t, r.runs.Load(), c.runs)
		})
	}
}

func TestPromptsThatCrashedTwoUpstreamsAreRefusedAndSoundOnesServed(t *testing.T) {
	r := newRig(t, matcher.Route{Kind: matcher.Streaming}, events(1, 5, true), events(1, 5, true), events(1, 5, true))
	r.admission.upstreams = append([]string{r.serveCrashing("id: 1\nda"), r.serveCrashing("")}, r.admission.upstreams...)
	for range 2 {
		assert.Equal(t, r.askParts("shared crashing own").status, http.StatusBadGateway)
		time.Sleep(crashInterval)
	}
	refused := r.askParts("shared crashing other")
	assert.Equal(t, refused.status, http.StatusServiceUnavailable)
	seconds, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, seconds > 290)
	assert.Equal(t, r.runs.Load(), int32(2))
	for range 3 {
		assert.Equal(t, r.askParts("shared sound own").body, eventText(1, 5))
	}
	assert.Equal(t, r.askParts("shared crashing own").status, http.StatusServiceUnavailable)
}

func TestFailureOfAnUpstreamDoesNotClearSuspects(t *testing.T) {
	r := newRig(t, matcher.Route{Kind: matcher.Streaming}, respond(http.StatusInternalServerError, "overloaded"), events(1, 5, true))
	failing, sound := r.admission.upstreams[0], r.admission.upstreams[1]
	r.admission.upstreams = []string{r.serveCrashing("id"), failing, r.serveCrashing("id"), sound}
	for _, want := range []int{http.StatusBadGateway, http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable} {
		assert.Equal(t, r.askParts("crashing own").status, want)
		time.Sleep(crashInterval)
	}
}

func TestLastPromptPartIsNeverSuspected(t *testing.T) {
	r := newRig(t, matcher.Route{Kind: matcher.Streaming}, events(1, 5, true))
	r.admission.upstreams = append([]string{r.serveCrashing("id"), r.serveCrashing("id")}, r.admission.upstreams...)
	for range 2 {
		assert.Equal(t, r.askParts("own").status, http.StatusBadGateway)
		time.Sleep(crashInterval)
	}
	assert.Equal(t, r.askParts("own").status, http.StatusOK)
}

// serveEnding serves an upstream that closes all its connections and its listener when it
// gets a request.
func (r *rig) serveEnding() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(r.t, err)
	server := &http.Server{}
	server.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		r.runs.Add(1)
		_ = server.Close()
	})
	go func() { _ = server.Serve(listener) }()
	r.t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func (r *rig) serveHeaderAndCrash() string { return r.serveCrashing("") }

func TestSameRequestDoesNotCrashOneUpstreamAfterTheOther(t *testing.T) {
	cases := map[string]struct {
		route    matcher.Route
		upstream func(r *rig) string
		statuses []int
	}{
		"plain": {
			matcher.Route{Kind: matcher.NonIdempotent}, (*rig).serveEnding,
			[]int{http.StatusBadGateway, http.StatusBadGateway, http.StatusServiceUnavailable},
		},
		"plain, repeatable": {
			matcher.Route{Kind: matcher.Idempotent, MaxAttempts: 3}, (*rig).serveEnding,
			[]int{http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusServiceUnavailable},
		},
		"stream": {
			matcher.Route{Kind: matcher.Streaming}, (*rig).serveHeaderAndCrash,
			[]int{http.StatusBadGateway, http.StatusBadGateway, http.StatusServiceUnavailable},
		},
		"stream without a header": {
			matcher.Route{Kind: matcher.Streaming}, (*rig).serveEnding,
			[]int{http.StatusBadGateway, http.StatusBadGateway, http.StatusServiceUnavailable},
		},
		"stream, resumable": {
			matcher.Route{Kind: matcher.Streaming, Resumable: true, MaxAttempts: 3}, (*rig).serveHeaderAndCrash,
			[]int{http.StatusBadGateway, http.StatusBadGateway, http.StatusServiceUnavailable},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, c.route)
			for range 4 {
				r.admission.upstreams = append(r.admission.upstreams, c.upstream(r))
			}
			for i, want := range c.statuses {
				id := map[string]string{"Id": "r" + strconv.Itoa(i)}
				assert.Equal(t, r.ask(http.MethodPost, "/x/1", "body", id).status, want, "request %d", i)
				time.Sleep(crashInterval)
			}
			assert.Equal(t, r.runs.Load(), int32(2))
		})
	}
}

func TestRequestThatDiffersFromACrashingOneIsServed(t *testing.T) {
	cases := map[string]struct{ method, path, body string }{
		"path":   {http.MethodPost, "/x/2", "body"},
		"body":   {http.MethodPost, "/x/1", "other"},
		"method": {http.MethodPut, "/x/1", "body"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, matcher.Route{Kind: matcher.NonIdempotent}, respond(http.StatusOK, "ok"))
			r.admission.upstreams = append([]string{r.serveEnding(), r.serveEnding()}, r.admission.upstreams...)
			for range 2 {
				assert.Equal(t, r.ask(http.MethodPost, "/x/1", "body", nil).status, http.StatusBadGateway)
				time.Sleep(crashInterval)
			}
			assert.Equal(t, r.ask(http.MethodPost, "/x/1", "body", nil).status, http.StatusServiceUnavailable)
			assert.Equal(t, r.ask(c.method, c.path, c.body, nil).body, "ok")
		})
	}
}

func TestRepeatableRequestOnACrashedUpstreamIsServedByAnother(t *testing.T) {
	r := newRig(t, matcher.Route{Kind: matcher.Idempotent, MaxAttempts: 2}, respond(http.StatusOK, "ok"), respond(http.StatusOK, "ok"))
	r.admission.upstreams = append([]string{r.serveEnding()}, r.admission.upstreams...)
	for range 2 {
		assert.Equal(t, r.ask(http.MethodGet, "/x/1", "", nil).body, "ok")
	}
}

func TestEndOfALeavingUpstreamIsNoCrash(t *testing.T) {
	r := newRig(t, matcher.Route{Kind: matcher.NonIdempotent}, respond(http.StatusOK, "ok"))
	r.upstreams.leaving = "u1"
	r.admission.upstreams = append([]string{r.serveEnding(), r.serveEnding()}, r.admission.upstreams...)
	for _, want := range []int{http.StatusBadGateway, http.StatusBadGateway, http.StatusOK} {
		assert.Equal(t, r.ask(http.MethodPost, "/x/1", "body", nil).status, want)
		time.Sleep(crashInterval)
	}
}

// A prompt part that crashes each upstream only after the answer has begun must not be sent
// to one upstream after the other.
func TestPartThatCrashesUpstreamsWithinAnswersIsRefused(t *testing.T) {
	cases := map[string]func(r *rig) string{
		"after the first event":        func(r *rig) string { return r.serveCrashing(eventText(1, 1)) },
		"after eight events":           func(r *rig) string { return r.serveCrashing(eventText(1, 8)) },
		"inside an event":              func(r *rig) string { return r.serveCrashing(eventText(1, 2) + "id: 3\nda") },
		"without length and chunks":    func(r *rig) string { return r.serveCrashingUnframed(eventText(1, 2)) },
		"before the header":            (*rig).serveEnding,
		"before the first whole event": func(r *rig) string { return r.serveCrashing("id: 1\nda") },
	}
	for name, upstream := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, matcher.Route{Kind: matcher.Streaming}, events(1, 5, true), events(1, 5, true))
			for range 5 {
				r.admission.upstreams = append([]string{upstream(r)}, r.admission.upstreams...)
			}
			for range 5 {
				r.askParts("shared crashing own")
				time.Sleep(crashInterval)
			}
			assert.Assert(t, r.runs.Load() <= 3, "%d upstreams crashed", r.runs.Load())
			r.admission.upstreams = r.admission.upstreams[5-r.runs.Load():]
			assert.Equal(t, r.askParts("shared crashing own").status, http.StatusServiceUnavailable)
			assert.Equal(t, r.askParts("shared sound own").body, eventText(1, 5))
		})
	}
}

// A request that comes again and crashes each upstream within its answer must not be sent to
// one upstream after the other.
func TestRequestThatCrashesUpstreamsWithinAnswersIsRefused(t *testing.T) {
	routes := map[string]matcher.Route{
		"stream":            {Kind: matcher.Streaming},
		"stream, resumable": {Kind: matcher.Streaming, Resumable: true, MaxAttempts: 3},
	}
	for name, route := range routes {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, route)
			for range 9 {
				r.admission.upstreams = append(r.admission.upstreams, r.serveCrashing(eventText(1, 2)))
			}
			for i := range 9 {
				r.ask(http.MethodPost, "/x/1", "body", map[string]string{"Id": "r" + strconv.Itoa(i)})
				time.Sleep(crashInterval)
			}
			assert.Assert(t, r.runs.Load() <= 3+3, "%d upstreams crashed", r.runs.Load())
		})
	}
}

// A stream without length and chunks whose upstream crashes must not look complete.
func TestUnframedStreamThatEndsWithItsUpstreamIsBrokenOff(t *testing.T) {
	r := newRig(t, matcher.Route{Kind: matcher.Streaming, Resumable: true, MaxAttempts: 2}, events(1, 5, true))
	r.admission.upstreams = append([]string{r.serveCrashingUnframed(eventText(1, 2))}, r.admission.upstreams...)
	assert.Equal(t, r.ask(http.MethodPost, "/x/1", "", nil).body, eventText(1, 5))
}
