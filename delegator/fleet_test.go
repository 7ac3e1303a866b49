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

// Sizes of the simulated fleet: one model of a large site, on six engines.
const (
	simulatedEngines = 6
	simulatedSlots   = 16
	// engineQueue is how many requests an engine queues when its slots are taken.
	engineQueue = 2
	// runTime is how long an engine takes for a request, and arrivalRate the number of
	// requests per second: 0.8 of what the engines can serve.
	runTime       = 1500 * time.Millisecond
	arrivalRate   = 51.0
	simulatedTime = 20 * time.Second
	// target is when an answer is still on time, and useful when it is still of use.
	target = 600 * time.Millisecond
	useful = 2 * time.Second
	// step is the resolution of the simulated time.
	step = 5 * time.Millisecond
)

// simulation is a fleet in simulated time.
type simulation struct {
	queues []*admitter.Queue
	random *rand.Rand
	now    time.Time
	// running counts the requests of each engine, and completions lists when they end.
	running     map[string]int
	completions []completion
	// arrived, onTime, late, refused and rejected count requests by outcome. Rejected
	// ones found their engine full.
	arrived, onTime, late, refused, rejected int
}

type completion struct {
	at    time.Time
	queue *admitter.Queue
	grant *admitter.Grant
}

// newSimulation returns a fleet of entries that admit the requests they receive, each
// knowing only its own dispatches.
func newSimulation(seed uint64, entries int) *simulation {
	s := &simulation{
		random:  rand.New(rand.NewPCG(seed, 1)),
		now:     time.Date(2030, time.May, 1, 10, 0, 0, 0, time.UTC),
		running: map[string]int{},
	}
	for number := range entries {
		r := router.New(router.Settings{Seed: uint64(number)})
		var changes []cataloger.Change
		for engine := range simulatedEngines {
			name := fmt.Sprint("e", engine)
			changes = append(changes,
				cataloger.PutUpstream{Upstream: cataloger.Upstream{
					Name: name, Incarnation: name, Service: "engines", Kind: cataloger.EngineUpstream,
					State: cataloger.UpstreamLive, Slots: simulatedSlots, CacheTokens: 60000,
				}},
				cataloger.PutPlacement{Placement: cataloger.Placement{
					Upstream: name, Incarnation: name, Models: []string{"m"},
				}})
		}
		r.Apply(changes)
		s.queues = append(s.queues, admitter.NewQueue(r, s.now))
	}
	return s
}

func (s *simulation) run() {
	for end := s.now.Add(simulatedTime); s.now.Before(end); s.now = s.now.Add(step) {
		s.complete()
		for range s.arrivals() {
			s.arrive()
		}
		for _, queue := range s.queues {
			queue.Pump(s.now)
			s.apply(queue)
		}
	}
}

// arrivals returns how many requests arrive in a step.
func (s *simulation) arrivals() int {
	count := 0
	for gap := s.random.ExpFloat64(); gap < arrivalRate*step.Seconds(); gap += s.random.ExpFloat64() {
		count++
	}
	return count
}

func (s *simulation) arrive() {
	s.arrived++
	queue := s.queues[s.random.IntN(len(s.queues))]
	queue.Arrive(s.now, admitter.Request{
		Class:   classifier.Class{Name: "draft", Target: classifier.Target{FirstToken: target}},
		Arrived: s.now, UsefulUntil: s.now.Add(useful),
		Route: router.Request{
			Service: "engines", Model: "m", BaseModel: "m", PromptTokens: 300, AnswerTokens: 170,
			Seed: s.random.Uint64(), Thorough: len(s.queues) == 1,
		},
	})
	s.apply(queue)
}

// apply carries out the decisions of a queue.
func (s *simulation) apply(queue *admitter.Queue) {
	for _, decision := range queue.Take() {
		if decision.Err != nil {
			s.refused++
			continue
		}
		grant := decision.Grant
		if s.running[grant.Choice.Upstream] >= simulatedSlots+engineQueue {
			s.rejected++
			queue.End(grant, admitter.Result{Ended: s.now, Outcome: router.OutcomeRefused})
			continue
		}
		s.running[grant.Choice.Upstream]++
		s.completions = append(s.completions, completion{at: s.now.Add(runTime), queue: queue, grant: grant})
		if request, _ := grant.RetryRequest(); s.now.Sub(request.Arrived) < target {
			s.onTime++
		} else {
			s.late++
		}
	}
}

// complete ends the requests that are due.
func (s *simulation) complete() {
	kept := s.completions[:0]
	for _, c := range s.completions {
		if s.now.Before(c.at) {
			kept = append(kept, c)
			continue
		}
		s.running[c.grant.Choice.Upstream]--
		c.queue.End(c.grant, admitter.Result{Ended: s.now, Tokens: 170, Outcome: router.OutcomeFinished})
	}
	s.completions = kept
}

func (s *simulation) share(count int) float64 { return float64(count) / float64(s.arrived) }

// Guards against engines rejecting requests because each entry knows only its own
// dispatches: with 291 entries they rejected 12,065 of 45,977 arrivals at a large site.
// The simulation covers the requests for one model at 0.8 of what its engines can
// serve.
func TestCentralAdmissionAvoidsEngineRejections(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			separate, central := newSimulation(seed, 291), newSimulation(seed, 1)
			separate.run()
			central.run()
			// At most one request in fifty may be rejected.
			assert.Assert(t, central.share(central.rejected) < 0.02, "%d of %d", central.rejected, central.arrived)
			assert.Assert(t, central.share(central.onTime) > 0.95, "%d of %d", central.onTime, central.arrived)
			// Separate entries miss that bound.
			assert.Assert(t, separate.share(separate.rejected) > 0.02, "%d of %d", separate.rejected, separate.arrived)
			assert.Assert(t, separate.onTime < central.onTime)
		})
	}
}
