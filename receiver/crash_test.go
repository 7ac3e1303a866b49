package receiver_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/encoder"
	"burdocklink/quarantiner"
	"burdocklink/receiver"
)

// fragileEngine crashes when it begins to answer a prompt with the word crashing. Afterwards
// it runs no request.
type fragileEngine struct {
	engine
	crashed atomic.Bool
	crashes *atomic.Int32
}

func (e *fragileEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if e.crashed.Load() {
		w.Header().Set(encoder.HeaderNotRun, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !strings.Contains(string(body), "crashing") {
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		e.engine.ServeHTTP(w, r)
		return
	}
	e.crashed.Store(true)
	e.crashes.Add(1)
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, "id: 1\nda")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// refuseConnections makes each engine whose stream broke look crashed.
func refuseConnections(config *receiver.Config) {
	config.Quarantine = quarantiner.New(quarantiner.Settings{
		Dial: func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED },
	})
}

func TestPromptDoesNotCrashOneEngineAfterTheOther(t *testing.T) {
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprintf("stream %t", stream), func(t *testing.T) {
			var crashes atomic.Int32
			engines := map[string]http.Handler{}
			for i := range 6 {
				engines[fmt.Sprintf("engine-%d", i)] = &fragileEngine{crashes: &crashes}
			}
			r := newRig(t, engines, refuseConnections)
			crashing := strings.Replace(chat(stream, 8), "torta", "crashing", 1)
			for request := range int32(2) {
				got := r.send("POST", encoder.PathChat, crashing)
				assert.Equal(t, got.status, http.StatusBadGateway, got.body)
				assert.Equal(t, got.outcome(), encoder.OutcomeUnknown)
				assert.Equal(t, crashes.Load(), request+1)
				// crashes at the same moment count as one
				time.Sleep(150 * time.Millisecond)
			}
			got := r.send("POST", encoder.PathChat, crashing)
			assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
			assert.Equal(t, got.outcome(), encoder.OutcomeNotRun)
			assert.Equal(t, crashes.Load(), int32(2))
			assert.Equal(t, r.send("POST", encoder.PathChat, chat(stream, 8)).status, http.StatusOK)
		})
	}
}

// fragileService is a plain service that crashes when it gets a request with the word
// crashing.
type fragileService struct {
	crashes *atomic.Int32
	crashed atomic.Bool
}

func (s *fragileService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if s.crashed.Load() {
		w.Header().Set(encoder.HeaderNotRun, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if strings.Contains(string(body)+r.URL.Path, "crashing") {
		s.crashed.Store(true)
		s.crashes.Add(1)
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, "ok")
}

func TestSameRequestDoesNotCrashOneServiceAfterTheOther(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			var crashes atomic.Int32
			services := map[string]http.Handler{}
			for i := range 5 {
				services[fmt.Sprintf("naptar-%d", i)] = &fragileService{crashes: &crashes}
			}
			r := newRig(t, services, refuseConnections)
			for range 3 {
				got := r.send(method, "/services/naptar/crashing", "")
				assert.Assert(t, got.status >= http.StatusInternalServerError, got.body)
				time.Sleep(150 * time.Millisecond)
			}
			got := r.send(method, "/services/naptar/crashing", "")
			assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
			assert.Equal(t, got.outcome(), encoder.OutcomeNotRun)
			assert.Equal(t, crashes.Load(), int32(2))
			assert.Equal(t, r.send(method, "/services/naptar/sound", "").status, http.StatusOK)
		})
	}
}

// restartedEngine crashes within its answer to a prompt with the word crashing, after the
// first two events, and is back at once.
type restartedEngine struct {
	engine
	crashes *atomic.Int32
}

func (e *restartedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(strings.NewReader(string(body)))
	if !strings.Contains(string(body), "crashing") {
		e.engine.ServeHTTP(w, r)
		return
	}
	e.crashes.Add(1)
	w.Header().Set("Content-Type", "text/event-stream")
	for id := 1; id <= 2; id++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"id\":\"%s\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"}}]}\n\n", id, r.Header.Get(encoder.HeaderRequestID))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
	}
	panic(http.ErrAbortHandler)
}

// A prompt that crashes engines within its answers must not be sent to one engine after the
// other.
func TestPromptThatCrashesEnginesWithinAnswersIsRefused(t *testing.T) {
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprintf("stream %t", stream), func(t *testing.T) {
			t.Parallel()
			var crashes atomic.Int32
			engines := map[string]http.Handler{}
			for i := range 12 {
				engines[fmt.Sprintf("engine-%d", i)] = &restartedEngine{crashes: &crashes}
			}
			r := newRig(t, engines, refuseConnections)
			crashing := strings.Replace(chat(stream, 8), "torta", "crashing", 1)
			for range 3 {
				r.send("POST", encoder.PathChat, crashing)
				assert.Assert(t, crashes.Load() <= 3+3, "%d engines crashed", crashes.Load())
				// an engine crashes once within this time
				time.Sleep(2100 * time.Millisecond)
			}
			got := r.send("POST", encoder.PathChat, crashing)
			assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
			assert.Equal(t, got.outcome(), encoder.OutcomeNotRun)
			sound := r.send("POST", encoder.PathChat, chat(stream, 8))
			assert.Equal(t, sound.status, http.StatusOK, sound.body)
		})
	}
}
