package throttler_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"burdocklink/cataloger"
	"burdocklink/encoder"
	"burdocklink/router"
	"burdocklink/throttler"
)

// Times of a simulated fleet.
const (
	step              = 10 * time.Millisecond
	maxDelay          = 15 * time.Millisecond
	serviceTime       = 20 * time.Millisecond
	heartbeatInterval = 250 * time.Millisecond
	electionTime      = 600 * time.Millisecond
	window            = 4 * time.Second
	adoptionTime      = 500 * time.Millisecond
	settleTime        = 3 * time.Second
	// seeds is the number of runs of each fleet.
	seeds = 2
)

var epoch = time.Date(2030, time.May, 1, 10, 0, 0, 0, time.UTC)

// member is a control member that may lead.
type member struct {
	name      string
	throttler *throttler.Throttler
	term      uint64
	leading   bool
}

// entry is an entry with the real router, but without a queue and connections.
type entry struct {
	name   string
	router *router.Router
	rate   float64
	// limitKnownAt is when the entry learned of the limit; zero if it has not.
	limitKnownAt     time.Time
	frozenUntil      time.Time
	partitionedUntil time.Time
	nextReserveAt    time.Time
	reserving        bool
	limitSerial      uint64
	limitSource      *member
	waiting          []time.Time
	excludedUntil    time.Time
}

// event is a function that is due at a time.
type event struct {
	at  time.Time
	run func(now time.Time)
}

// arrival is one request that reached the upstream.
type arrival struct {
	at time.Time
	// checked is false if the entry was recovering from a fault or had not yet
	// adopted the limit.
	checked bool
}

// fleet simulates entries in front of one rate-limited upstream, in virtual time.
type fleet struct {
	t          *testing.T
	random     *rand.Rand
	now        time.Time
	members    []*member
	leader     *member
	entries    []*entry
	events     []event
	limit      router.RateLimit
	limitSetAt time.Time
	arrivals   []arrival
	seed       uint64
}

func newFleet(t *testing.T, seed uint64, entries int, perSecond, demand float64) *fleet {
	f := &fleet{t: t, random: rand.New(rand.NewPCG(seed, 7)), now: epoch, seed: seed}
	for at := range 3 {
		m := &member{name: fmt.Sprintf("core-%d", at)}
		m.throttler = throttler.New(throttler.Settings{
			Leadership: func() (uint64, bool) { return m.term, m.leading },
			Registry:   metrics.NewRegistry(),
			Log:        zap.NewNop(),
		})
		f.members = append(f.members, m)
	}
	f.lead(f.members[0], 2)
	totalWeight := 0.0
	for at := range entries {
		totalWeight += 1 / float64(at+1)
	}
	for at := range entries {
		f.entries = append(f.entries, f.newEntry(at, demand/float64(at+1)/totalWeight))
	}
	f.limit, f.limitSetAt = router.RateLimit{Announced: true, PerSecond: perSecond}, epoch
	return f
}

func (f *fleet) newEntry(at int, rate float64) *entry {
	e := &entry{name: fmt.Sprintf("front-%d", at), rate: rate}
	e.router = router.New(router.Settings{Seed: uint64(at) + 1, Entries: len(f.entries)})
	catalog, err := cataloger.New().With(cataloger.Delta{To: 1, Changes: []cataloger.Change{
		cataloger.PutUpstream{Upstream: cataloger.Upstream{
			Name: "u", Incarnation: "1", Address: "127.0.0.1:1", Service: "s",
			Kind: cataloger.PlainUpstream, State: cataloger.UpstreamLive,
		}},
	}})
	assert.NilError(f.t, err)
	e.router.Update(catalog)
	return e
}

func (f *fleet) lead(m *member, term uint64) {
	m.term, m.leading = term, true
	f.leader = m
}

// schedule adds an event after a delay.
func (f *fleet) schedule(after time.Duration, do func(now time.Time)) {
	f.events = append(f.events, event{at: f.now.Add(after), run: do})
}

func (f *fleet) delay() time.Duration { return time.Duration(f.random.Int64N(int64(maxDelay))) }

// run advances the simulation.
func (f *fleet) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(step) {
		f.runDueEvents()
		if f.now.Sub(epoch)%heartbeatInterval == 0 {
			f.sendHeartbeats()
		}
		for _, e := range f.entries {
			if !f.now.Before(e.frozenUntil) {
				f.serve(e)
			}
		}
	}
}

func (f *fleet) runDueEvents() {
	var due []event
	f.events = slices.DeleteFunc(f.events, func(e event) bool {
		if e.at.After(f.now) {
			return false
		}
		due = append(due, e)
		return true
	})
	for _, e := range due {
		e.run(f.now)
	}
}

// sendHeartbeats sends the changed limits of the leader to all entries.
func (f *fleet) sendHeartbeats() {
	leader := f.leader
	if leader == nil {
		return
	}
	for _, e := range f.entries {
		if f.now.Before(e.partitionedUntil) || f.now.Before(e.frozenUntil) {
			continue
		}
		if e.limitSource != leader {
			e.limitSource, e.limitSerial = leader, 0
		}
		limits, serial := leader.throttler.LimitsAfter(e.limitSerial)
		e.limitSerial = serial
		if len(limits) > 0 {
			e.router.MergeLimits(f.now, leader.name, encoder.DecodeLimits(encoder.EncodeLimits(limits, f.now), f.now))
		}
	}
}

// serve sends waiting and new requests of an entry, and requests permits.
func (f *fleet) serve(e *entry) {
	if f.random.Float64() < e.rate*step.Seconds() {
		e.waiting = append(e.waiting, f.now)
	}
	waiting := e.waiting[:0]
	for _, arrived := range e.waiting {
		if !f.send(e) && f.now.Sub(arrived) < time.Second {
			waiting = append(waiting, arrived)
		}
	}
	e.waiting = waiting
	f.reserve(e)
}

// send tries to send one request.
func (f *fleet) send(e *entry) bool {
	request := &router.Request{Service: "s", Seed: f.random.Uint64()}
	choice, err := e.router.Choose(f.now, request)
	if err != nil {
		return false
	}
	choice.PermitExpiresAt = e.router.Started(choice, request, f.now)
	if !e.router.Allows(f.now, choice) {
		return false
	}
	sentAt := f.now
	checked := !e.limitKnownAt.IsZero() && f.now.Sub(e.limitKnownAt) >= adoptionTime && f.now.After(e.excludedUntil)
	f.schedule(f.delay(), func(now time.Time) {
		f.arrivals = append(f.arrivals, arrival{at: now, checked: checked})
		limit := f.limit
		f.schedule(serviceTime+f.delay(), func(now time.Time) { f.answer(e, choice, sentAt, limit, now) })
	})
	return true
}

func (f *fleet) answer(e *entry, choice router.Choice, sentAt time.Time, limit router.RateLimit, now time.Time) {
	if now.Before(e.frozenUntil) {
		f.schedule(e.frozenUntil.Sub(now), func(now time.Time) { f.answer(e, choice, sentAt, limit, now) })
		return
	}
	if limit.Announced && e.limitKnownAt.IsZero() {
		e.limitKnownAt = now
	}
	e.router.Finished(choice, router.Sample{Ended: now, Outcome: router.OutcomeFinished})
	e.router.ObserveLimit(now, choice, sentAt, limit)
}

// reserve requests permits from the leader, as the reserver does.
func (f *fleet) reserve(e *entry) {
	leader := f.leader
	if leader == nil || e.reserving || f.now.Before(e.nextReserveAt) {
		return
	}
	requests, _ := e.router.ReservationRequests(f.now, leader.name)
	if len(requests) == 0 {
		return
	}
	sentAt := f.now
	e.reserving = true
	failed := func(now time.Time) {
		e.reserving, e.nextReserveAt = false, now.Add(200*time.Millisecond)
		e.router.FinishReservationRequests(leader.name, requests, false)
	}
	if f.now.Before(e.partitionedUntil) {
		f.schedule(500*time.Millisecond, failed)
		return
	}
	message := encoder.EncodeReservationRequests(e.name, requests, f.now)
	f.schedule(f.delay(), func(now time.Time) {
		reservations, pause, leading := leader.throttler.Reserve(now, e.name, encoder.DecodeReservationRequests(message, now))
		reply := encoder.EncodeReservations(reservations, now)
		f.schedule(f.delay(), func(now time.Time) {
			if !leading {
				failed(now)
				return
			}
			f.reserved(e, leader, requests, func(now time.Time) []router.Reservation {
				return encoder.DecodeReservations(reply, sentAt, now)
			}, pause, now)
		})
	})
}

func (f *fleet) reserved(e *entry, leader *member, requests []router.ReservationRequest, reservations func(time.Time) []router.Reservation, pause time.Duration, now time.Time) {
	if now.Before(e.frozenUntil) {
		f.schedule(e.frozenUntil.Sub(now), func(now time.Time) { f.reserved(e, leader, requests, reservations, pause, now) })
		return
	}
	e.reserving, e.nextReserveAt = false, now.Add(pause)
	e.router.FinishReservationRequests(leader.name, requests, true)
	e.router.AddReservations(reservations(now))
}

// injectFault applies a random fault to the fleet.
func (f *fleet) injectFault() {
	e := f.entries[f.random.IntN(len(f.entries))]
	length := time.Duration(f.random.Int64N(int64(3 * time.Second)))
	switch f.random.IntN(5) {
	case 0:
		e.frozenUntil, e.excludedUntil = f.now.Add(length), f.now.Add(length+settleTime)
	case 1:
		e.partitionedUntil, e.excludedUntil = f.now.Add(length), f.now.Add(length+settleTime)
	case 2:
		restarted := f.newEntry(len(f.entries)+1, e.rate)
		e.router, e.limitKnownAt, e.reserving, e.limitSerial, e.waiting = restarted.router, time.Time{}, false, 0, nil
		e.excludedUntil = f.now.Add(settleTime)
	case 3:
		f.entries = append(f.entries, f.newEntry(len(f.entries), e.rate))
	case 4:
		f.changeLeader()
	}
}

// changeLeader ends a term. The next one starts when the lease has expired.
func (f *fleet) changeLeader() {
	before := f.leader
	if before == nil {
		return
	}
	term := before.term + 1
	// entries call the former leader for a while
	f.schedule(electionTime/2, func(time.Time) { before.leading = false })
	next := f.members[f.random.IntN(len(f.members))]
	for next == before {
		next = f.members[f.random.IntN(len(f.members))]
	}
	f.schedule(electionTime, func(time.Time) { f.lead(next, term) })
	f.leader = nil
}

// maxInWindow returns the largest number of arrivals in any window after a time.
func (f *fleet) maxInWindow(from time.Time, counts func(arrival) bool) int {
	var times []time.Time
	for _, a := range f.arrivals {
		if counts(a) && !a.at.Before(from) {
			times = append(times, a.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for at := range times {
		for times[at].Sub(times[first]) >= window {
			first++
		}
		most = max(most, at-first+1)
	}
	return most
}

func maxArrivals(perSecond float64) int { return int(1.5*perSecond*window.Seconds()) + 5 }

// TestEntriesTogetherKeepAnUpstreamsRateLimit simulates fleets of different sizes,
// with demand spread unevenly over entries, and counts the requests that reach the
// upstream.
func TestEntriesTogetherKeepAnUpstreamsRateLimit(t *testing.T) {
	cases := map[string]struct {
		entries   int
		perSecond float64
		demand    float64
		noFaults  bool
	}{
		"two entries":                 {2, 2.5, 20, true},
		"nine entries, a low limit":   {9, 1, 40, true},
		"nine entries":                {9, 2.5, 40, true},
		"nine entries, a high limit":  {9, 40, 200, true},
		"many entries, a low limit":   {71, 0.5, 100, true},
		"many entries":                {71, 2.5, 100, true},
		"very many entries":           {200, 5, 200, true},
		"demand below the limit":      {9, 20, 10, true},
		"no requests allowed":         {9, 0, 40, true},
		"two entries, faults":         {2, 2.5, 20, false},
		"nine entries, faults":        {9, 1, 40, false},
		"nine entries, high, faults":  {9, 20, 100, false},
		"many entries, faults":        {71, 2.5, 100, false},
		"very many entries, faults":   {200, 5, 200, false},
		"many entries, low, faults":   {71, 0.5, 100, false},
		"nine entries, none, faults":  {9, 0, 40, false},
		"nine entries, less, faults":  {9, 2.3, 40, false},
		"three entries, high, faults": {3, 40, 200, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				f := newFleet(t, seed, c.entries, c.perSecond, c.demand)
				f.run(settleTime)
				for range 10 {
					if !c.noFaults {
						f.injectFault()
					}
					f.run(time.Second)
				}
				got := f.maxInWindow(epoch.Add(settleTime), func(a arrival) bool { return a.checked })
				assert.Assert(t, got <= maxArrivals(c.perSecond), "seed %d: %d arrivals in %v, %d allowed", seed, got, window, maxArrivals(c.perSecond))
				if !c.noFaults {
					continue
				}
				all := f.maxInWindow(epoch.Add(settleTime), func(arrival) bool { return true })
				assert.Assert(t, all <= maxArrivals(c.perSecond), "seed %d: %d arrivals in %v", seed, all, window)
				useful := 0.7 * min(c.perSecond, 0.9*c.demand) * window.Seconds()
				assert.Assert(t, float64(all) >= useful, "seed %d: %d arrivals in %v use too little of the limit", seed, all, window)
			}
		})
	}
}

// TestEntriesFollowAChangedRateLimit raises, lowers and removes a limit.
func TestEntriesFollowAChangedRateLimit(t *testing.T) {
	for name, entries := range map[string]int{"two entries": 2, "nine entries": 9, "many entries": 71} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				f := newFleet(t, seed, entries, 2, 60)
				f.run(settleTime + window)
				for _, perSecond := range []float64{10, 1, 4} {
					f.limit.PerSecond = perSecond
					from := f.now.Add(settleTime)
					f.run(settleTime + 2*window)
					got := f.maxInWindow(from, func(arrival) bool { return true })
					assert.Assert(t, got <= maxArrivals(perSecond), "seed %d: %d arrivals in %v at %v per second", seed, got, window, perSecond)
					assert.Assert(t, float64(got) >= 0.7*perSecond*window.Seconds(), "seed %d: %d arrivals at %v per second", seed, got, perSecond)
				}
				f.limit = router.RateLimit{}
				from := f.now.Add(settleTime)
				f.run(settleTime + window)
				got := f.maxInWindow(from, func(arrival) bool { return true })
				assert.Assert(t, got > 100, "seed %d: %d arrivals in %v after the limit has ended", seed, got, window)
			}
		})
	}
}
