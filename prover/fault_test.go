package prover_test

import (
	"testing"

	"burdocklink/encoder"
)

// newSmallFleet starts two engines that hold all models and adapters, two
// services, the given number of control members and two entries, and waits until
// each entry answers.
func newSmallFleet(t *testing.T, members int) *fleet {
	t.Helper()
	f := newFleet(t, smallFleetWeights()...)
	f.addEngine("engine-1", 100, "--holds", "torta,krem,torta-eskuvo")
	f.addEngine("engine-2", 100, "--holds", "torta,krem,torta-eskuvo", "--checks-fence")
	f.addService("naptar-1")
	f.addService("naptar-2")
	f.addMembers([]string{"control-1", "control-2", "control-3"}[:members]...)
	f.addEntries("entry-1", "entry-2")
	for _, each := range f.entries {
		eventually(t, each.name+" answers", func() bool { return f.chat(each, "torta", 5).Complete })
		eventually(t, each.name+" serves a booking", func() bool { return f.book(each, f.newIdempotencyKey()).Complete })
	}
	return f
}

// setFaults replaces the injected faults of an upstream.
func (f *fleet) setFaults(at *upstream, faults any) {
	f.t.Helper()
	post(f.t, at.address, encoder.PathFaults, faults)
}

// awaitAnswers waits for the given number of further complete answers.
func (f *fleet) awaitAnswers(more int) {
	f.t.Helper()
	from := f.countAnswers().complete
	eventually(f.t, "further answers are complete", func() bool { return f.countAnswers().complete >= from+more })
}
