package prover_test

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// limitNoticeDelay is how long an entry may take to apply a rate limit after it
// has passed on an answer with it, as guaranteed.
const limitNoticeDelay = 500 * time.Millisecond

// limitPeriod is an interval in which a server returned a rate limit.
type limitPeriod struct {
	interval
	server    *platformServer
	perSecond int
}

// limitServer makes a server return a rate limit for a random time.
func (s *soak) limitServer(server *platformServer) {
	if s.faults.limited[server.id] {
		return
	}
	s.faults.limited[server.id] = true
	limit := limitPeriod{server: server, perSecond: 1 + s.random.IntN(2)}
	limit.begin = server.setLimit(strconv.Itoa(limit.perSecond))
	s.endLater(6000, 12000, func() {
		limit.end = server.setLimit("")
		s.faults.limits = append(s.faults.limits, limit)
		s.faults.limited[server.id] = false
	})
}

// checkLimits checks the rates at which requests reached servers under their rate
// limits. It only counts requests from entries that have passed on an answer with
// the limit and were not restarted, frozen or behind a disturbed link since.
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
			s.observations.addViolation("%d requests in %v reached %s with a rate limit of %d/s, want at most %d",
				got, limitWindow, limit.server.id, limit.perSecond, allowed)
		}
	}
	s.t.Logf("%d rate limits of servers checked", len(s.faults.limits))
}

// timesUnderLimit returns the arrival times of an entry's requests that count
// under a rate limit. After a disturbance, the requests of an entry count again
// once it has passed on another answer with the limit.
func (s *soak) timesUnderLimit(limit limitPeriod, entry string) []time.Time {
	var noticed time.Time
	var times []time.Time
	for _, arrival := range limit.server.arrivals {
		if !strings.Contains(arrival.id, entry) || arrival.limit == "" || arrival.at.Before(limit.begin) || arrival.at.After(limit.end) {
			continue
		}
		if s.wasDisturbed(entry, noticed, arrival.at) || s.wasDisturbed(entry+frozenSuffix, noticed, arrival.at) ||
			s.wasDisturbed(limit.server.address, noticed, arrival.at) {
			noticed = time.Time{}
		}
		if !noticed.IsZero() && arrival.at.Sub(noticed) > limitNoticeDelay && arrival.at.Sub(limit.begin) > limitDelay {
			times = append(times, arrival.at)
		}
		if began, ok := s.observations.answerBegan.Load(arrival.id); ok && noticed.IsZero() {
			noticed = began.(time.Time)
		}
	}
	return times
}
