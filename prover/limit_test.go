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
	// limitWindow is the span in which requests to a limited server are counted,
	// limitExcess how many times its limit may come in it, and limitSpare how many
	// requests beside them.
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSpare  = 5
	// limitFrom is how long after a server first names a limit the limit counts.
	limitFrom = 3 * time.Second
)

// name makes the server name a limit in all answers, none where it is empty.
func (s *platformServer) name(limit string) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.limit = limit
	return time.Now()
}

// came returns when requests, reports and orders came from all VMs, in order.
// Those of the entries in restarted don't count before a time.
func (s *platformServer) came(restarted map[string]time.Time) []time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	times := slices.Clone(s.calls)
	for _, one := range s.arrivals {
		entry := strings.Join(strings.SplitN(one.id, "-", 3)[:2], "-")
		if !one.at.Before(restarted[entry]) {
			times = append(times, one.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// mostIn is the largest number of times within a window that begins between two
// times.
func mostIn(times []time.Time, window time.Duration, from, to time.Time) int {
	most := 0
	for at, first := range times {
		if first.Before(from) || first.After(to) {
			continue
		}
		past, _ := slices.BinarySearchFunc(times, first.Add(window), time.Time.Compare)
		most = max(most, past-at)
	}
	return most
}

// countIn is how many times lie between two others.
func countIn(times []time.Time, from, to time.Time) int {
	count := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			count++
		}
	}
	return count
}

// checkLimit checks what a server got between two times under one limit.
func checkLimit(t *testing.T, s *platformServer, perSecond float64, from, to time.Time, restarted map[string]time.Time) {
	t.Helper()
	allowed := int(limitExcess*perSecond*limitWindow.Seconds()) + limitSpare
	got := mostIn(s.came(restarted), limitWindow, from, to.Add(-limitWindow))
	t.Logf("%s: %d in %v, %d allowed", s.id, got, limitWindow, allowed)
	assert.Assert(t, got <= allowed, "%s named a limit of %v a second and got %d requests in %v, %d are allowed",
		s.id, perSecond, got, limitWindow, allowed)
}

// load sends requests through entries until it is stopped, and keeps what the
// callers got.
type load struct {
	site  *platformSite
	path  string
	model string
	label string
	stop  chan struct{}
	done  sync.WaitGroup

	mutex   sync.Mutex
	answers []timedAnswer
}

// timedAnswer is an answer with the time of its request.
type timedAnswer struct {
	answered
	at   time.Time
	took time.Duration
}

// flood begins to send, so many requests a second through each entry.
func (s *platformSite) flood(path, model, label string, perSecond map[string]float64) *load {
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
	for at := 0; ; at++ {
		select {
		case <-l.stop:
			return
		case <-ticker.C:
			l.done.Add(1)
			go l.ask(entry, fmt.Sprintf("%s-%s-%d", entry, l.label, at))
		}
	}
}

func (l *load) ask(entry, id string) {
	defer l.done.Done()
	header := map[string]string{}
	if l.model != "" {
		header = map[string]string{"Burdocklink-Model": l.model, "Burdocklink-Token-Count": "100,20"}
	}
	began := time.Now()
	got := l.site.ask(entry, l.path, id, header)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.answers = append(l.answers, timedAnswer{answered: got, at: began, took: time.Since(began)})
}

// end stops sending and returns the answers to requests sent after a time.
func (l *load) end(after time.Time) []timedAnswer {
	close(l.stop)
	l.done.Wait()
	return slices.DeleteFunc(l.answers, func(one timedAnswer) bool { return one.at.Before(after) })
}

// countStatus counts the answers with a status.
func countStatus(answers []timedAnswer, status int) int {
	count := 0
	for _, one := range answers {
		if one.status == status {
			count++
		}
	}
	return count
}

// uneven gives the first of so many entries most of the requests.
func uneven(entries int) map[string]float64 {
	rates := map[string]float64{}
	for at := range entries {
		rates["front-"+strconv.Itoa(at+1)] = max(2, 12/float64(at+1))
	}
	return rates
}

// newLimitSite starts a site with three calendars and so many entries.
func newLimitSite(t *testing.T, entries int) *platformSite {
	t.Helper()
	s := newPlatformSite(t)
	s.block = entries
	s.add("calendar-2", "calendar")
	s.add("calendar-3", "calendar")
	s.start()
	for at := 2; at < entries; at++ {
		name := "front-" + strconv.Itoa(at+1)
		s.node("entry", name, s.frontHost(at), false)
		s.ready(name)
	}
	return s
}

// TestUpstreamsGetNoMoreThanTheLimitsTheyName plays servers that name a limit of
// requests a second, before real processes. What counts is what reaches the
// servers from all VMs together, orders and reports among it.
func TestUpstreamsGetNoMoreThanTheLimitsTheyName(t *testing.T) {
	for name, entries := range map[string]int{"two entries": 2, "nine entries": 9} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newLimitSite(t, entries)
			t.Run("others take what is beyond it", func(t *testing.T) { playLimit(t, s, entries) })
			t.Run("another limit, and none", func(t *testing.T) { playChangedLimit(t, s, entries) })
			t.Run("all name one", func(t *testing.T) { playAllLimited(t, s, entries) })
			t.Run("streams that break", func(t *testing.T) { playLimitedStreams(t, s, entries) })
			t.Run("while processes fail", func(t *testing.T) { playLimitUnderFaults(t, s, entries) })
		})
	}
}

func playLimit(t *testing.T, s *platformSite, entries int) {
	limited := s.server("calendar-1")
	named := limited.name("1")
	l := s.flood("/book/1", "", "some", uneven(entries))
	time.Sleep(limitFrom + limitWindow + shortTime)
	ended := limited.name("")
	checkLimit(t, limited, 1, named.Add(limitFrom), ended, nil)
	time.Sleep(limitFrom)
	back := countIn(limited.came(nil), ended.Add(limitFrom-time.Second), ended.Add(limitFrom))
	answers := l.end(named)
	assert.Assert(t, back > 5, "%d requests in a second after the limit has ended", back)
	served := countStatus(answers, http.StatusOK)
	assert.Assert(t, served >= len(answers)*95/100, "%d of %d served", served, len(answers))
}

func playChangedLimit(t *testing.T, s *platformSite, entries int) {
	limited := s.server("calendar-1")
	others := []*platformServer{s.server("calendar-2"), s.server("calendar-3")}
	for _, one := range others {
		one.name("2")
	}
	named := limited.name("6")
	l := s.flood("/book/1", "", "change", uneven(entries))
	time.Sleep(limitFrom + limitWindow + shortTime)
	lowered := limited.name("1")
	checkLimit(t, limited, 6, named.Add(limitFrom), lowered, nil)
	time.Sleep(limitFrom + limitWindow + shortTime)
	raised := limited.name("")
	checkLimit(t, limited, 1, lowered.Add(limitFrom), raised, nil)
	// requests reach it at the old limit until one is answered without it
	time.Sleep(limitFrom)
	ended := time.Now()
	for _, one := range others {
		checkLimit(t, one, 2, named.Add(limitFrom), ended, nil)
		one.name("")
	}
	l.end(raised)
	free := countIn(limited.came(nil), ended.Add(-time.Second), ended)
	assert.Assert(t, free > 5, "%d requests in a second after the limit has ended", free)
}

func playAllLimited(t *testing.T, s *platformSite, entries int) {
	var named time.Time
	servers := []*platformServer{s.server("calendar-1"), s.server("calendar-2"), s.server("calendar-3")}
	for _, one := range servers {
		named = one.name("2")
	}
	l := s.flood("/book/1", "", "all", uneven(entries))
	time.Sleep(limitFrom + limitWindow + shortTime)
	ended := time.Now()
	answers := l.end(named.Add(limitFrom))
	for _, one := range servers {
		checkLimit(t, one, 2, named.Add(limitFrom), ended, nil)
		got := countIn(one.came(nil), ended.Add(-limitWindow), ended)
		assert.Assert(t, got >= 5, "%s got %d requests in %v at a limit of 2 a second", one.id, got, limitWindow)
		one.name("")
	}
	for _, one := range answers {
		if one.status == http.StatusServiceUnavailable {
			assert.Assert(t, one.header.Get("Retry-After") != "", "refused without a time to come back")
		}
	}
	refused := countStatus(answers, http.StatusServiceUnavailable)
	assert.Equal(t, countStatus(answers, http.StatusOK)+refused, len(answers), "each is served or refused")
}

func playLimitedStreams(t *testing.T, s *platformSite, entries int) {
	engines := []*platformServer{s.server("engine-1"), s.server("engine-2")}
	var named time.Time
	for _, one := range engines {
		named = one.name("2")
		one.mutex.Lock()
		one.breaks = 1000
		one.mutex.Unlock()
	}
	l := s.flood("/draft/1", "m1", "stream", uneven(entries))
	time.Sleep(limitFrom + limitWindow + shortTime)
	ended := time.Now()
	l.end(named)
	for _, one := range engines {
		checkLimit(t, one, 2, named.Add(limitFrom), ended, nil)
		one.name("")
		one.mutex.Lock()
		one.breaks = 0
		one.mutex.Unlock()
	}
}

func playLimitUnderFaults(t *testing.T, s *platformSite, entries int) {
	servers := []*platformServer{s.server("calendar-1"), s.server("calendar-2"), s.server("calendar-3")}
	var named time.Time
	for _, one := range servers {
		named = one.name("1.5")
	}
	l := s.flood("/book/1", "", "fault", uneven(entries))
	time.Sleep(limitFrom)
	s.nodes["front-1"].freeze()
	time.Sleep(shortTime)
	for _, name := range []string{"core-1", "core-2", "core-3"} {
		if len(s.decisions(name, "will give orders")) > len(s.decisions(name, "gives no more orders")) {
			s.nodes[name].kill()
			s.nodes[name].begin(t)
			break
		}
	}
	s.nodes["front-1"].thaw()
	time.Sleep(shortTime)
	s.nodes["front-2"].kill()
	s.nodes["front-2"].begin(t)
	s.ready("front-2")
	back := time.Now().Add(shortTime)
	time.Sleep(limitWindow + 2*shortTime)
	ended := time.Now()
	l.end(named)
	for _, one := range servers {
		checkLimit(t, one, 1.5, named.Add(limitFrom), ended, map[string]time.Time{"front-2": back})
		got := countIn(one.came(nil), ended.Add(-limitWindow), ended)
		assert.Assert(t, got >= 3, "%s got %d requests in %v at a limit of 1.5 a second", one.id, got, limitWindow)
		one.name("")
	}
}
