package prover_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"burdocklink/encoder"
)

const (
	// faultRounds is how often faults are injected in one run.
	faultRounds = 6
	// seedsVariable is the environment variable that replaces fixedSeeds, as
	// FIRST-LAST.
	seedsVariable = "BURDOCKLINK_TEST_SEEDS"
)

// fixedSeeds are the default first and last seed.
var fixedSeeds = [2]uint64{1, 2}

func seedRange(t *testing.T) (first, last uint64) {
	t.Helper()
	text := os.Getenv(seedsVariable)
	if text == "" {
		return fixedSeeds[0], fixedSeeds[1]
	}
	if _, err := fmt.Sscanf(text, "%d-%d", &first, &last); err != nil {
		t.Fatalf("%s must be FIRST-LAST: %v", seedsVariable, err)
	}
	return first, last
}

// reversibleFault is a fault that can be started and ended.
type reversibleFault struct {
	name string
	// target is the affected process. Concurrent faults have different targets.
	target string
	begin  func()
	end    func()
}

// TestConcurrentFaults injects one or two random faults at a time under load and
// checks all guarantees.
func TestConcurrentFaults(t *testing.T) {
	t.Parallel()
	first, last := seedRange(t)
	for seed := first; seed <= last; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			f := newSmallFleet(t, 3)
			traffic := f.startTraffic(8, 20, "torta", "krem", "torta-eskuvo")
			changes := f.startChanges()
			f.injectFaults(rand.New(rand.NewPCG(seed, seed)))
			accepted := changes.count()
			eventually(t, "further changes are accepted", func() bool { return changes.count() > accepted })
			f.awaitAnswers(20)
			changes.end()
			traffic.end()
			f.checkGuarantees()
		})
	}
}

// injectFaults starts and ends random faults in several rounds.
func (f *fleet) injectFaults(random *rand.Rand) {
	parts := f.possibleFaults()
	for range faultRounds {
		chosen := chooseFaults(random, parts)
		for _, i := range chosen {
			f.t.Logf("%s: %s", time.Now().Format(time.StampMilli), parts[i].name)
			parts[i].begin()
		}
		time.Sleep(time.Duration(200+random.IntN(2500)) * time.Millisecond)
		for _, i := range chosen {
			parts[i].end()
		}
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
	}
}

// chooseFaults returns the index of one fault, or of two with different targets.
func chooseFaults(random *rand.Rand, parts []reversibleFault) []int {
	order := random.Perm(len(parts))
	first, second := order[0], order[1]
	if random.IntN(2) == 0 || parts[first].target == parts[second].target {
		return []int{first}
	}
	return []int{first, second}
}

// possibleFaults returns the faults that can be injected into the fleet.
func (f *fleet) possibleFaults() []reversibleFault {
	var parts []reversibleFault
	for _, each := range f.members {
		parts = append(parts, f.processFaults(each.process)...)
		parts = append(parts, f.linkFaults(each.name, each.link)...)
	}
	for _, each := range f.entries {
		parts = append(parts, f.processFaults(each.process)...)
		parts = append(parts, reversibleFault{
			name:   "drain " + each.name,
			target: each.name,
			begin:  func() { f.shutDownEntry(each) },
			end: func() {
				each.process.awaitExit(f.t)
				each.process.launch(f.t)
			},
		})
	}
	for _, each := range append(f.engines, f.services...) {
		parts = append(parts, f.linkFaults(each.vm.Name, each.link)...)
	}
	for _, each := range f.engines {
		parts = append(parts, f.upstreamFault(each, encoder.EngineFaults{CutAfterTokens: 6, ForgetStreams: true},
			encoder.EngineFaults{}))
	}
	for _, each := range f.services {
		parts = append(parts,
			f.upstreamFault(each, encoder.ServiceFaults{CutAfterRun: true}, encoder.ServiceFaults{}),
			f.upstreamFault(each, encoder.ServiceFaults{RefuseRequests: true}, encoder.ServiceFaults{}),
			f.upstreamFault(each, encoder.ServiceFaults{DelayMilliseconds: 800}, encoder.ServiceFaults{}))
	}
	return parts
}

func (f *fleet) upstreamFault(at *upstream, faults, none any) reversibleFault {
	return reversibleFault{
		name:   fmt.Sprintf("%s %+v", at.vm.Name, faults),
		target: at.vm.Name,
		begin:  func() { f.setFaults(at, faults) },
		end:    func() { f.setFaults(at, none) },
	}
}

func (f *fleet) processFaults(of *process) []reversibleFault {
	return []reversibleFault{
		{name: "kill " + of.name, target: of.name, begin: of.kill, end: func() { of.launch(f.t) }},
		{name: "freeze " + of.name, target: of.name, begin: of.freeze, end: of.thaw},
	}
}

func (f *fleet) linkFaults(name string, of *link) []reversibleFault {
	heal := func() { of.heal(f.t) }
	return []reversibleFault{
		{name: "cut " + name, target: name, begin: of.disconnect, end: heal},
		{name: "silence to " + name, target: name, begin: func() { of.blackhole(f.t, toServer) }, end: heal},
		{name: "silence from " + name, target: name, begin: func() { of.blackhole(f.t, toClient) }, end: heal},
		{name: "forget connections to " + name, target: name, begin: func() { of.stallOpenConnections(f.t) }, end: heal},
		{name: "slow " + name, target: name, begin: func() { of.addLatency(f.t, 150*time.Millisecond) }, end: heal},
	}
}
