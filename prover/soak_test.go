package prover_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// soakSeedsVariable is the environment variable with a number of runs with
	// random seeds, soakSeedVariable the one with the seed of a single run.
	soakSeedsVariable = "BURDOCKLINK_SOAK_SEEDS"
	soakSeedVariable  = "BURDOCKLINK_SOAK_SEED"
	// soakFaults is the number of faults in one run.
	soakFaults = 20
	// soakCallers is the number of callers of each entry.
	soakCallers = 3
	// maxConcurrentSoaks limits the number of runs at the same time.
	maxConcurrentSoaks = 2
	// applyTimeout is how long a configuration may take to be in force after its
	// acknowledgement, as guaranteed.
	applyTimeout = 2 * time.Second
	// lateArrivalTime is how long a proxy may delay a request to an upstream.
	lateArrivalTime = 2 * time.Second
)

// soakSeeds are the seeds that run in CI: a few fixed ones and each that ever
// failed, named by the cause.
var soakSeeds = map[string]uint64{
	"one": 1,
	"two": 2,
}

// TestSoak runs real processes under random, overlapping faults: slow, cut,
// one-way and stalled links to the upstreams and the platform's listing, and
// processes that are frozen, killed, stopped and restarted, one at a time and all
// at once. Callers and upstreams check the guarantees. To run fifty random seeds:
//
//	BURDOCKLINK_SOAK_SEEDS=50 go test -count=1 -run TestSoak -timeout 1h -v ./prover
func TestSoak(t *testing.T) {
	seeds := soakSeeds
	if one := os.Getenv(soakSeedVariable); one != "" {
		seed, err := strconv.ParseUint(one, 10, 64)
		assert.NilError(t, err)
		seeds = map[string]uint64{"again": seed}
	}
	if many := os.Getenv(soakSeedsVariable); many != "" {
		count, err := strconv.Atoi(many)
		assert.NilError(t, err)
		seeds = map[string]uint64{}
		for i := range count {
			seeds["fresh-"+strconv.Itoa(i)] = rand.Uint64() >> 20
		}
	}
	turns := make(chan int, maxConcurrentSoaks)
	for i := range maxConcurrentSoaks {
		turns <- i + 1
	}
	for name, seed := range seeds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			block := <-turns
			// the addresses are free once all processes have ended
			t.Cleanup(func() { turns <- block })
			t.Logf("seed %d", seed)
			newSoak(t, seed, block).run()
		})
	}
}

// soak is one run.
type soak struct {
	*platformSite
	random *rand.Rand
	// processes has the two entries first, then the control members.
	processes []soakProcess
	// links are the proxies in front of the upstreams and the platform's listing.
	links  []*link
	faults activeFaults

	callers sync.WaitGroup
	// operatorStopped ends the operator's changes, done the callers and the reader.
	operatorStopped, done atomic.Bool
	observations          soakObservations
}

// soakProcess is a process of the run.
type soakProcess struct{ role, name, host string }

func newSoak(t *testing.T, seed uint64, block int) *soak {
	t.Helper()
	s := &soak{platformSite: newPlatformSite(t), random: rand.New(rand.NewPCG(seed, 1))}
	s.subnet = block
	s.organisations = soakOrganisations
	s.addServer("calendar-2", "calendar-2")
	for _, server := range s.servers {
		server.eventInterval = 15 * time.Millisecond
		proxy := newLink(t, server.address)
		server.address = proxy.listen
		s.links = append(s.links, proxy)
	}
	list := newLink(t, s.listingAddress)
	s.listingAddress, s.links = list.listen, append(s.links, list)
	for i := range 2 {
		s.processes = append(s.processes, soakProcess{"entry", "front-" + strconv.Itoa(i+1), s.frontHost(i)})
	}
	for i := range 3 {
		s.processes = append(s.processes, soakProcess{"control", "core-" + strconv.Itoa(i+1), s.coreHost(i)})
	}
	for _, process := range s.processes {
		s.startNode(process.role, process.name, process.host, true)
	}
	return s
}

// run injects faults while callers and an operator send requests, then ends all
// faults and checks the observations.
func (s *soak) run() {
	eventually(s.t, "a configuration is acknowledged", func() bool { return s.change(1) })
	for _, process := range s.processes {
		// a restarted member must not bootstrap a new group
		s.configure(process.role, process.name, process.host, false)
	}
	for _, process := range s.processes[:2] {
		s.awaitReady(process.name)
		for i := range soakCallers {
			s.callers.Add(1)
			go s.runCaller(process, i)
		}
	}
	s.callers.Add(4)
	go s.runOperator()
	go s.runReader()
	go s.runRevoked()
	go s.runHot()
	for range soakFaults {
		s.runFaultsFor(s.randomDuration(50, 500))
		s.beginFault()
	}
	s.runFaultsFor(time.Second)
	s.heal()
	s.operatorStopped.Store(true)
	s.checkRecovery()
	s.done.Store(true)
	s.callers.Wait()
	time.Sleep(lateArrivalTime)
	s.checkRuns()
	s.checkNotices()
	s.checkLimits()
	s.checkOrganisations()
	s.checkExits()
	for _, broken := range s.observations.takeViolations() {
		s.t.Error(broken)
	}
	s.t.Logf("%d requests, %d answered, %d refused, %d configurations acknowledged",
		s.observations.requests.Load(), s.observations.answered.Load(), s.observations.refusals.Load(), s.observations.changes.Load())
}

// randomDuration returns a random duration between two numbers of milliseconds.
func (s *soak) randomDuration(least, most int) time.Duration {
	return time.Duration(least+s.random.IntN(most-least)) * time.Millisecond
}

// checkRecovery waits until every entry and member has the last configuration in
// force.
func (s *soak) checkRecovery() {
	last := 0
	eventually(s.t, "a configuration is acknowledged after the faults", func() bool {
		last = s.observations.nextVersion()
		return s.change(last)
	})
	for _, process := range s.processes[:2] {
		s.awaitReady(process.name)
		eventually(s.t, process.name+" applies the last configuration", func() bool {
			id := fmt.Sprintf("last-%s-%d", process.name, time.Now().UnixNano())
			got := s.send(process.name, "/book/1", id, map[string]string{"Authorization": "Bearer " + soakKey})
			return got.status == http.StatusOK && got.signature == "signed-by-"+bookingServer(last)
		})
	}
	eventually(s.t, "every member returns the last configuration", func() bool {
		for i := range 3 {
			if version, ok := s.readVersion(i); !ok || version != last {
				return false
			}
		}
		return true
	})
}

// checkRuns finds bookings that ran more than once, and refused requests that
// ran.
func (s *soak) checkRuns() {
	runs := map[string]int{}
	for _, server := range s.servers {
		server.mutex.Lock()
		for id, count := range server.runs {
			runs[id] += count
		}
		server.mutex.Unlock()
	}
	for id, count := range runs {
		if strings.HasPrefix(id, "book") && count > 1 {
			s.observations.addViolation("%s ran %d times", id, count)
		}
	}
	s.observations.refusedIDs.Range(func(id, _ any) bool {
		if runs[id.(string)] > 0 {
			s.observations.addViolation("%s was refused and ran", id)
		}
		return true
	})
}

// checkExits finds processes that have exited without a fault.
func (s *soak) checkExits() {
	for _, process := range s.processes {
		if s.nodes[process.name].exited() {
			s.observations.addViolation("%s exited unexpectedly", process.name)
		}
	}
	for _, name := range s.faults.unexpectedExits {
		s.observations.addViolation("%s exited unexpectedly", name)
	}
}
