package prover_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/encoder"
)

const (
	// oversubscribedModels is more models than fit into the engines' memory.
	oversubscribedModels = 12
	// fittingModels is the number of models that fit.
	fittingModels = 9
	// settleTime is how long delayed orders may arrive after the engines are full.
	settleTime = 2 * time.Second
)

// newEmptyFleet starts empty engines that have less memory than the models need,
// so that a wrong order overcommits memory.
func newEmptyFleet(t *testing.T, members int) *fleet {
	t.Helper()
	f := newFleet(t, newModels(oversubscribedModels, 30)...)
	f.addEngine("engine-1", 100, "--load-time", "200ms")
	f.addEngine("engine-2", 100, "--load-time", "200ms", "--checks-fence")
	f.addEngine("engine-3", 100, "--load-time", "200ms", "--report-lag", "300ms")
	f.addMembers([]string{"control-1", "control-2", "control-3"}[:members]...)
	return f
}

func TestFaultyOrders(t *testing.T) {
	t.Parallel()
	tests := map[string]encoder.EngineFaults{
		"orders lost":  {LoseOrders: 3},
		"replies lost": {LoseOrderReplies: 3},
		"orders late":  {LateOrders: 3, LateOrderMilliseconds: 2500},
		"all faults":   {LoseOrders: 1, LoseOrderReplies: 2, LateOrders: 2, LateOrderMilliseconds: 1500},
	}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newEmptyFleet(t, 1)
			for _, engine := range f.engines {
				f.setFaults(engine, faults)
			}
			eventually(t, "the engines are full", f.enginesFull)
			time.Sleep(time.Duration(faults.LateOrderMilliseconds)*time.Millisecond + settleTime)
			f.checkGuarantees()
		})
	}
}

func TestLeaderIsLostWhileAnOrderIsPending(t *testing.T) {
	t.Parallel()
	f := newEmptyFleet(t, 3)
	for range 2 {
		leader := f.leader()
		eventually(t, "an order is pending", func() bool {
			page, ok := f.status()
			return ok && len(page.Orders) > 0 || f.enginesFull()
		})
		leader.process.kill()
		f.leader()
		leader.process.launch(t)
	}
	eventually(t, "the engines are full", f.enginesFull)
	time.Sleep(settleTime)
	f.checkGuarantees()
}

// enginesFull reports whether the engines hold as many models as fit.
func (f *fleet) enginesFull() bool {
	count := 0
	for _, copies := range f.countCopies() {
		count += copies
	}
	return count >= fittingModels
}

func TestFrozenLeaderGivesOrdersLate(t *testing.T) {
	t.Parallel()
	f := newEmptyFleet(t, 3)
	for range 2 {
		frozen := f.leader()
		frozen.process.freeze()
		f.leader()
		time.Sleep(500 * time.Millisecond)
		frozen.process.thaw()
	}
	eventually(t, "the engines are full", f.enginesFull)
	time.Sleep(settleTime)
	f.checkGuarantees()
}

func TestCopiesOfALostEngineAreRestored(t *testing.T) {
	t.Parallel()
	f := newFleet(t, newModels(4, 30)...)
	f.addEngine("engine-1", 100)
	f.addEngine("engine-2", 100)
	f.addEngine("engine-3", 100)
	f.addMembers("control-1")
	f.addEntries("entry-1")
	f.awaitAllHeld(t)
	watch := f.startCopyCounter()

	f.loseEngine(f.engines[0])
	f.awaitAllHeld(t)
	f.loseEngine(f.engines[1])
	f.addEngine("engine-4", 100)
	f.awaitAllHeld(t)

	for _, each := range f.weights {
		eventually(t, each.Name+" answers", func() bool { return f.chat(f.entries[0], each.Name, 5).Complete })
	}
	watch.end()
	f.checkGuarantees()
}

func TestLeavingEngineKeepsTheLastCopyUntilAnotherHasIt(t *testing.T) {
	t.Parallel()
	f := newFleet(t, newModels(3, 30)...)
	f.addEngine("engine-1", 100)
	f.addMembers("control-1")
	f.addEntries("entry-1")
	f.awaitAllHeld(t)
	watch := f.startCopyCounter()
	f.addEngine("engine-2", 100)

	f.announceLeaving(f.engines[0])

	eventually(t, "the other engine holds everything", func() bool { return len(f.engines[1].holds()) == 3 })
	answer := f.chat(f.entries[0], "model-0", 5)
	assert.Equal(t, answer.Complete, true)
	watch.end()
	f.checkGuarantees()
}
