package prover_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// brokenStream is a stream that broke off at the caller.
type brokenStream struct{ id, signature, lastEvent string }

// breakStreams has streams broken off by all servers and returns those with events.
func (s *platformSite) breakStreams(count int) []brokenStream {
	for _, server := range s.servers {
		server.mutex.Lock()
		server.streamsToBreak = 1000
		server.mutex.Unlock()
	}
	var broken []brokenStream
	for i := range count {
		id := fmt.Sprintf("b%015x", i)
		got := s.send([]string{"front-1", "front-2"}[i%2], "/draft/1", id, map[string]string{
			"Burdocklink-Model": "m1", "Burdocklink-Token-Count": "100,20", "Burdocklink-Request-Timeout-Ms": "3000",
		})
		if events := strings.Count(got.body, "id: "); got.status == -1 && events > 0 {
			broken = append(broken, brokenStream{id: id, signature: got.signature, lastEvent: fmt.Sprint(events)})
		}
	}
	for _, server := range s.servers {
		server.mutex.Lock()
		server.streamsToBreak = 0
		server.mutex.Unlock()
	}
	return broken
}

// takeUp sends a request for the rest of a stream.
func (s *platformSite) takeUp(entry string, broken brokenStream, attempt int) callerResponse {
	return s.send(entry, "/draft/1", fmt.Sprintf("%s-%d", broken.id, attempt), map[string]string{
		"Burdocklink-Model": "m1", "Burdocklink-Token-Count": "100,20", "Burdocklink-Request-Timeout-Ms": "5000",
		"Last-Event-Id": broken.lastEvent, "Resumes": broken.id,
	})
}

func TestStreamsAreNotJoinedFromTwoVersionsAfterAllEntriesAreKilled(t *testing.T) {
	s := newPlatformSite(t)
	s.subnet = 44
	s.servers[1].software = "v1.1"
	s.start()
	broken := s.breakStreams(16)
	signatures := map[string]bool{}
	for _, stream := range broken {
		signatures[stream.signature] = true
	}
	assert.Equal(t, len(signatures), 2, "%d streams began at %v", len(broken), signatures)

	time.Sleep(severalHeartbeats)
	for i, name := range []string{"front-1", "front-2"} {
		s.nodes[name].kill()
		s.startNode("entry", name, s.frontHost(i), false)
	}
	for _, name := range []string{"front-1", "front-2"} {
		s.awaitReady(name)
	}
	for i, stream := range broken {
		got := s.takeUp([]string{"front-1", "front-2"}[i%2], stream, 1)
		assert.Equal(t, got.status, http.StatusOK, stream.id)
		assert.Equal(t, got.signature, stream.signature, stream.id)
		assert.Assert(t, strings.HasSuffix(wholeStream, got.body), got.body)
	}
	unknown := s.takeUp("front-1", brokenStream{id: "never-begun", lastEvent: "2"}, 1)
	assert.Equal(t, unknown.status, http.StatusServiceUnavailable)
	assert.Equal(t, unknown.header.Get("Retry-After"), "")

	// the last upstream of the old version goes
	s.servers[0].setUnlisted(true)
	time.Sleep(severalHeartbeats + 2*time.Second)
	for i, stream := range broken {
		started := time.Now()
		got := s.takeUp([]string{"front-2", "front-1"}[i%2], stream, 2)
		want := http.StatusOK
		if stream.signature == "signed-by-engine-1" {
			want = http.StatusServiceUnavailable
			assert.Equal(t, got.header.Get("Retry-After"), "")
			assert.Assert(t, time.Since(started) < time.Second)
		}
		assert.Equal(t, got.status, want, stream.id)
	}
}
