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
	// mixSteps is how many times faults are brought about in one history.
	mixSteps = 6
	// seedsVariable names the environment variable with other seeds than the
	// fixed ones, as FIRST-LAST.
	seedsVariable = "BURDOCKLINK_TEST_SEEDS"
)

// fixedSeeds are the first and the last seed of every run.
var fixedSeeds = [2]uint64{1, 2}

func seeds(t *testing.T) (first, last uint64) {
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

// brokenPart is a fault that can be taken away.
type brokenPart struct {
	name string
	// target is what the fault befalls; two faults at once have two targets.
	target string
	begin  func()
	end    func()
}

// TestFaultsAtOnce brings about one or two faults at a time, some of them
// twice, and judges all that was seen.
func TestFaultsAtOnce(t *testing.T) {
	t.Parallel()
	first, last := seeds(t)
	for seed := first; seed <= last; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			f := newSmallFleet(t, 3)
			traffic := f.startTraffic(8, 20, "torta", "krem", "torta-eskuvo")
			changes := f.startSetter()
			f.mix(rand.New(rand.NewPCG(seed, seed)))
			accepted := changes.count()
			eventually(t, "changes go on", func() bool { return changes.count() > accepted })
			f.answered(20)
			changes.end()
			traffic.end()
			f.judge()
		})
	}
}

// mix brings about faults.
func (f *fleet) mix(random *rand.Rand) {
	parts := f.breakable()
	for range mixSteps {
		chosen := choose(random, parts)
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

// choose picks one fault, or two with different targets.
func choose(random *rand.Rand, parts []brokenPart) []int {
	order := random.Perm(len(parts))
	first, second := order[0], order[1]
	if random.IntN(2) == 0 || parts[first].target == parts[second].target {
		return []int{first}
	}
	return []int{first, second}
}

// breakable lists the faults that a history is mixed from.
func (f *fleet) breakable() []brokenPart {
	var parts []brokenPart
	for _, each := range f.members {
		parts = append(parts, f.processParts(each.process)...)
		parts = append(parts, f.linkParts(each.name, each.link)...)
	}
	for _, each := range f.entries {
		parts = append(parts, f.processParts(each.process)...)
		parts = append(parts, brokenPart{
			name:   "drain " + each.name,
			target: each.name,
			begin:  func() { f.shutDown(each) },
			end: func() {
				each.process.stopped(f.t)
				each.process.begin(f.t)
			},
		})
	}
	for _, each := range append(f.engines, f.services...) {
		parts = append(parts, f.linkParts(each.vm.Name, each.link)...)
	}
	for _, each := range f.engines {
		parts = append(parts, f.upstreamPart(each, encoder.EngineFaults{CutAfterTokens: 6, ForgetStreams: true},
			encoder.EngineFaults{}))
	}
	for _, each := range f.services {
		parts = append(parts,
			f.upstreamPart(each, encoder.ServiceFaults{CutAfterRun: true}, encoder.ServiceFaults{}),
			f.upstreamPart(each, encoder.ServiceFaults{RefuseRequests: true}, encoder.ServiceFaults{}),
			f.upstreamPart(each, encoder.ServiceFaults{DelayMilliseconds: 800}, encoder.ServiceFaults{}))
	}
	return parts
}

func (f *fleet) upstreamPart(at *upstream, faults, none any) brokenPart {
	return brokenPart{
		name:   fmt.Sprintf("%s %+v", at.vm.Name, faults),
		target: at.vm.Name,
		begin:  func() { f.fault(at, faults) },
		end:    func() { f.fault(at, none) },
	}
}

func (f *fleet) processParts(of *process) []brokenPart {
	return []brokenPart{
		{name: "kill " + of.name, target: of.name, begin: of.kill, end: func() { of.begin(f.t) }},
		{name: "freeze " + of.name, target: of.name, begin: of.freeze, end: of.thaw},
	}
}

func (f *fleet) linkParts(name string, of *link) []brokenPart {
	heal := func() { of.heal(f.t) }
	return []brokenPart{
		{name: "cut " + name, target: name, begin: of.cut, end: heal},
		{name: "silence to " + name, target: name, begin: func() { of.silence(f.t, toServer) }, end: heal},
		{name: "silence from " + name, target: name, begin: func() { of.silence(f.t, toClient) }, end: heal},
		{name: "forget connections to " + name, target: name, begin: func() { of.forget(f.t) }, end: heal},
		{name: "slow " + name, target: name, begin: func() { of.slow(f.t, 150*time.Millisecond) }, end: heal},
	}
}
