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
	step       = 10 * time.Millisecond
	longestWay = 15 * time.Millisecond
	answerTime = 20 * time.Millisecond
	beatTime   = 250 * time.Millisecond
	leaderless = 600 * time.Millisecond
	window     = 4 * time.Second
	toldTime   = 500 * time.Millisecond
	contact    = 3 * time.Second
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
	// told is when it last began to know the limit, zero where it does not.
	told       time.Time
	frozen     time.Time
	cut        time.Time
	askAt      time.Time
	asking     bool
	toldSerial uint64
	toldBy     *member
	waiting    []time.Time
	excused    time.Time
}

// happening is something that is due at a time.
type happening struct {
	at time.Time
	do func(now time.Time)
}

// arrival is one request at the server.
type arrival struct {
	at time.Time
	// counts is false where its entry is excused or had not been told.
	counts bool
}

// play is a fleet before one server that limits its requests, in virtual time.
type play struct {
	t        *testing.T
	random   *rand.Rand
	now      time.Time
	members  []*member
	leader   *member
	entries  []*entry
	agenda   []happening
	limit    router.RateLimit
	namedAt  time.Time
	arrivals []arrival
	seed     uint64
}

func newPlay(t *testing.T, seed uint64, entries int, perSecond, demand float64) *play {
	p := &play{t: t, random: rand.New(rand.NewPCG(seed, 7)), now: epoch, seed: seed}
	for at := range 3 {
		one := &member{name: fmt.Sprintf("core-%d", at)}
		one.throttler = throttler.New(throttler.Settings{
			Lead:     func() (uint64, bool) { return one.term, one.leading },
			Registry: metrics.NewRegistry(),
			Log:      zap.NewNop(),
		})
		p.members = append(p.members, one)
	}
	p.lead(p.members[0], 2)
	weights := 0.0
	for at := range entries {
		weights += 1 / float64(at+1)
	}
	for at := range entries {
		p.entries = append(p.entries, p.newEntry(at, demand/float64(at+1)/weights))
	}
	p.limit, p.namedAt = router.RateLimit{Announced: true, PerSecond: perSecond}, epoch
	return p
}

func (p *play) newEntry(at int, rate float64) *entry {
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

func (p *play) lead(one *member, term uint64) {
	one.term, one.leading = term, true
	p.leader = one
}

// later puts something on the agenda after a way through the network.
func (p *play) later(after time.Duration, do func(now time.Time)) {
	p.agenda = append(p.agenda, happening{at: p.now.Add(after), do: do})
}

func (p *play) way() time.Duration { return time.Duration(p.random.Int64N(int64(longestWay))) }

// run plays for a time.
func (p *play) run(length time.Duration) {
	for end := p.now.Add(length); p.now.Before(end); p.now = p.now.Add(step) {
		p.happen()
		if p.now.Sub(epoch)%beatTime == 0 {
			p.beat()
		}
		for _, e := range p.entries {
			if !p.now.Before(e.frozen) {
				p.serve(e)
			}
		}
	}
}

func (p *play) happen() {
	var due []happening
	p.agenda = slices.DeleteFunc(p.agenda, func(one happening) bool {
		if one.at.After(p.now) {
			return false
		}
		due = append(due, one)
		return true
	})
	for _, one := range due {
		one.do(p.now)
	}
}

// beat has the leader tell the limits that changed.
func (p *play) beat() {
	leader := p.leader
	if leader == nil {
		return
	}
	for _, e := range p.entries {
		if p.now.Before(e.cut) || p.now.Before(e.frozen) {
			continue
		}
		if e.toldBy != leader {
			e.toldBy, e.toldSerial = leader, 0
		}
		heard, serial := leader.throttler.Told(e.toldSerial)
		e.toldSerial = serial
		if len(heard) > 0 {
			e.router.MergeLimits(p.now, leader.name, encoder.DecodeLimits(encoder.EncodeLimits(heard, p.now), p.now))
		}
	}
}

// serve sends what waits or arrives at an entry, and asks for permits.
func (p *play) serve(e *entry) {
	if p.random.Float64() < e.rate*step.Seconds() {
		e.waiting = append(e.waiting, p.now)
	}
	kept := e.waiting[:0]
	for _, arrived := range e.waiting {
		if !p.send(e) && p.now.Sub(arrived) < time.Second {
			kept = append(kept, arrived)
		}
	}
	e.waiting = kept
	p.ask(e)
}

// send tries to send one request.
func (p *play) send(e *entry) bool {
	request := &router.Request{Service: "s", Seed: p.random.Uint64()}
	choice, err := e.router.Choose(p.now, request)
	if err != nil {
		return false
	}
	choice.PermitExpiresAt = e.router.Started(choice, request, p.now)
	if !e.router.Allows(p.now, choice) {
		return false
	}
	sentAt := p.now
	counts := !e.told.IsZero() && p.now.Sub(e.told) >= toldTime && p.now.After(e.excused)
	p.later(p.way(), func(now time.Time) {
		p.arrivals = append(p.arrivals, arrival{at: now, counts: counts})
		said := p.limit
		p.later(answerTime+p.way(), func(now time.Time) { p.answer(e, choice, sentAt, said, now) })
	})
	return true
}

func (p *play) answer(e *entry, choice router.Choice, sentAt time.Time, said router.RateLimit, now time.Time) {
	if now.Before(e.frozen) {
		p.later(e.frozen.Sub(now), func(now time.Time) { p.answer(e, choice, sentAt, said, now) })
		return
	}
	if said.Announced && e.told.IsZero() {
		e.told = now
	}
	e.router.Finished(choice, router.Sample{Ended: now, Outcome: router.OutcomeFinished})
	e.router.ObserveLimit(now, choice, sentAt, said)
}

// ask asks the leader as the reserver does.
func (p *play) ask(e *entry) {
	leader := p.leader
	if leader == nil || e.asking || p.now.Before(e.askAt) {
		return
	}
	asks, _ := e.router.ReservationRequests(p.now, leader.name)
	if len(asks) == 0 {
		return
	}
	sentAt := p.now
	e.asking = true
	lost := func(now time.Time) {
		e.asking, e.askAt = false, now.Add(200*time.Millisecond)
		e.router.FinishReservationRequests(leader.name, asks, false)
	}
	if p.now.Before(e.cut) {
		p.later(500*time.Millisecond, lost)
		return
	}
	request := encoder.EncodeAsks(e.name, asks, p.now)
	p.later(p.way(), func(now time.Time) {
		given, pause, leading := leader.throttler.Reserve(now, e.name, encoder.DecodeAsks(request, now))
		reply := encoder.EncodeReservations(given, now)
		p.later(p.way(), func(now time.Time) {
			if !leading {
				lost(now)
				return
			}
			p.reserved(e, leader, asks, func(now time.Time) []router.Reservation {
				return encoder.DecodeReservations(reply, sentAt, now)
			}, pause, now)
		})
	})
}

func (p *play) reserved(e *entry, leader *member, asks []router.ReservationRequest, given func(time.Time) []router.Reservation, pause time.Duration, now time.Time) {
	if now.Before(e.frozen) {
		p.later(e.frozen.Sub(now), func(now time.Time) { p.reserved(e, leader, asks, given, pause, now) })
		return
	}
	e.asking, e.askAt = false, now.Add(pause)
	e.router.FinishReservationRequests(leader.name, asks, true)
	e.router.AddReservations(given(now))
}

// fault does something to the fleet.
func (p *play) fault() {
	e := p.entries[p.random.IntN(len(p.entries))]
	length := time.Duration(p.random.Int64N(int64(3 * time.Second)))
	switch p.random.IntN(5) {
	case 0:
		e.frozen, e.excused = p.now.Add(length), p.now.Add(length+contact)
	case 1:
		e.cut, e.excused = p.now.Add(length), p.now.Add(length+contact)
	case 2:
		fresh := p.newEntry(len(p.entries)+1, e.rate)
		e.router, e.told, e.asking, e.toldSerial, e.waiting = fresh.router, time.Time{}, false, 0, nil
		e.excused = p.now.Add(contact)
	case 3:
		p.entries = append(p.entries, p.newEntry(len(p.entries), e.rate))
	case 4:
		p.changeLeader()
	}
}

// changeLeader ends a lead. The next one begins when its lease has run out.
func (p *play) changeLeader() {
	before := p.leader
	if before == nil {
		return
	}
	term := before.term + 1
	// for a while entries still ask the one that led
	p.later(leaderless/2, func(time.Time) { before.leading = false })
	next := p.members[p.random.IntN(len(p.members))]
	for next == before {
		next = p.members[p.random.IntN(len(p.members))]
	}
	p.later(leaderless, func(time.Time) { p.lead(next, term) })
	p.leader = nil
}

// most is the largest number of arrivals in a window that begins after a time.
func (p *play) most(from time.Time, counts func(arrival) bool) int {
	var times []time.Time
	for _, one := range p.arrivals {
		if counts(one) && !one.at.Before(from) {
			times = append(times, one.at)
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

func allowed(perSecond float64) int { return int(1.5*perSecond*window.Seconds()) + 5 }

// TestAFleetKeepsTheLimitOfAnUpstream plays fleets of all sizes whose entries see
// uneven parts of the requests, and counts what reaches the upstream.
func TestAFleetKeepsTheLimitOfAnUpstream(t *testing.T) {
	cases := map[string]struct {
		entries   int
		perSecond float64
		demand    float64
		calm      bool
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
				p := newPlay(t, seed, c.entries, c.perSecond, c.demand)
				p.run(contact)
				for range 10 {
					if !c.calm {
						p.fault()
					}
					p.run(time.Second)
				}
				got := p.most(epoch.Add(contact), func(one arrival) bool { return one.counts })
				assert.Assert(t, got <= allowed(c.perSecond), "seed %d: %d in %v, %d allowed", seed, got, window, allowed(c.perSecond))
				if !c.calm {
					continue
				}
				all := p.most(epoch.Add(contact), func(arrival) bool { return true })
				assert.Assert(t, all <= allowed(c.perSecond), "seed %d: %d in %v from all", seed, all, window)
				useful := 0.7 * min(c.perSecond, 0.9*c.demand) * window.Seconds()
				assert.Assert(t, float64(all) >= useful, "seed %d: %d in %v, the limit is not used", seed, all, window)
			}
		})
	}
}

// TestAFleetFollowsALimitThatChanges lets a limit rise, fall and end.
func TestAFleetFollowsALimitThatChanges(t *testing.T) {
	for name, entries := range map[string]int{"two entries": 2, "nine entries": 9, "many entries": 71} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				p := newPlay(t, seed, entries, 2, 60)
				p.run(contact + window)
				for _, perSecond := range []float64{10, 1, 4} {
					p.limit.PerSecond = perSecond
					from := p.now.Add(contact)
					p.run(contact + 2*window)
					got := p.most(from, func(arrival) bool { return true })
					assert.Assert(t, got <= allowed(perSecond), "seed %d: %d in %v at %v a second", seed, got, window, perSecond)
					assert.Assert(t, float64(got) >= 0.7*perSecond*window.Seconds(), "seed %d: %d at %v a second", seed, got, perSecond)
				}
				p.limit = router.RateLimit{}
				from := p.now.Add(contact)
				p.run(contact + window)
				got := p.most(from, func(arrival) bool { return true })
				assert.Assert(t, got > 100, "seed %d: %d in %v after the limit has ended", seed, got, window)
			}
		})
	}
}
