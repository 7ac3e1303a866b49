package prover_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"burdocklink/encoder"
)

func TestBookingIsResent(t *testing.T) {
	t.Parallel()
	f := newSmallFleet(t, 1)
	tests := map[string]struct {
		faults encoder.ServiceFaults
		first  string
		again  string
		ran    int
	}{
		"answered":            {encoder.ServiceFaults{}, "ran", "ran", 1},
		"refused as not run":  {encoder.ServiceFaults{RefuseRequests: true}, "not-run", "ran", 1},
		"failed after it ran": {encoder.ServiceFaults{FailAfterRun: true}, "unknown", "unknown", 1},
		"cut after it ran":    {encoder.ServiceFaults{CutAfterRun: true}, "unknown", "unknown", 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			key := f.newIdempotencyKey()
			for _, service := range f.services {
				f.setFaults(service, test.faults)
			}
			first := f.book(f.entries[0], key)
			for _, service := range f.services {
				f.setFaults(service, encoder.ServiceFaults{})
			}

			again := f.book(f.entries[1], key)

			assert.Equal(t, first.Outcome, test.first)
			assert.Equal(t, again.Outcome, test.again)
			assert.Equal(t, f.countRuns(key), test.ran)
		})
	}
	f.checkGuarantees()
}

// countRuns counts the runs with an idempotency key at all services.
func (f *fleet) countRuns(key string) int {
	runs := 0
	for _, service := range f.services {
		var record encoder.ServiceRecord
		assert.NilError(f.t, get(service.address, encoder.PathRecord, &record))
		for _, call := range record.Calls {
			if call.IdempotencyKey == key {
				runs++
			}
		}
	}
	return runs
}

func TestBookingsWhileConnectionsGoSilent(t *testing.T) {
	t.Parallel()
	f := newSmallFleet(t, 1)
	traffic := f.startTraffic(4, 5, "torta")
	f.awaitAnswers(10)
	for range 2 {
		for _, service := range f.services {
			service.link.stallOpenConnections(t)
		}
		f.awaitAnswers(10)
		for _, service := range f.services {
			service.link.heal(t)
		}
	}
	traffic.end()
	f.checkGuarantees()
}

func TestEntryKilledWhileItBooks(t *testing.T) {
	t.Parallel()
	f := newSmallFleet(t, 1)
	for _, service := range f.services {
		f.setFaults(service, encoder.ServiceFaults{DelayMilliseconds: 300})
	}
	var keys []string
	for range 8 {
		keys = append(keys, f.newIdempotencyKey())
	}
	senders := f.startBookings(f.entries[0], keys)
	eventually(t, "a service has a booking in flight", func() bool { return f.runningCalls() > 0 })

	f.entries[0].process.kill()
	senders.Wait()

	f.startBookings(f.entries[1], keys).Wait()
	for _, key := range keys {
		assert.Assert(t, f.countRuns(key) <= 1)
	}
	f.checkGuarantees()
}

// runningCalls counts the calls in flight at all services.
func (f *fleet) runningCalls() int {
	waiting := 0
	for _, service := range f.services {
		var report encoder.LoadReport
		if get(service.address, encoder.PathLoad, &report) == nil {
			waiting += report.Running
		}
	}
	return waiting
}
