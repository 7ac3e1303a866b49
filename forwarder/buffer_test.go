package forwarder_test

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"burdocklink/matcher"
)

func TestBufferedAnswerBytesAreLimited(t *testing.T) {
	const requests, megabyte = 5, 1 << 20
	release := make(chan struct{})
	var sent atomic.Int32
	long := strings.Repeat("x", 15*megabyte)
	answer := func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/x/short" {
			respond(http.StatusOK, "short")(w, request)
			return
		}
		w.Header().Set("Signed", "yes")
		w.Header().Set("Id", request.Header.Get("Id"))
		_, _ = w.Write([]byte(long))
		sent.Add(1)
		<-release
	}
	// each request gets an upstream of its own
	r := newRig(t, matcher.Route{Kind: matcher.Idempotent, Timeout: 20 * time.Second},
		answer, answer, answer, answer, answer, answer)
	replies := make(chan reply, requests)
	var done sync.WaitGroup
	ask := func() { replies <- r.ask(http.MethodGet, "/x/long", "", nil) }
	done.Go(ask)
	done.Go(ask)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if sent.Load() == 2 {
			return poll.Success()
		}
		return poll.Continue("two answers are not sent yet")
	})
	for range requests - 2 {
		done.Go(ask)
	}
	// two answers fit into the buffer, the others fail while these are still received
	for range requests - 2 {
		select {
		case got := <-replies:
			assert.Equal(t, got.status, http.StatusBadGateway)
		case <-time.After(10 * time.Second):
			t.Fatal("no request failed: all answers are buffered")
		}
	}
	close(release)
	done.Wait()
	for range 2 {
		got := <-replies
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, len(got.body), len(long))
	}
	assert.Equal(t, r.ask(http.MethodGet, "/x/short", "", nil).body, "short")
}

// Streams of faulty upstreams that send bytes without an end of an event must not take more
// memory than the entry has for answers.
func TestBytesOfUnfinishedEventsAreLimited(t *testing.T) {
	const streams, fitting, kilobyte = 40, 34, 1 << 10
	release := make(chan struct{})
	endless := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Signed", "yes")
		_, _ = w.Write([]byte("id: 1\ndata: " + strings.Repeat("x", 1000*kilobyte)))
		_ = http.NewResponseController(w).Flush()
		<-release
	}
	handlers := make([]http.HandlerFunc, streams)
	for i := range handlers {
		handlers[i] = endless
	}
	handlers = append(handlers, events(1, 5, true))
	r := newRig(t, matcher.Route{Kind: matcher.Streaming, Timeout: 20 * time.Second}, handlers...)
	replies := make(chan reply, streams)
	var done sync.WaitGroup
	for i := range streams {
		done.Go(func() { replies <- r.ask(http.MethodPost, "/x/"+strconv.Itoa(i), "", nil) })
	}
	// those that fit are still received while the others fail
	for range streams - fitting {
		select {
		case got := <-replies:
			assert.Equal(t, got.status, http.StatusBadGateway)
		case <-time.After(10 * time.Second):
			t.Fatal("unfinished events are held without a limit")
		}
	}
	close(release)
	done.Wait()
	assert.Equal(t, r.askParts("own").body, eventText(1, 5))
}
