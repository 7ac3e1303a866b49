package prover_test

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// limitNoticeDelay is how long after an entry has passed on an answer that names a limit
// its requests count, by the promise.
const limitNoticeDelay = 500 * time.Millisecond

// namedLimit is a time in which a server named a limit.
type namedLimit struct {
	interval
	server    *platformServer
	perSecond int
}

// limitServer has a server name a limit for a while.
func (s *soak) limitServer(server *platformServer) {
	if s.faults.limited[server.id] {
		return
	}
	s.faults.limited[server.id] = true
	named := namedLimit{server: server, perSecond: 1 + s.random.IntN(2)}
	named.begin = server.setLimit(strconv.Itoa(named.perSecond))
	s.endLater(6000, 12000, func() {
		named.end = server.setLimit("")
		s.faults.limits = append(s.faults.limits, named)
		s.faults.limited[server.id] = false
	})
}

// checkLimits counts what reached servers under the limits that they named, from
// the entries that had passed on such an answer. A restart, a freeze or a
// disturbed link excuses an entry.
func (s *soak) checkLimits() {
	for _, limit := range s.faults.limits {
		var times []time.Time
		limit.server.mutex.Lock()
		for _, entry := range s.processes[:2] {
			times = append(times, s.timesUnderLimit(limit, entry.name)...)
		}
		limit.server.mutex.Unlock()
		slices.SortFunc(times, time.Time.Compare)
		allowed := int(limitFactor*float64(limit.perSecond)*limitWindow.Seconds()) + limitBurst
		if got := maxInWindow(times, limitWindow, limit.begin, limit.end); got > allowed {
			s.seen.addViolation("%d requests in %v reached %s, which had named %d a second; %d are allowed",
				got, limitWindow, limit.server.id, limit.perSecond, allowed)
		}
	}
	s.t.Logf("%d times a server named a limit", len(s.faults.limits))
}

// timesUnderLimit returns when requests of an entry reached a server that count under
// a limit. One that was disturbed counts again once it has passed on another answer.
func (s *soak) timesUnderLimit(limit namedLimit, entry string) []time.Time {
	var told time.Time
	var times []time.Time
	for _, arrival := range limit.server.arrivals {
		if !strings.Contains(arrival.id, entry) || arrival.limit == "" || arrival.at.Before(limit.begin) || arrival.at.After(limit.end) {
			continue
		}
		if s.wasDisturbed(entry, told, arrival.at) || s.wasDisturbed(entry+frozenSuffix, told, arrival.at) ||
			s.wasDisturbed(limit.server.address, told, arrival.at) {
			told = time.Time{}
		}
		if !told.IsZero() && arrival.at.Sub(told) > limitNoticeDelay && arrival.at.Sub(limit.begin) > limitDelay {
			times = append(times, arrival.at)
		}
		if passed, ok := s.seen.answerBegan.Load(arrival.id); ok && told.IsZero() {
			told = passed.(time.Time)
		}
	}
	return times
}
