package delegator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/admitter"
	"burdocklink/cataloger"
	"burdocklink/classifier"
	"burdocklink/router"
)

// A plain service near its limit: three servers with six slots each and a queue of a few
// more, which refuse what finds both full.
const (
	plainServers  = 3
	plainSlots    = 6
	plainQueue    = 6
	plainWork     = 60 * time.Millisecond
	plainTarget   = 300 * time.Millisecond
	plainDeadline = 3 * time.Second
	// plainRate is 0.85 of what the servers can serve, in requests per second.
	plainRate = 255.0
	plainTime = 20 * time.Second
	plainStep = time.Millisecond
)

// plainFleet is a fleet in simulated time whose entries send requests to a plain service.
type plainFleet struct {
	queues []*admitter.Queue
	random *rand.Rand
	now    time.Time
	// running are the ends of the requests at each server, in order.
	running     map[string][]time.Time
	completions []completion
	// uneven counts the steps in which a server is full while another has a free slot.
	arrived, onTime, refused, uneven int
}

func newPlainFleet(seed uint64, entries int) *plainFleet {
	f := &plainFleet{
		random:  rand.New(rand.NewPCG(seed, 2)),
		now:     time.Date(2030, time.May, 1, 10, 0, 0, 0, time.UTC),
		running: map[string][]time.Time{},
	}
	for number := range entries {
		r := router.New(router.Settings{
			Seed: uint64(number), AvailabilityZone: plainZone(number), CrossZoneCost: 4 * time.Millisecond,
		})
		var changes []cataloger.Change
		for server := range plainServers {
			name := fmt.Sprint("s", server)
			changes = append(changes, cataloger.PutUpstream{Upstream: cataloger.Upstream{
				Name: name, Incarnation: name, Service: "calendar", Kind: cataloger.PlainUpstream,
				State: cataloger.UpstreamLive, Slots: plainSlots, AvailabilityZone: plainZone(server),
			}})
		}
		r.Apply(changes)
		f.queues = append(f.queues, admitter.NewQueue(r, f.now))
	}
	return f
}

// plainZone returns the availability zone of an entry, server or caller. Each zone has one
// server.
func plainZone(number int) string { return fmt.Sprint("zone-", number%plainServers) }

func (f *plainFleet) run() {
	for end := f.now.Add(plainTime); f.now.Before(end); f.now = f.now.Add(plainStep) {
		f.complete()
		for gap := f.random.ExpFloat64(); gap < plainRate*plainStep.Seconds(); gap += f.random.ExpFloat64() {
			f.arrive()
		}
		for _, queue := range f.queues {
			if queue.Waiting() > 0 {
				queue.Pump(f.now)
				f.apply(queue)
			}
		}
		f.countUneven()
	}
}

func (f *plainFleet) arrive() {
	f.arrived++
	queue := f.queues[f.random.IntN(len(f.queues))]
	queue.Arrive(f.now, admitter.Request{
		Class:   classifier.Class{Name: "book", Target: classifier.Target{Whole: plainTarget}},
		Arrived: f.now, Deadline: f.now.Add(plainDeadline), UsefulUntil: f.now.Add(plainDeadline),
		Route: router.Request{
			Service: "calendar", Seed: f.random.Uint64(), Thorough: len(f.queues) == 1,
			AvailabilityZone: plainZone(f.random.IntN(plainServers)),
		},
	})
	f.apply(queue)
}

func (f *plainFleet) apply(queue *admitter.Queue) {
	for _, decision := range queue.Take() {
		if decision.Err != nil {
			f.refused++
			continue
		}
		grant := decision.Grant
		server := f.running[grant.Choice.Upstream]
		if len(server) >= plainSlots+plainQueue {
			f.refused++
			queue.End(grant, admitter.Result{Ended: f.now, Outcome: router.OutcomeRefused})
			continue
		}
		start := f.now
		if len(server) >= plainSlots {
			start = server[len(server)-plainSlots]
		}
		ends := start.Add(plainWork)
		f.running[grant.Choice.Upstream] = append(server, ends)
		f.completions = append(f.completions, completion{at: ends, queue: queue, grant: grant})
		if request, _ := grant.RetryRequest(); ends.Sub(request.Arrived) <= plainTarget {
			f.onTime++
		}
	}
}

func (f *plainFleet) complete() {
	kept := f.completions[:0]
	for _, c := range f.completions {
		if f.now.Before(c.at) {
			kept = append(kept, c)
			continue
		}
		f.running[c.grant.Choice.Upstream] = f.running[c.grant.Choice.Upstream][1:]
		c.queue.End(c.grant, admitter.Result{Ended: c.at, Outcome: router.OutcomeFinished})
	}
	f.completions = kept
}

func (f *plainFleet) countUneven() {
	full, idle := false, false
	for server := range plainServers {
		count := len(f.running[fmt.Sprint("s", server)])
		full = full || count >= plainSlots+2
		idle = idle || count < plainSlots
	}
	if full && idle {
		f.uneven++
	}
}

// Load answered: a plain service at 0.85 of what its servers can serve, at fleets of several
// sizes. Guards against servers that are overrun in turns while others have free slots,
// because each entry knows only its own requests.
func TestOneEntryLoadsThePlainServersOfAFleetEvenly(t *testing.T) {
	for _, entries := range []int{76, 300, 890} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			separate, central := newPlainFleet(7, entries), newPlainFleet(7, 1)
			separate.run()
			central.run()
			t.Logf("separate: %d of %d in time, %d refused, %d ms uneven; one entry: %d of %d, %d, %d ms",
				separate.onTime, separate.arrived, separate.refused, separate.uneven,
				central.onTime, central.arrived, central.refused, central.uneven)
			assert.Assert(t, float64(central.onTime) >= 0.95*float64(central.arrived))
			assert.Assert(t, float64(central.refused) <= 0.01*float64(central.arrived))
			assert.Assert(t, central.onTime > separate.onTime)
			assert.Assert(t, central.uneven < separate.uneven/4)
		})
	}
}
