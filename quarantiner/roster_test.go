package quarantiner_test

import (
	"flag"
	"fmt"
	"maps"
	"math/bits"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/quarantiner"
)

// roster returns the roster of a crash a number of milliseconds after start. Each subject
// is that of one request at work.
func roster(upstream string, ms int, subjects ...quarantiner.Subject) quarantiner.Roster {
	return rosterAt(upstream, ms, 1, subjects...)
}

// rosterAt returns the roster of a crash under answers that had come to a number of events.
func rosterAt(upstream string, ms, events int, subjects ...quarantiner.Subject) quarantiner.Roster {
	roster := quarantiner.Roster{Upstream: upstream, At: start.Add(time.Duration(ms) * time.Millisecond)}
	for _, id := range shortIDs(subjects...) {
		roster.Suspects = append(roster.Suspects, quarantiner.Suspect{ID: id, Events: events})
	}
	return roster
}

func shortIDs(subjects ...quarantiner.Subject) []uint64 {
	var ids []uint64
	for _, subject := range subjects {
		if subject.Fingerprint != "" {
			ids = append(ids, quarantiner.HashID(subject.Fingerprint))
		}
		for _, part := range subject.Parts {
			ids = append(ids, quarantiner.HashID(part))
		}
	}
	return ids
}

// A part or request that ends upstreams within their answers must not go on to end others,
// and what else was at work there must still be served.
func TestDecideOnRequestsAtWork(t *testing.T) {
	common := []quarantiner.Roster{
		roster("u1", 0, request("f1", "a", "d"), request("g1", "a", "s")),
		roster("u2", 1000, request("f2", "a", "d"), request("g2", "a", "s")),
		roster("u3", 2000, request("f3", "a", "d"), request("g3", "a", "t")),
	}
	refused := func(at, delay time.Duration, suspects ...string) quarantiner.Refuse {
		return quarantiner.Refuse{Suspects: suspects, RetryAt: start.Add(at + delay)}
	}
	cases := map[string]struct {
		crashes   []quarantiner.Crash
		rosters   []quarantiner.Roster
		completed []quarantiner.Subject
		begun     []quarantiner.Subject
		subject   quarantiner.Subject
		after     time.Duration
		want      quarantiner.Verdict
	}{
		"crashing part": {
			rosters: common,
			subject: request("f4", "a", "d"),
			want:    refused(2*time.Second, time.Minute, "a", "d"),
		},
		"common part of the crashing request": {
			rosters: common,
			subject: request("h", "a", "x"),
			want:    quarantiner.Allow{},
		},
		"part that was at work at two of three crashes": {
			rosters: common,
			subject: request("h", "a", "s"),
			want:    quarantiner.Allow{},
		},
		"common part after an answer": {
			rosters:   common,
			completed: []quarantiner.Subject{request("h", "a", "x")},
			subject:   request("f4", "b", "d"),
			want:      refused(2*time.Second, time.Minute, "d"),
		},
		"answer that has only begun clears nothing": {
			rosters: common,
			begun:   []quarantiner.Subject{request("f4", "a", "d")},
			subject: request("f5", "a", "d"),
			want:    refused(2*time.Second, time.Minute, "a", "d"),
		},
		"two crashes may be a coincidence": {
			rosters: common[:2],
			subject: request("f4", "a", "d"),
			want:    quarantiner.Allow{},
		},
		"three upstreams that end at the same moment": {
			rosters: []quarantiner.Roster{
				roster("u1", 0, request("f1", "d")), roster("u2", 20, request("f2", "d")), roster("u3", 40, request("f3", "d")),
			},
			subject: request("f4", "d"),
			want:    quarantiner.Allow{},
		},
		"request that comes again": {
			rosters: []quarantiner.Roster{
				roster("u1", 0, request("f", "a", "b")), roster("u2", 1000, request("f", "a", "b"), request("g", "a", "c")),
				roster("u3", 2000, request("f", "a", "b")),
			},
			subject: request("f", "a", "b"),
			want:    refused(2*time.Second, time.Minute, "f", "a", "b"),
		},
		"sound request with the parts of one that comes again": {
			rosters: []quarantiner.Roster{
				roster("u1", 0, request("f", "a", "b")), roster("u2", 1000, request("f", "a", "b")), roster("u3", 2000, request("f", "a", "b")),
			},
			subject: request("g", "a", "b"),
			want:    quarantiner.Allow{},
		},
		"equally many crashes with some in common are undecided": {
			rosters: []quarantiner.Roster{
				roster("u1", 0, request("f1", "d"), request("g1", "s")), roster("u2", 1000, request("f2", "d")),
				roster("u3", 2000, request("g2", "s")), roster("u4", 3000, request("f3", "d"), request("g3", "s")),
			},
			subject: request("f4", "d"),
			want:    quarantiner.Allow{},
		},
		"next crash decides between them": {
			rosters: []quarantiner.Roster{
				roster("u1", 0, request("f1", "d"), request("g1", "s")), roster("u2", 1000, request("f2", "d")),
				roster("u3", 2000, request("g2", "s")), roster("u4", 3000, request("f3", "d"), request("g3", "s")),
				roster("u5", 4000, request("f4", "d")),
			},
			subject: request("f5", "d"),
			want:    refused(4*time.Second, 5*time.Minute, "d"),
		},
		"two crashing parts": {
			rosters: []quarantiner.Roster{
				roster("u1", 0, request("f1", "d")), roster("u2", 1000, request("f2", "d")), roster("u3", 2000, request("f3", "d")),
				roster("u4", 3000, request("g1", "e")), roster("u5", 4000, request("g2", "e")), roster("u6", 5000, request("g3", "e")),
			},
			subject: request("f4", "d"),
			want:    refused(2*time.Second, time.Minute, "d"),
		},
		"request that only began where another one is the cause": {
			crashes: []quarantiner.Crash{under("u1", 0, "g1", "a", "s"), under("u2", 1000, "g2", "a", "s")},
			rosters: common,
			subject: request("h", "a", "s"),
			want:    quarantiner.Allow{},
		},
		"upstream that crashed, came back under its name and crashed again": {
			rosters: []quarantiner.Roster{
				roster("u1", 0, request("f1", "d")), roster("u1", 5000, request("f2", "d")), roster("u1", 10000, request("f3", "d")),
			},
			subject: request("f4", "d"),
			want:    refused(10*time.Second, time.Minute, "d"),
		},
		"crash that is reported late": {
			rosters: []quarantiner.Roster{
				roster("u1", 0, request("f1", "d")), roster("u1", 500, request("f2", "d")), roster("u2", 1000, request("f3", "d")),
			},
			subject: request("f4", "d"),
			want:    quarantiner.Allow{},
		},
		"retry is due": {
			rosters: common,
			subject: request("f4", "a", "d"), after: 62 * time.Second,
			want: quarantiner.Trial{Suspects: []string{"a", "d"}},
		},
		"expired": {
			rosters: common,
			subject: request("f4", "a", "d"), after: 11 * time.Minute,
			want: quarantiner.Allow{},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := quarantiner.NewTable()
			for _, crash := range c.crashes {
				table.Merge(crash, start)
			}
			for _, roster := range c.rosters {
				table.MergeRoster(roster, start)
			}
			for _, subject := range c.completed {
				table.Completed(subject, start.Add(time.Millisecond))
			}
			for _, subject := range c.begun {
				table.Answered(subject, start.Add(time.Millisecond))
			}
			assert.DeepEqual(t, table.Decide(c.subject, probing(true), start.Add(max(c.after, 10*time.Second))), c.want)
		})
	}
}

// Entries that learn the same observations in another order must not decide differently.
func TestMergeOfRostersIsIndependentOfOrderAndRepetition(t *testing.T) {
	observations := []quarantiner.Roster{
		roster("u1", 0, request("f1", "a", "d")),
		{Upstream: "u1", Suspects: []quarantiner.Suspect{
			{ID: quarantiner.HashID("s"), Events: 1}, {ID: quarantiner.HashID("a"), Events: 1, Outlived: 20},
		}, At: start.Add(time.Second)},
		roster("u2", 1500, request("f2", "d")),
		roster("u3", 2500, request("f3", "s", "d")),
	}
	random := rand.New(rand.NewPCG(1, 1))
	for range 50 {
		table := quarantiner.NewTable()
		for _, i := range append(random.Perm(4), random.Perm(4)...) {
			table.MergeRoster(observations[i], start.Add(3*time.Second))
		}
		now := start.Add(3 * time.Second)
		_, refused := table.Decide(request("f4", "d"), probing(false), now).(quarantiner.Refuse)
		assert.Assert(t, refused)
		assert.DeepEqual(t, table.Decide(request("g2", "a", "s"), probing(false), now), quarantiner.Allow{})
	}
}

// Rosters must stay within their bound, however many requests were at work.
func TestRostersAreBounded(t *testing.T) {
	table := quarantiner.NewTable()
	for i := range 300 {
		var subjects []quarantiner.Subject
		for part := range 700 {
			subjects = append(subjects, request(fmt.Sprint(i, "-", part)))
		}
		table.MergeRoster(roster(fmt.Sprint("u", i), i*1000, subjects...), start)
	}
	rosters := table.Rosters(start)
	assert.Equal(t, len(rosters), 64)
	for _, roster := range rosters {
		assert.Assert(t, len(roster.Suspects) <= 512)
	}
	table.MergeRoster(quarantiner.Roster{Upstream: string(make([]byte, 1000)), At: start.Add(400 * time.Second)}, start)
	assert.Equal(t, len(table.Rosters(start)), 64)
	assert.Assert(t, !table.MergeRoster(roster("u1", 1000), start), "a dropped roster is passed on again")
}

// restartSteps is the time for which an upstream is down after a crash.
const restartSteps = 300

// runningAnswer is a request at an upstream.
type runningAnswer struct {
	entry, upstream int
	subject         quarantiner.Subject
	crashing        bool
	trial           quarantiner.Trial
	begunAt, endsAt int
}

// eventSteps is the number of steps from one event of an answer to the next.
const eventSteps = 3

// events returns the number of events of the answer at a step.
func (a runningAnswer) events(at int) int { return max(0, at-a.begunAt) / eventSteps }

// rosterNote is a message with a roster to an entry.
type rosterNote struct {
	to        int
	roster    quarantiner.Roster
	arrivesAt int
}

// answerHistory is a fleet of entries and upstreams with many answers at a time, some of
// which crash their upstreams after they have begun.
type answerHistory struct {
	t      *testing.T
	random *rand.Rand
	// delay is the number of steps from the send of a crashing request to the crash;
	// crashingShare is the share of these requests. killInterval is the number of steps between
	// crashes without cause; zero for none.
	delay         int
	crashingShare float64
	killInterval  int

	tables   []*quarantiner.Table
	upstream []int // the incarnation of each upstream
	downTill []int // the step at which each upstream is back
	running  []runningAnswer
	// changes are the upstreams of rosters that each entry has not sent since they changed.
	changes []map[string]bool
	notes   []rosterNote
	at      int
	number  int
	caused  int
	// settledAt is the step from which on late sends are counted; zero if it is not known.
	settledAt       int
	late            int
	sound, unserved int
}

func (h *answerHistory) now() time.Time { return start.Add(time.Duration(h.at) * step) }

func (h *answerHistory) run() {
	for h.at = range historySteps {
		h.deliver()
		if h.killInterval > 0 && h.at%h.killInterval == h.killInterval-1 {
			h.crash(h.random.IntN(len(h.upstream)))
		}
		for range 1 + h.random.IntN(2) {
			h.arrive()
		}
		h.end()
		h.flush()
		if h.at%repeatSteps == 0 {
			for entry, table := range h.tables {
				for _, roster := range table.Rosters(h.now()) {
					h.tell(entry, roster)
				}
			}
		}
	}
}

// arrive decides about a new request. Crashing ones differ from each other by their first
// and their last part, and share these with sound ones.
func (h *answerHistory) arrive() {
	h.number++
	entry, crashing := h.random.IntN(len(h.tables)), h.random.Float64() < h.crashingShare
	parts := []string{"common", fmt.Sprint("subject-", h.random.IntN(30))}
	if crashing {
		parts[1] = "crashing"
	}
	answer := runningAnswer{
		entry: entry, upstream: h.random.IntN(len(h.upstream)), crashing: crashing,
		subject: quarantiner.Subject{Fingerprint: fmt.Sprint("request-", h.number), Parts: parts},
		begunAt: h.at + 5, endsAt: h.at + 10 + h.random.IntN(1000),
	}
	if crashing {
		answer.endsAt = h.at + h.delay
	}
	if h.downTill[answer.upstream] > h.at {
		return
	}
	if !crashing {
		h.sound++
	}
	switch verdict := h.tables[entry].Decide(answer.subject, probing(entry == 0), h.now()).(type) {
	case quarantiner.Allow:
	case quarantiner.Trial:
		answer.trial = verdict
	default:
		if !crashing {
			h.unserved++
		}
		return
	}
	if crashing && h.settledAt > 0 && h.at > h.settledAt {
		h.late++
	}
	h.running = append(h.running, answer)
}

// end ends the answers that are due.
func (h *answerHistory) end() {
	var crashed []int
	kept := h.running[:0]
	for _, answer := range h.running {
		switch {
		case answer.endsAt > h.at:
			kept = append(kept, answer)
			if events := answer.events(h.at); bits.OnesCount(uint(events)) == 1 {
				h.changed(answer.entry, h.tables[answer.entry].Lasted(answer.subject, events, h.now())...)
			}
		case answer.crashing:
			crashed = append(crashed, answer.upstream)
			kept = append(kept, answer)
		default:
			table := h.tables[answer.entry]
			h.changed(answer.entry, table.Completed(answer.subject, h.now())...)
			table.EndTrial(answer.trial)
		}
	}
	h.running = kept
	for _, upstream := range crashed {
		h.crash(upstream)
	}
}

// crash ends an upstream and all answers there.
func (h *answerHistory) crash(upstream int) {
	if h.downTill[upstream] > h.at {
		return
	}
	incarnation := fmt.Sprintf("u%d@%d", upstream, h.upstream[upstream])
	kept := make([]runningAnswer, 0, len(h.running))
	for _, answer := range h.running {
		if answer.upstream != upstream {
			kept = append(kept, answer)
			continue
		}
		if answer.crashing && answer.endsAt <= h.at {
			h.caused++
		}
		table := h.tables[answer.entry]
		observed := rosterAt(incarnation, int(h.now().Sub(start).Milliseconds()), answer.events(h.at), answer.subject)
		if table.MergeRoster(observed, h.now()) {
			h.changed(answer.entry, incarnation)
		}
		table.EndTrial(answer.trial)
	}
	h.running = kept
	h.upstream[upstream]++
	h.downTill[upstream] = h.at + restartSteps
	if h.caused >= partCrashes && h.settledAt == 0 {
		h.settledAt = h.at + int(settleTime/step)
	}
}

// changed records that an entry knows more of the rosters of upstreams.
func (h *answerHistory) changed(entry int, upstreams ...string) {
	for _, upstream := range upstreams {
		if h.changes[entry] == nil {
			h.changes[entry] = map[string]bool{}
		}
		h.changes[entry][upstream] = true
	}
}

// flush sends the rosters that have changed.
func (h *answerHistory) flush() {
	for entry, upstreams := range h.changes {
		for _, upstream := range slices.Sorted(maps.Keys(upstreams)) {
			for _, roster := range h.tables[entry].RostersOf(upstream) {
				h.tell(entry, roster)
			}
		}
		clear(upstreams)
	}
}

// tell sends a roster to all other entries. Messages are late, lost or doubled.
func (h *answerHistory) tell(from int, roster quarantiner.Roster) {
	for to := range h.tables {
		for range []int{0, 1, 1, 1, 2}[h.random.IntN(5)] {
			if to != from {
				h.notes = append(h.notes, rosterNote{to: to, roster: roster, arrivesAt: h.at + h.random.IntN(20)})
			}
		}
	}
}

func (h *answerHistory) deliver() {
	kept := h.notes[:0]
	for _, n := range h.notes {
		if n.arrivesAt > h.at {
			kept = append(kept, n)
			continue
		}
		if h.tables[n.to].MergeRoster(n.roster, h.now()) {
			h.changed(n.to, n.roster.Upstream)
		}
	}
	h.notes = kept
}

var answerHistories = flag.Uint64("answer-histories", 5, "number of seeds of each case")

// A part that crashes upstreams at any moment of an answer must be kept from them, while
// the many answers that end with them stay allowed; crashes without cause must refuse
// nothing.
func TestAnswersThatCrashUpstreams(t *testing.T) {
	checkAnswerHistories(t, *answerHistories, map[string]answerCase{
		"soon after the beginning": {delay: 80 * time.Millisecond, share: 0.05},
		"after some events":        {delay: 500 * time.Millisecond, share: 0.05},
		"late in the answer":       {delay: 5 * time.Second, share: 0.05},
		"seldom":                   {delay: 80 * time.Millisecond, share: 0.01},
		"often":                    {delay: 300 * time.Millisecond, share: 0.1, upstreams: 8},
		"beside other crashes":     {delay: 300 * time.Millisecond, share: 0.05, killInterval: time.Second},
		"other crashes only":       {killInterval: time.Second},
	})
}

// The same must hold where all upstreams crash at almost the same time, or so often that hardly
// any answer ends.
func TestUpstreamsThatAllCrashAtAlmostTheSameTime(t *testing.T) {
	checkAnswerHistories(t, 20, map[string]answerCase{
		"often, few upstreams":     {delay: 300 * time.Millisecond, share: 0.1},
		"very often":               {delay: 300 * time.Millisecond, share: 0.3},
		"other crashes very often": {killInterval: 300 * time.Millisecond},
	})
}

// answerCase describes answer histories.
type answerCase struct {
	delay        time.Duration
	share        float64
	killInterval time.Duration
	// upstreams is the least number of them.
	upstreams int
}

func checkAnswerHistories(t *testing.T, seeds uint64, cases map[string]answerCase) {
	t.Helper()
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			sound, unserved, caused, worst := 0, 0, 0, 0
			for seed := range seeds {
				random := rand.New(rand.NewPCG(seed, 2))
				h := &answerHistory{
					t: t, random: random, delay: int(c.delay / step), crashingShare: c.share, killInterval: int(c.killInterval / step),
					tables: make([]*quarantiner.Table, 2+random.IntN(10)), upstream: make([]int, max(c.upstreams, 5+random.IntN(8))),
				}
				h.changes = make([]map[string]bool, len(h.tables))
				h.downTill = make([]int, len(h.upstream))
				for entry := range h.tables {
					h.tables[entry] = quarantiner.NewTable()
				}
				h.run()
				assert.Assert(t, h.late <= maxLateSends, "seed %d: %d sent late", seed, h.late)
				sound, unserved, caused = sound+h.sound, unserved+h.unserved, caused+h.caused
				worst = max(worst, h.unserved)
			}
			t.Logf("%d crashes, %d sound requests, %d not sent, %d in the worst history", caused, sound, unserved, worst)
			assert.Assert(t, unserved*200 < sound)
		})
	}
}
