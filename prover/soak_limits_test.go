package prover_test

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// toldSlack is how long after an entry has passed on an answer that names a limit
// its requests count, by the promise.
const toldSlack = 500 * time.Millisecond

// namedLimit is a time in which a server named a limit.
type namedLimit struct {
	span
	server    *platformServer
	perSecond int
}

// limit has a server name a limit for a while.
func (s *soak) limit(server *platformServer) {
	if s.faults.limited[server.id] {
		return
	}
	s.faults.limited[server.id] = true
	named := namedLimit{server: server, perSecond: 1 + s.random.IntN(2)}
	named.begin = server.name(strconv.Itoa(named.perSecond))
	s.until(6000, 12000, func() {
		named.end = server.name("")
		s.faults.limits = append(s.faults.limits, named)
		s.faults.limited[server.id] = false
	})
}

// checkLimits counts what reached servers under the limits that they named, from
// the entries that had passed on such an answer. A restart, a freeze or a
// disturbed link excuses an entry.
func (s *soak) checkLimits() {
	for _, one := range s.faults.limits {
		var times []time.Time
		one.server.mutex.Lock()
		for _, entry := range s.roles[:2] {
			times = append(times, s.countedUnder(one, entry.name)...)
		}
		one.server.mutex.Unlock()
		slices.SortFunc(times, time.Time.Compare)
		allowed := int(limitExcess*float64(one.perSecond)*limitWindow.Seconds()) + limitSpare
		if got := mostIn(times, limitWindow, one.begin, one.end); got > allowed {
			s.seen.broken("%d requests in %v reached %s, which had named %d a second; %d are allowed",
				got, limitWindow, one.server.id, one.perSecond, allowed)
		}
	}
	s.t.Logf("%d times a server named a limit", len(s.faults.limits))
}

// countedUnder returns when requests of an entry reached a server that count under
// a limit. One that was disturbed counts again once it has passed on another answer.
func (s *soak) countedUnder(limit namedLimit, entry string) []time.Time {
	var told time.Time
	var times []time.Time
	for _, one := range limit.server.arrivals {
		if !strings.Contains(one.id, entry) || one.limit == "" || one.at.Before(limit.begin) || one.at.After(limit.end) {
			continue
		}
		if s.wasDisturbed(entry, told, one.at) || s.wasDisturbed(entry+frozen, told, one.at) ||
			s.wasDisturbed(limit.server.address, told, one.at) {
			told = time.Time{}
		}
		if !told.IsZero() && one.at.Sub(told) > toldSlack && one.at.Sub(limit.begin) > limitFrom {
			times = append(times, one.at)
		}
		if passed, ok := s.seen.passed.Load(one.id); ok && told.IsZero() {
			told = passed.(time.Time)
		}
	}
	return times
}
