package prover_test

import (
	"os"
	"slices"
	"syscall"
	"time"

	"gotest.tools/v3/assert"
)

// soakFaultsUnderWay are the faults that have begun and not ended.
type soakFaultsUnderWay struct {
	ends []faultEnd
	// down are processes that a fault has ended or frozen, by name, and harmed
	// the links that a fault disturbs.
	down   map[string]bool
	harmed map[*link]bool
	// wiped is when a member last lost its disk; caught up members may lose
	// theirs later.
	wiped time.Time
	// disturbed are the times in which a process, or the link before a server,
	// was disturbed, by name.
	disturbed map[string][]span
	// limits are the limits that servers named, and limited says which name one now.
	limits  []namedLimit
	limited map[string]bool
	// endedAlone are processes that were found dead without a fault.
	endedAlone []string
}

// span is a time between two moments.
type span struct{ begin, end time.Time }

// faultEnd is the end of a fault, due at a time.
type faultEnd struct {
	at  time.Time
	end func()
}

// catchUpTime is how long a member that lost its disk counts as lost after it is
// back.
const catchUpTime = 4 * time.Second

// wait lets time pass and ends the faults that are due.
func (s *soak) wait(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(testPause) {
		s.endFaults(time.Now())
	}
}

func (s *soak) endFaults(now time.Time) {
	var due []faultEnd
	s.faults.ends = slices.DeleteFunc(s.faults.ends, func(one faultEnd) bool {
		if one.at.After(now) {
			return false
		}
		due = append(due, one)
		return true
	})
	for _, one := range due {
		one.end()
	}
}

// until ends a fault after a random time.
func (s *soak) until(least, most int, end func()) {
	s.faults.ends = append(s.faults.ends, faultEnd{at: time.Now().Add(s.between(least, most)), end: end})
}

// heal ends all faults.
func (s *soak) heal() {
	for len(s.faults.ends) > 0 {
		s.endFaults(time.Now().Add(time.Hour))
		time.Sleep(testPause)
	}
}

// beginFault draws a fault. One that finds nothing to harm does nothing.
func (s *soak) beginFault() {
	if s.faults.down == nil {
		s.faults.down, s.faults.harmed = map[string]bool{}, map[*link]bool{}
		s.faults.disturbed, s.faults.limited = map[string][]span{}, map[string]bool{}
	}
	one := s.roles[s.random.IntN(len(s.roles))]
	proxy := s.links[s.random.IntN(len(s.links))]
	server := s.servers[s.random.IntN(len(s.servers))]
	kind := s.random.IntN(16)
	s.t.Logf("%s fault %d at %s, link %s, server %s", time.Now().Format(time.TimeOnly+".000"), kind, one.name,
		proxy.proxy.Upstream, server.id)
	switch kind {
	case 0, 1, 2:
		s.harmLink(proxy)
	case 3:
		s.freeze(one)
	case 4, 5:
		s.kill(one)
	case 6:
		s.stop(one)
	case 7:
		s.reload(one)
	case 8:
		for _, each := range s.roles {
			s.kill(each)
		}
	case 9:
		s.wipe(s.roles[2+s.random.IntN(3)])
	case 10, 11:
		server.leave()
		s.until(1000, 3000, server.replace)
	case 12, 13:
		server.pauseFor(s.between(800, 2500))
	case 14, 15:
		s.limit(server)
	}
}

// harmLink disturbs one link for a while.
func (s *soak) harmLink(proxy *link) {
	if s.faults.harmed[proxy] {
		return
	}
	s.faults.harmed[proxy] = true
	begin := time.Now()
	switch s.random.IntN(4) {
	case 0:
		proxy.slow(s.t, s.between(20, 300))
	case 1:
		proxy.cut()
	case 2:
		proxy.silence(s.t, []string{toServer, toClient}[s.random.IntN(2)])
	case 3:
		proxy.forget(s.t)
	}
	s.until(200, 2000, func() {
		proxy.heal(s.t)
		s.faults.harmed[proxy] = false
		s.disturbed(proxy.listen, begin)
	})
}

// take marks a process as disturbed, unless it is already.
func (s *soak) take(one soakRole) bool {
	if s.faults.down[one.name] {
		return false
	}
	if s.nodes[one.name].dead() {
		s.faults.endedAlone = append(s.faults.endedAlone, one.name)
		s.disturbed(one.name, time.Now())
		s.nodes[one.name].begin(s.t)
	}
	s.faults.down[one.name] = true
	return true
}

func (s *soak) freeze(one soakRole) {
	if !s.take(one) {
		return
	}
	s.nodes[one.name].freeze()
	begin := time.Now()
	s.until(100, 2500, func() {
		s.disturbed(one.name+frozen, begin)
		s.nodes[one.name].thaw()
		s.faults.down[one.name] = false
	})
}

// kill ends a process at once and starts it again.
func (s *soak) kill(one soakRole) {
	if !s.take(one) {
		return
	}
	s.nodes[one.name].kill()
	s.restart(one)
}

func (s *soak) restart(one soakRole) {
	begin := time.Now()
	s.until(50, 1000, func() {
		s.disturbed(one.name, begin)
		s.nodes[one.name].begin(s.t)
		s.faults.down[one.name] = false
	})
}

// stop asks a process to end, and starts it again once it has, or has had its
// time.
func (s *soak) stop(one soakRole) {
	if !s.take(one) {
		return
	}
	s.nodes[one.name].signal(syscall.SIGTERM)
	s.awaitEnd(one, time.Now().Add(graceTime))
}

// graceTime is how long a process has to end after it was asked to.
const graceTime = 8 * time.Second

// awaitEnd starts a process again once it has ended, which it must by a time.
func (s *soak) awaitEnd(one soakRole, by time.Time) {
	s.until(200, 400, func() {
		late := time.Now().After(by)
		if !late && !s.nodes[one.name].dead() {
			s.awaitEnd(one, by)
			return
		}
		if late {
			s.seen.broken("%s had not ended in %v", one.name, graceTime)
		}
		s.nodes[one.name].kill()
		s.disturbed(one.name, time.Now())
		s.nodes[one.name].begin(s.t)
		s.faults.down[one.name] = false
	})
}

// reload has a process read its settings again.
func (s *soak) reload(one soakRole) {
	if !s.faults.down[one.name] {
		s.nodes[one.name].signal(syscall.SIGHUP)
	}
}

// wipe takes a member's disk away: one at a time, while the others are well.
func (s *soak) wipe(one soakRole) {
	for _, other := range s.roles[2:] {
		if s.faults.down[other.name] {
			return
		}
	}
	if time.Since(s.faults.wiped) < 2*catchUpTime || !s.take(one) {
		return
	}
	s.faults.wiped = time.Now()
	s.nodes[one.name].kill()
	assert.NilError(s.t, os.RemoveAll(s.folder(one.name)))
	s.restart(one)
}
