package receiver_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"burdocklink/encoder"
)

func TestStreamedAndWholeCompletion(t *testing.T) {
	r := newRig(t, map[string]http.Handler{"engine-1": &engine{}})

	streamed := r.send("POST", encoder.PathChat, chat(true, 5))
	whole := r.send("POST", encoder.PathChat, chat(false, 5))

	assert.Equal(t, streamed.status, http.StatusOK)
	assert.Equal(t, streamed.outcome(), encoder.OutcomeRan)
	assert.Equal(t, streamed.header.Get(encoder.HeaderUpstream), "engine-1")
	assert.Equal(t, whole.header.Get(encoder.HeaderUpstream), "engine-1")
	got, _, ended := readStream(streamed.body)
	assert.Equal(t, got, text(5))
	assert.Assert(t, ended)
	assert.Equal(t, whole.status, http.StatusOK)
	assert.Assert(t, strings.Contains(whole.body, `"content":"`+text(5)+`"`), whole.body)
}

func TestNonIdempotentServiceCallRunsOnce(t *testing.T) {
	var ran atomic.Int64
	naptar := http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		ran.Add(1)
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, req.Header.Get(encoder.HeaderSubscriber)+" "+req.URL.RequestURI()+" "+string(body))
	})
	r := newRig(t, map[string]http.Handler{"naptar-1": naptar})

	first := r.send("POST", "/services/naptar/slots/7%2F8?at=noon", "torta", encoder.HeaderIdempotencyKey, "k1")
	again := r.send("POST", "/services/naptar/slots/7%2F8?at=noon", "torta", encoder.HeaderIdempotencyKey, "k1")

	assert.Equal(t, first.status, http.StatusCreated)
	assert.Equal(t, first.outcome(), encoder.OutcomeRan)
	assert.Equal(t, first.body, "cukorvirag /slots/7%2F8?at=noon torta")
	assert.Equal(t, again.status, http.StatusCreated)
	assert.Equal(t, again.body, first.body)
	assert.Equal(t, ran.Load(), int64(1))
}

func TestModelsProbesAndMetrics(t *testing.T) {
	r := newRig(t, map[string]http.Handler{"engine-1": &engine{}})

	models := r.send("GET", encoder.PathModels, "")
	assert.Assert(t, strings.Contains(models.body, `"id":"menu-hu"`), models.body)
	assert.Equal(t, r.send("GET", "/healthz", "").status, http.StatusOK)
	assert.Equal(t, r.send("GET", "/readyz", "").status, http.StatusOK)
	r.send("POST", encoder.PathChat, chat(false, 3))
	metrics := r.send("GET", "/metrics", "", "Authorization", "Bearer key-o")
	assert.Assert(t, strings.Contains(metrics.body, `burdocklink_class_requests_total{class="interactive",result="whole"} 1`), metrics.body)
	assert.Equal(t, r.send("GET", "/metrics", "").status, http.StatusForbidden)
}
