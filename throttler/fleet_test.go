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

// Times of a played fleet.
const (
	step              = 10 * time.Millisecond
	maxLatency        = 15 * time.Millisecond
	serviceTime       = 20 * time.Millisecond
	heartbeatInterval = 250 * time.Millisecond
	electionTime      = 600 * time.Millisecond
	window            = 4 * time.Second
	adoptionTime      = 500 * time.Millisecond
	settleTime        = 3 * time.Second
	// seeds is how many plays there are of each fleet.
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

// entry is one entry: the real router, without its queue and connections.
type entry struct {
	name   string
	router *router.Router
	rate   float64
	// limitKnownAt is when it last began to know the limit, zero where it does not.
	limitKnownAt     time.Time
	frozenUntil      time.Time
	partitionedUntil time.Time
	askAt            time.Time
	asking           bool
	limitSerial      uint64
	limitSource      *member
	waiting          []time.Time
	excludedUntil    time.Time
}

// event is something that is due at a time.
type event struct {
	at  time.Time
	run func(now time.Time)
}

// arrival is one request at the server.
type arrival struct {
	at time.Time
	// checked is false where its entry is excused or had not been told.
	checked bool
}

// simulation is a fleet before one server that limits its requests, in virtual time.
type simulation struct {
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

func newSimulation(t *testing.T, seed uint64, entries int, perSecond, demand float64) *simulation {
	p := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 7)), now: epoch, seed: seed}
	for at := range 3 {
		m := &member{name: fmt.Sprintf("core-%d", at)}
		m.throttler = throttler.New(throttler.Settings{
			Leadership: func() (uint64, bool) { return m.term, m.leading },
			Registry:   metrics.NewRegistry(),
			Log:        zap.NewNop(),
		})
		p.members = append(p.members, m)
	}
	p.lead(p.members[0], 2)
	totalWeight := 0.0
	for at := range entries {
		totalWeight += 1 / float64(at+1)
	}
	for at := range entries {
		p.entries = append(p.entries, p.newEntry(at, demand/float64(at+1)/totalWeight))
	}
	p.limit, p.limitSetAt = router.RateLimit{Named: true, PerSecond: perSecond}, epoch
	return p
}

func (p *simulation) newEntry(at int, rate float64) *entry {
	e := &entry{name: fmt.Sprintf("front-%d", at), rate: rate}
	e.router = router.New(router.Settings{Seed: uint64(at) + 1, Entries: len(p.entries)})
	catalog, err := cataloger.New().With(cataloger.Delta{To: 1, Changes: []cataloger.Change{
		cataloger.PutUpstream{Upstream: cataloger.Upstream{
			Name: "u", Incarnation: "1", Address: "127.0.0.1:1", Service: "s",
			Kind: cataloger.PlainUpstream, State: cataloger.UpstreamLive,
		}},
	}})
	assert.NilError(p.t, err)
	e.router.Update(catalog)
	return e
}

func (p *simulation) lead(m *member, term uint64) {
	m.term, m.leading = term, true
	p.leader = m
}

// schedule puts something on the agenda after a way through the network.
func (p *simulation) schedule(after time.Duration, do func(now time.Time)) {
	p.events = append(p.events, event{at: p.now.Add(after), run: do})
}

func (p *simulation) latency() time.Duration {
	return time.Duration(p.random.Int64N(int64(maxLatency)))
}

// run plays for a time.
func (p *simulation) run(length time.Duration) {
	for end := p.now.Add(length); p.now.Before(end); p.now = p.now.Add(step) {
		p.runDueEvents()
		if p.now.Sub(epoch)%heartbeatInterval == 0 {
			p.sendHeartbeats()
		}
		for _, e := range p.entries {
			if !p.now.Before(e.frozenUntil) {
				p.serve(e)
			}
		}
	}
}

func (p *simulation) runDueEvents() {
	var due []event
	p.events = slices.DeleteFunc(p.events, func(e event) bool {
		if e.at.After(p.now) {
			return false
		}
		due = append(due, e)
		return true
	})
	for _, e := range due {
		e.run(p.now)
	}
}

// sendHeartbeats has the leader tell the limits that changed.
func (p *simulation) sendHeartbeats() {
	leader := p.leader
	if leader == nil {
		return
	}
	for _, e := range p.entries {
		if p.now.Before(e.partitionedUntil) || p.now.Before(e.frozenUntil) {
			continue
		}
		if e.limitSource != leader {
			e.limitSource, e.limitSerial = leader, 0
		}
		limits, serial := leader.throttler.LimitsAfter(e.limitSerial)
		e.limitSerial = serial
		if len(limits) > 0 {
			e.router.TakeLimits(p.now, leader.name, encoder.DecodeLimits(encoder.EncodeLimits(limits, p.now), p.now))
		}
	}
}

// serve sends what waits or arrives at an entry, and asks for permits.
func (p *simulation) serve(e *entry) {
	if p.random.Float64() < e.rate*step.Seconds() {
		e.waiting = append(e.waiting, p.now)
	}
	waiting := e.waiting[:0]
	for _, arrived := range e.waiting {
		if !p.send(e) && p.now.Sub(arrived) < time.Second {
			waiting = append(waiting, arrived)
		}
	}
	e.waiting = waiting
	p.ask(e)
}

// send tries to send one request.
func (p *simulation) send(e *entry) bool {
	request := &router.Request{Service: "s", Seed: p.random.Uint64()}
	choice, err := e.router.Choose(p.now, request)
	if err != nil {
		return false
	}
	choice.PermitUntil = e.router.Started(choice, request, p.now)
	if !e.router.Allows(p.now, choice) {
		return false
	}
	sentAt := p.now
	counts := !e.limitKnownAt.IsZero() && p.now.Sub(e.limitKnownAt) >= adoptionTime && p.now.After(e.excludedUntil)
	p.schedule(p.latency(), func(now time.Time) {
		p.arrivals = append(p.arrivals, arrival{at: now, checked: counts})
		limit := p.limit
		p.schedule(serviceTime+p.latency(), func(now time.Time) { p.answer(e, choice, sentAt, limit, now) })
	})
	return true
}

func (p *simulation) answer(e *entry, choice router.Choice, sentAt time.Time, limit router.RateLimit, now time.Time) {
	if now.Before(e.frozenUntil) {
		p.schedule(e.frozenUntil.Sub(now), func(now time.Time) { p.answer(e, choice, sentAt, limit, now) })
		return
	}
	if limit.Named && e.limitKnownAt.IsZero() {
		e.limitKnownAt = now
	}
	e.router.Finished(choice, router.Sample{Ended: now, Outcome: router.OutcomeFinished})
	e.router.HeedLimit(now, choice, sentAt, limit)
}

// ask asks the leader as the reserver does.
func (p *simulation) ask(e *entry) {
	leader := p.leader
	if leader == nil || e.asking || p.now.Before(e.askAt) {
		return
	}
	asks, _ := e.router.LimitAsks(p.now, leader.name)
	if len(asks) == 0 {
		return
	}
	sentAt := p.now
	e.asking = true
	failed := func(now time.Time) {
		e.asking, e.askAt = false, now.Add(200*time.Millisecond)
		e.router.Asked(leader.name, asks, false)
	}
	if p.now.Before(e.partitionedUntil) {
		p.schedule(500*time.Millisecond, failed)
		return
	}
	request := encoder.EncodeAsks(e.name, asks, p.now)
	p.schedule(p.latency(), func(now time.Time) {
		reservations, pause, leading := leader.throttler.Reserve(now, e.name, encoder.DecodeAsks(request, now))
		reply := encoder.EncodeReservations(reservations, now)
		p.schedule(p.latency(), func(now time.Time) {
			if !leading {
				failed(now)
				return
			}
			p.reserved(e, leader, asks, func(now time.Time) []router.Reservation {
				return encoder.DecodeReservations(reply, sentAt, now)
			}, pause, now)
		})
	})
}

func (p *simulation) reserved(e *entry, leader *member, asks []router.LimitAsk, reservations func(time.Time) []router.Reservation, pause time.Duration, now time.Time) {
	if now.Before(e.frozenUntil) {
		p.schedule(e.frozenUntil.Sub(now), func(now time.Time) { p.reserved(e, leader, asks, reservations, pause, now) })
		return
	}
	e.asking, e.askAt = false, now.Add(pause)
	e.router.Asked(leader.name, asks, true)
	e.router.TakeReservations(reservations(now))
}

// injectFault does something to the fleet.
func (p *simulation) injectFault() {
	e := p.entries[p.random.IntN(len(p.entries))]
	length := time.Duration(p.random.Int64N(int64(3 * time.Second)))
	switch p.random.IntN(5) {
	case 0:
		e.frozenUntil, e.excludedUntil = p.now.Add(length), p.now.Add(length+settleTime)
	case 1:
		e.partitionedUntil, e.excludedUntil = p.now.Add(length), p.now.Add(length+settleTime)
	case 2:
		restarted := p.newEntry(len(p.entries)+1, e.rate)
		e.router, e.limitKnownAt, e.asking, e.limitSerial, e.waiting = restarted.router, time.Time{}, false, 0, nil
		e.excludedUntil = p.now.Add(settleTime)
	case 3:
		p.entries = append(p.entries, p.newEntry(len(p.entries), e.rate))
	case 4:
		p.changeLeader()
	}
}

// changeLeader ends a lead. The next one begins when its lease has run out.
func (p *simulation) changeLeader() {
	before := p.leader
	if before == nil {
		return
	}
	term := before.term + 1
	// for a while entries still ask the one that led
	p.schedule(electionTime/2, func(time.Time) { before.leading = false })
	next := p.members[p.random.IntN(len(p.members))]
	for next == before {
		next = p.members[p.random.IntN(len(p.members))]
	}
	p.schedule(electionTime, func(time.Time) { p.lead(next, term) })
	p.leader = nil
}

// maxInWindow is the largest number of arrivals in a window that begins after a time.
func (p *simulation) maxInWindow(from time.Time, counts func(arrival) bool) int {
	var times []time.Time
	for _, a := range p.arrivals {
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

// TestEntriesTogetherKeepAnUpstreamsRateLimit plays fleets of all sizes whose entries see
// uneven parts of the requests, and counts what reaches the upstream.
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
		"nothing is taken":            {9, 0, 40, true},
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
				p := newSimulation(t, seed, c.entries, c.perSecond, c.demand)
				p.run(settleTime)
				for range 10 {
					if !c.noFaults {
						p.injectFault()
					}
					p.run(time.Second)
				}
				got := p.maxInWindow(epoch.Add(settleTime), func(one arrival) bool { return one.checked })
				assert.Assert(t, got <= maxArrivals(c.perSecond), "seed %d: %d in %v, %d allowed", seed, got, window, maxArrivals(c.perSecond))
				if !c.noFaults {
					continue
				}
				all := p.maxInWindow(epoch.Add(settleTime), func(arrival) bool { return true })
				assert.Assert(t, all <= maxArrivals(c.perSecond), "seed %d: %d in %v from all", seed, all, window)
				useful := 0.7 * min(c.perSecond, 0.9*c.demand) * window.Seconds()
				assert.Assert(t, float64(all) >= useful, "seed %d: %d in %v, the limit is not used", seed, all, window)
			}
		})
	}
}

// TestEntriesFollowAChangedRateLimit lets a limit rise, fall and end.
func TestEntriesFollowAChangedRateLimit(t *testing.T) {
	for name, entries := range map[string]int{"two entries": 2, "nine entries": 9, "many entries": 71} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				p := newSimulation(t, seed, entries, 2, 60)
				p.run(settleTime + window)
				for _, perSecond := range []float64{10, 1, 4} {
					p.limit.PerSecond = perSecond
					from := p.now.Add(settleTime)
					p.run(settleTime + 2*window)
					got := p.maxInWindow(from, func(arrival) bool { return true })
					assert.Assert(t, got <= maxArrivals(perSecond), "seed %d: %d in %v at %v a second", seed, got, window, perSecond)
					assert.Assert(t, float64(got) >= 0.7*perSecond*window.Seconds(), "seed %d: %d at %v a second", seed, got, perSecond)
				}
				p.limit = router.RateLimit{}
				from := p.now.Add(settleTime)
				p.run(settleTime + window)
				got := p.maxInWindow(from, func(arrival) bool { return true })
				assert.Assert(t, got > 100, "seed %d: %d in %v after the limit has ended", seed, got, window)
			}
		})
	}
}
