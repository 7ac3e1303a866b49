package prover_test

import (
	"os"
	"slices"
	"syscall"
	"time"

	"gotest.tools/v3/assert"
)

// activeFaults is the state of the injected faults.
type activeFaults struct {
	ends []scheduledEnd
	// down are the processes, by name, that a fault has killed, stopped or frozen;
	// disturbedLinks are the links with a fault.
	down           map[string]bool
	disturbedLinks map[*link]bool
	// lastWipe is when a member last lost its disk. Another one may only lose its
	// disk after that member has caught up.
	lastWipe time.Time
	// disturbed are the intervals in which a process, or the link to a server, was
	// disturbed, by process name or link address.
	disturbed map[string][]interval
	// limits are the past rate limits of servers, limited the IDs of the servers
	// that have one now.
	limits  []limitPeriod
	limited map[string]bool
	// unexpectedExits are processes that had exited without a fault.
	unexpectedExits []string
}

type interval struct{ begin, end time.Time }

// scheduledEnd ends a fault at a time.
type scheduledEnd struct {
	at  time.Time
	end func()
}

// catchUpTime is how long a member that lost its disk may take to catch up after
// its restart.
const catchUpTime = 4 * time.Second

// runFaultsFor waits and ends the faults that become due.
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

// endLater schedules the end of a fault after a random time in milliseconds.
func (s *soak) endLater(least, most int, end func()) {
	s.faults.ends = append(s.faults.ends, scheduledEnd{at: time.Now().Add(s.randomDuration(least, most)), end: end})
}

// heal ends all active faults.
func (s *soak) heal() {
	for len(s.faults.ends) > 0 {
		s.endFaults(time.Now().Add(time.Hour))
		time.Sleep(pollInterval)
	}
}

// beginFault starts a random fault. It does nothing if the chosen target is
// already affected.
func (s *soak) beginFault() {
	if s.faults.down == nil {
		s.faults.down, s.faults.disturbedLinks = map[string]bool{}, map[*link]bool{}
		s.faults.disturbed, s.faults.limited = map[string][]interval{}, map[string]bool{}
	}
	process := s.processes[s.random.IntN(len(s.processes))]
	proxy := s.links[s.random.IntN(len(s.links))]
	server := s.servers[s.random.IntN(len(s.servers))]
	kind := s.random.IntN(17)
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
	case 16:
		s.sendCrowd(s.processes[s.random.IntN(2)])
	}
}

// disturbLink slows, cuts or silences a link for a random time.
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

// claimProcess marks a process as down and reports whether it was up before. A
// process that has exited without a fault is recorded and restarted first.
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

// kill kills a process and schedules its restart.
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

// stop sends SIGTERM to a process and restarts it after it has ended, at the
// latest after graceTime.
func (s *soak) stop(process soakProcess) {
	if !s.claimProcess(process) {
		return
	}
	s.nodes[process.name].signal(syscall.SIGTERM)
	s.awaitEnd(process, time.Now().Add(graceTime))
}

// graceTime is how long a process may take to end after SIGTERM.
const graceTime = 8 * time.Second

// awaitEnd restarts a process once it has ended. It records a violation if the
// process has not ended by the deadline.
func (s *soak) awaitEnd(process soakProcess, by time.Time) {
	s.endLater(200, 400, func() {
		late := time.Now().After(by)
		if !late && !s.nodes[process.name].exited() {
			s.awaitEnd(process, by)
			return
		}
		if late {
			s.observations.addViolation("%s did not exit within %v", process.name, graceTime)
		}
		s.nodes[process.name].kill()
		s.recordDisturbance(process.name, time.Now())
		s.nodes[process.name].launch(s.t)
		s.faults.down[process.name] = false
	})
}

// reload makes a process reload its settings.
func (s *soak) reload(process soakProcess) {
	if !s.faults.down[process.name] {
		s.nodes[process.name].signal(syscall.SIGHUP)
	}
}

// wipe kills a member and deletes its data, if all other members are up and have
// caught up.
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
