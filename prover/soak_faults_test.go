package prover_test

import (
	"os"
	"slices"
	"syscall"
	"time"

	"gotest.tools/v3/assert"
)

// activeFaults are the faults that have begun and not ended.
type activeFaults struct {
	ends []scheduledEnd
	// down are processes that a fault has ended or frozen, by name, and harmed
	// the links that a fault disturbs.
	down           map[string]bool
	disturbedLinks map[*link]bool
	// lastWipe is when a member last lost its disk; caught up members may lose
	// theirs later.
	lastWipe time.Time
	// disturbed are the times in which a process, or the link before a server,
	// was disturbed, by name.
	disturbed map[string][]interval
	// limits are the limits that servers named, and limited says which name one now.
	limits  []namedLimit
	limited map[string]bool
	// unexpectedExits are processes that were found dead without a fault.
	unexpectedExits []string
}

// interval is a time between two moments.
type interval struct{ begin, end time.Time }

// scheduledEnd is the end of a fault, due at a time.
type scheduledEnd struct {
	at  time.Time
	end func()
}

// catchUpTime is how long a member that lost its disk counts as lost after it is
// back.
const catchUpTime = 4 * time.Second

// runFaultsFor lets time pass and ends the faults that are due.
func (s *soak) runFaultsFor(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(pollInterval) {
		s.endFaults(time.Now())
	}
}

func (s *soak) endFaults(now time.Time) {
	var due []scheduledEnd
	s.faults.ends = slices.DeleteFunc(s.faults.ends, func(end scheduledEnd) bool {
		if end.at.After(now) {
			return false
		}
		due = append(due, end)
		return true
	})
	for _, fault := range due {
		fault.end()
	}
}

// endLater ends a fault after a random time.
func (s *soak) endLater(least, most int, end func()) {
	s.faults.ends = append(s.faults.ends, scheduledEnd{at: time.Now().Add(s.randomDuration(least, most)), end: end})
}

// heal ends all faults.
func (s *soak) heal() {
	for len(s.faults.ends) > 0 {
		s.endFaults(time.Now().Add(time.Hour))
		time.Sleep(pollInterval)
	}
}

// beginFault draws a fault. One that finds nothing to harm does nothing.
func (s *soak) beginFault() {
	if s.faults.down == nil {
		s.faults.down, s.faults.disturbedLinks = map[string]bool{}, map[*link]bool{}
		s.faults.disturbed, s.faults.limited = map[string][]interval{}, map[string]bool{}
	}
	process := s.processes[s.random.IntN(len(s.processes))]
	proxy := s.links[s.random.IntN(len(s.links))]
	server := s.servers[s.random.IntN(len(s.servers))]
	kind := s.random.IntN(16)
	s.t.Logf("%s fault %d at %s, link %s, server %s", time.Now().Format(time.TimeOnly+".000"), kind, process.name,
		proxy.proxy.Upstream, server.id)
	switch kind {
	case 0, 1, 2:
		s.disturbLink(proxy)
	case 3:
		s.freeze(process)
	case 4, 5:
		s.kill(process)
	case 6:
		s.stop(process)
	case 7:
		s.reload(process)
	case 8:
		for _, each := range s.processes {
			s.kill(each)
		}
	case 9:
		s.wipe(s.processes[2+s.random.IntN(3)])
	case 10, 11:
		server.announceLeaving()
		s.endLater(1000, 3000, server.replace)
	case 12, 13:
		server.startPause(s.randomDuration(800, 2500))
	case 14, 15:
		s.limitServer(server)
	}
}

// disturbLink disturbs one link for a while.
func (s *soak) disturbLink(proxy *link) {
	if s.faults.disturbedLinks[proxy] {
		return
	}
	s.faults.disturbedLinks[proxy] = true
	begin := time.Now()
	switch s.random.IntN(4) {
	case 0:
		proxy.addLatency(s.t, s.randomDuration(20, 300))
	case 1:
		proxy.disconnect()
	case 2:
		proxy.blackhole(s.t, []string{toServer, toClient}[s.random.IntN(2)])
	case 3:
		proxy.stallOpenConnections(s.t)
	}
	s.endLater(200, 2000, func() {
		proxy.heal(s.t)
		s.faults.disturbedLinks[proxy] = false
		s.recordDisturbance(proxy.listen, begin)
	})
}

// claimProcess marks a process as disturbed, unless it is already.
func (s *soak) claimProcess(process soakProcess) bool {
	if s.faults.down[process.name] {
		return false
	}
	if s.nodes[process.name].exited() {
		s.faults.unexpectedExits = append(s.faults.unexpectedExits, process.name)
		s.recordDisturbance(process.name, time.Now())
		s.nodes[process.name].launch(s.t)
	}
	s.faults.down[process.name] = true
	return true
}

func (s *soak) freeze(process soakProcess) {
	if !s.claimProcess(process) {
		return
	}
	s.nodes[process.name].freeze()
	begin := time.Now()
	s.endLater(100, 2500, func() {
		s.recordDisturbance(process.name+frozenSuffix, begin)
		s.nodes[process.name].thaw()
		s.faults.down[process.name] = false
	})
}

// kill ends a process at once and starts it again.
func (s *soak) kill(process soakProcess) {
	if !s.claimProcess(process) {
		return
	}
	s.nodes[process.name].kill()
	s.restart(process)
}

func (s *soak) restart(process soakProcess) {
	begin := time.Now()
	s.endLater(50, 1000, func() {
		s.recordDisturbance(process.name, begin)
		s.nodes[process.name].launch(s.t)
		s.faults.down[process.name] = false
	})
}

// stop asks a process to end, and starts it again once it has, or has had its
// time.
func (s *soak) stop(process soakProcess) {
	if !s.claimProcess(process) {
		return
	}
	s.nodes[process.name].signal(syscall.SIGTERM)
	s.awaitEnd(process, time.Now().Add(graceTime))
}

// graceTime is how long a process has to end after it was asked to.
const graceTime = 8 * time.Second

// awaitEnd starts a process again once it has ended, which it must by a time.
func (s *soak) awaitEnd(process soakProcess, by time.Time) {
	s.endLater(200, 400, func() {
		late := time.Now().After(by)
		if !late && !s.nodes[process.name].exited() {
			s.awaitEnd(process, by)
			return
		}
		if late {
			s.seen.addViolation("%s had not ended in %v", process.name, graceTime)
		}
		s.nodes[process.name].kill()
		s.recordDisturbance(process.name, time.Now())
		s.nodes[process.name].launch(s.t)
		s.faults.down[process.name] = false
	})
}

// reload has a process read its settings again.
func (s *soak) reload(process soakProcess) {
	if !s.faults.down[process.name] {
		s.nodes[process.name].signal(syscall.SIGHUP)
	}
}

// wipe takes a member's disk away: one at a time, while the others are well.
func (s *soak) wipe(process soakProcess) {
	for _, other := range s.processes[2:] {
		if s.faults.down[other.name] {
			return
		}
	}
	if time.Since(s.faults.lastWipe) < 2*catchUpTime || !s.claimProcess(process) {
		return
	}
	s.faults.lastWipe = time.Now()
	s.nodes[process.name].kill()
	assert.NilError(s.t, os.RemoveAll(s.folder(process.name)))
	s.restart(process)
}
