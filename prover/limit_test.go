package prover_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// A rate-limited server may receive limitFactor times its limit plus limitBurst
	// requests in any window of length limitWindow.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitBurst  = 5
	// limitDelay is how long a limit may take to be applied after a server first
	// returned it.
	limitDelay = 3 * time.Second
)

// setLimit makes the server return a rate limit in all answers, in requests per
// second, or none if it is empty. It returns the current time.
func (s *platformServer) setLimit(limit string) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.limit = limit
	return time.Now()
}

// requestTimes returns the sorted arrival times of requests, report queries and
// orders from all VMs. Requests of the entries in restarted only count from the
// given times on.
func (s *platformServer) requestTimes(restarted map[string]time.Time) []time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	times := slices.Clone(s.controlCalls)
	for _, arrival := range s.arrivals {
		entry := strings.Join(strings.SplitN(arrival.id, "-", 3)[:2], "-")
		if !arrival.at.Before(restarted[entry]) {
			times = append(times, arrival.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// maxInWindow returns the largest number of times in any window that begins
// between from and to.
func maxInWindow(times []time.Time, window time.Duration, from, to time.Time) int {
	most := 0
	for i, first := range times {
		if first.Before(from) || first.After(to) {
			continue
		}
		past, _ := slices.BinarySearchFunc(times, first.Add(window), time.Time.Compare)
		most = max(most, past-i)
	}
	return most
}

// countBetween returns the number of times between from and to.
func countBetween(times []time.Time, from, to time.Time) int {
	count := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			count++
		}
	}
	return count
}

// checkLimit checks that a server received no more requests between from and to
// than its rate limit allows.
func checkLimit(t *testing.T, s *platformServer, perSecond float64, from, to time.Time, restarted map[string]time.Time) {
	t.Helper()
	allowed := int(limitFactor*perSecond*limitWindow.Seconds()) + limitBurst
	got := maxInWindow(s.requestTimes(restarted), limitWindow, from, to.Add(-limitWindow))
	t.Logf("%s: %d in %v, %d allowed", s.id, got, limitWindow, allowed)
	assert.Assert(t, got <= allowed, "%s: rate limit %v/s, but got %d requests in %v, want at most %d",
		s.id, perSecond, got, limitWindow, allowed)
}

// load sends requests to entries until it is stopped and collects the answers.
type load struct {
	site  *platformSite
	path  string
	model string
	label string
	stop  chan struct{}
	done  sync.WaitGroup

	mutex   sync.Mutex
	answers []timedResponse
}

// timedResponse is an answer with the time and duration of its request.
type timedResponse struct {
	callerResponse
	at   time.Time
	took time.Duration
}

// startLoad starts sending requests at the given rate for each entry.
func (s *platformSite) startLoad(path, model, label string, perSecond map[string]float64) *load {
	l := &load{site: s, path: path, model: model, label: label, stop: make(chan struct{})}
	for entry, rate := range perSecond {
		l.done.Add(1)
		go l.run(entry, time.Duration(float64(time.Second)/rate))
	}
	return l
}

func (l *load) run(entry string, every time.Duration) {
	defer l.done.Done()
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-l.stop:
			return
		case <-ticker.C:
			l.done.Add(1)
			go l.sendRequest(entry, fmt.Sprintf("%s-%s-%d", entry, l.label, i))
		}
	}
}

func (l *load) sendRequest(entry, id string) {
	defer l.done.Done()
	header := map[string]string{}
	if l.model != "" {
		header = map[string]string{"Burdocklink-Model": l.model, "Burdocklink-Token-Count": "100,20"}
	}
	began := time.Now()
	got := l.site.send(entry, l.path, id, header)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.answers = append(l.answers, timedResponse{callerResponse: got, at: began, took: time.Since(began)})
}

// end stops sending, waits for the requests in flight and returns the answers to
// requests sent at or after the given time.
func (l *load) end(after time.Time) []timedResponse {
	close(l.stop)
	l.done.Wait()
	return slices.DeleteFunc(l.answers, func(answer timedResponse) bool { return answer.at.Before(after) })
}

// countStatus counts the answers with a status.
func countStatus(answers []timedResponse, status int) int {
	count := 0
	for _, answer := range answers {
		if answer.status == status {
			count++
		}
	}
	return count
}

// unevenRates returns rates for a number of entries, highest for the first.
func unevenRates(entries int) map[string]float64 {
	rates := map[string]float64{}
	for i := range entries {
		rates["front-"+strconv.Itoa(i+1)] = max(2, 12/float64(i+1))
	}
	return rates
}

// newLimitSite starts a site with three calendar servers and the given number of
// entries.
func newLimitSite(t *testing.T, entries int) *platformSite {
	t.Helper()
	s := newPlatformSite(t)
	s.subnet = entries
	s.addServer("calendar-2", "calendar")
	s.addServer("calendar-3", "calendar")
	s.start()
	for i := 2; i < entries; i++ {
		name := "front-" + strconv.Itoa(i+1)
		s.startNode("entry", name, s.frontHost(i), false)
		s.awaitReady(name)
	}
	return s
}

// TestUpstreamRateLimitsAreKept runs real processes against servers that return
// rate limits. The requests, report queries and orders of all VMs together must
// not exceed a server's limit.
func TestUpstreamRateLimitsAreKept(t *testing.T) {
	for name, entries := range map[string]int{"two entries": 2, "nine entries": 9} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newLimitSite(t, entries)
			t.Run("other servers take the excess", func(t *testing.T) { testLimit(t, s, entries) })
			t.Run("changed and removed limit", func(t *testing.T) { testChangedLimit(t, s, entries) })
			t.Run("all servers limited", func(t *testing.T) { testAllLimited(t, s, entries) })
			t.Run("broken streams", func(t *testing.T) { testLimitedStreams(t, s, entries) })
			t.Run("failing processes", func(t *testing.T) { testLimitUnderFaults(t, s, entries) })
		})
	}
}

func testLimit(t *testing.T, s *platformSite, entries int) {
	limited := s.server("calendar-1")
	limitedAt := limited.setLimit("1")
	l := s.startLoad("/book/1", "", "some", unevenRates(entries))
	time.Sleep(limitDelay + limitWindow + severalHeartbeats)
	ended := limited.setLimit("")
	checkLimit(t, limited, 1, limitedAt.Add(limitDelay), ended, nil)
	time.Sleep(limitDelay)
	back := countBetween(limited.requestTimes(nil), ended.Add(limitDelay-time.Second), ended.Add(limitDelay))
	answers := l.end(limitedAt)
	assert.Assert(t, back > 5, "%d requests in a second after the limit was removed", back)
	served := countStatus(answers, http.StatusOK)
	assert.Assert(t, served >= len(answers)*95/100, "%d of %d served", served, len(answers))
}

func testChangedLimit(t *testing.T, s *platformSite, entries int) {
	limited := s.server("calendar-1")
	others := []*platformServer{s.server("calendar-2"), s.server("calendar-3")}
	for _, server := range others {
		server.setLimit("2")
	}
	limitedAt := limited.setLimit("6")
	l := s.startLoad("/book/1", "", "change", unevenRates(entries))
	time.Sleep(limitDelay + limitWindow + severalHeartbeats)
	lowered := limited.setLimit("1")
	checkLimit(t, limited, 6, limitedAt.Add(limitDelay), lowered, nil)
	time.Sleep(limitDelay + limitWindow + severalHeartbeats)
	raised := limited.setLimit("")
	checkLimit(t, limited, 1, lowered.Add(limitDelay), raised, nil)
	// the old limit applies until an answer arrives without one
	time.Sleep(limitDelay)
	ended := time.Now()
	for _, server := range others {
		checkLimit(t, server, 2, limitedAt.Add(limitDelay), ended, nil)
		server.setLimit("")
	}
	l.end(raised)
	free := countBetween(limited.requestTimes(nil), ended.Add(-time.Second), ended)
	assert.Assert(t, free > 5, "%d requests in a second after the limit was removed", free)
}

func testAllLimited(t *testing.T, s *platformSite, entries int) {
	var limitedAt time.Time
	servers := []*platformServer{s.server("calendar-1"), s.server("calendar-2"), s.server("calendar-3")}
	for _, server := range servers {
		limitedAt = server.setLimit("2")
	}
	l := s.startLoad("/book/1", "", "all", unevenRates(entries))
	time.Sleep(limitDelay + limitWindow + severalHeartbeats)
	ended := time.Now()
	answers := l.end(limitedAt.Add(limitDelay))
	for _, server := range servers {
		checkLimit(t, server, 2, limitedAt.Add(limitDelay), ended, nil)
		got := countBetween(server.requestTimes(nil), ended.Add(-limitWindow), ended)
		assert.Assert(t, got >= 5, "%s got %d requests in %v at a limit of 2 a second", server.id, got, limitWindow)
		server.setLimit("")
	}
	for _, answer := range answers {
		if answer.status == http.StatusServiceUnavailable {
			assert.Assert(t, answer.header.Get("Retry-After") != "", "refused without Retry-After")
		}
	}
	refused := countStatus(answers, http.StatusServiceUnavailable)
	assert.Equal(t, countStatus(answers, http.StatusOK)+refused, len(answers), "answers served or refused")
}

func testLimitedStreams(t *testing.T, s *platformSite, entries int) {
	engines := []*platformServer{s.server("engine-1"), s.server("engine-2")}
	var limitedAt time.Time
	for _, engine := range engines {
		limitedAt = engine.setLimit("2")
		engine.mutex.Lock()
		engine.streamsToBreak = 1000
		engine.mutex.Unlock()
	}
	l := s.startLoad("/draft/1", "m1", "stream", unevenRates(entries))
	time.Sleep(limitDelay + limitWindow + severalHeartbeats)
	ended := time.Now()
	l.end(limitedAt)
	for _, engine := range engines {
		checkLimit(t, engine, 2, limitedAt.Add(limitDelay), ended, nil)
		engine.setLimit("")
		engine.mutex.Lock()
		engine.streamsToBreak = 0
		engine.mutex.Unlock()
	}
}

func testLimitUnderFaults(t *testing.T, s *platformSite, entries int) {
	servers := []*platformServer{s.server("calendar-1"), s.server("calendar-2"), s.server("calendar-3")}
	var limitedAt time.Time
	for _, server := range servers {
		limitedAt = server.setLimit("1.5")
	}
	l := s.startLoad("/book/1", "", "fault", unevenRates(entries))
	time.Sleep(limitDelay)
	s.nodes["front-1"].freeze()
	time.Sleep(severalHeartbeats)
	for _, name := range []string{"core-1", "core-2", "core-3"} {
		if len(s.logLines(name, "will give orders")) > len(s.logLines(name, "gives no more orders")) {
			s.nodes[name].kill()
			s.nodes[name].launch(t)
			break
		}
	}
	s.nodes["front-1"].thaw()
	time.Sleep(severalHeartbeats)
	s.nodes["front-2"].kill()
	s.nodes["front-2"].launch(t)
	s.awaitReady("front-2")
	back := time.Now().Add(severalHeartbeats)
	time.Sleep(limitWindow + 2*severalHeartbeats)
	ended := time.Now()
	l.end(limitedAt)
	for _, server := range servers {
		checkLimit(t, server, 1.5, limitedAt.Add(limitDelay), ended, map[string]time.Time{"front-2": back})
		got := countBetween(server.requestTimes(nil), ended.Add(-limitWindow), ended)
		assert.Assert(t, got >= 3, "%s got %d requests in %v at a limit of 1.5 a second", server.id, got, limitWindow)
		server.setLimit("")
	}
}
