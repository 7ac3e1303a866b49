package forwarder_test

import (
	"net/http"
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
