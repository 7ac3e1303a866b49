package quarantiner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/quarantiner"
)

const (
	step = 10 * time.Millisecond
	// historySteps is the length of a history. Requests with the crashing part come in
	// the first part of it.
	historySteps  = 2000
	crashingSteps = 1600
	// partCrashes is the number of crashes, requestCrashes that of those under the one
	// crashing request, and settleTime the time after them from which on maxLateSends
	// crashing requests may be sent.
	partCrashes    = 5
	requestCrashes = 3
	settleTime     = 3 * time.Second
	maxLateSends   = 3
	// repeatSteps is the time between two repetitions of all that an entry knows.
	repeatSteps = 100
)

// simulatedRequest is a request at an upstream.
type simulatedRequest struct {
	entry    int
	subject  quarantiner.Subject
	crashing bool
	trial    quarantiner.Trial
	upstream int
	beginsAt int
}

// note is a message with crashes to an entry.
type note struct {
	to        int
	crashes   []quarantiner.Crash
	arrivesAt int
}

// history is a fleet of entries and upstreams under requests with a crashing part, or
// under one crashing request that comes again and again.
type history struct {
	// repeating is set if one request crashes upstreams, and not a part.
	repeating bool
	t         *testing.T
	seed      uint64
	random    *rand.Rand
	tables    []*quarantiner.Table
	absent    []int // the step until which each entry is frozen or has just started
	upstream  []int // the incarnation of each upstream
	running   []simulatedRequest
	notes     []note
	at        int

	// number counts the requests, crashes those of upstreams, and caused those under
	// crashing requests.
	number, crashes, caused int
	// settledAt is the step from which on late sends are counted; zero if it is not known.
	settledAt int
	lateSends int
	// unrelated counts the crashes without cause that a part was under.
	unrelated map[string]int
	sound     int
	refused   int
}

func newHistory(t *testing.T, seed uint64, repeating bool) *history {
	random := rand.New(rand.NewPCG(seed, 1))
	h := &history{t: t, seed: seed, random: random, repeating: repeating, unrelated: map[string]int{}}
	for range 2 + random.IntN(10) {
		h.tables = append(h.tables, quarantiner.NewTable())
		h.absent = append(h.absent, 0)
	}
	h.upstream = make([]int, 3+random.IntN(8))
	return h
}

func (h *history) now() time.Time { return start.Add(time.Duration(h.at) * step) }

func (h *history) run() {
	for h.at = range historySteps {
		h.disturb()
		h.deliver()
		for range h.random.IntN(4) {
			h.arrive()
		}
		h.begin()
		if h.at%repeatSteps == 0 {
			for entry, table := range h.tables {
				h.tell(entry, table.Crashes(h.now()))
			}
		}
	}
}

// disturb freezes or restarts an entry now and then, or crashes an upstream.
func (h *history) disturb() {
	entry := h.random.IntN(len(h.tables))
	switch h.random.IntN(1500) {
	case 0:
		h.absent[entry] = h.at + 300
	case 1:
		h.tables[entry] = quarantiner.NewTable()
		h.absent[entry] = h.at
	case 2:
		h.crash(h.random.IntN(len(h.upstream)), h.random.IntN(3) == 0)
	}
}

// arrive decides about a new request.
func (h *history) arrive() {
	entry := h.random.IntN(len(h.tables))
	if h.at < h.absent[entry] {
		return
	}
	crashing := h.at > 100 && h.at < crashingSteps && h.random.IntN(20) == 0
	request := simulatedRequest{
		entry: entry, subject: h.subject(crashing), crashing: crashing,
		upstream: h.random.IntN(len(h.upstream)), beginsAt: h.at + 5 + h.random.IntN(30),
	}
	switch verdict := h.tables[entry].Decide(request.subject, probing(entry == 0), h.now()).(type) {
	case quarantiner.Wait:
		return
	case quarantiner.Refuse:
		h.checkRefusal(verdict, crashing)
		return
	case quarantiner.Trial:
		request.trial = verdict
	}
	if !crashing {
		h.sound++
	}
	settled := h.settledAt > 0 && h.at > max(h.settledAt, h.absent[entry]+int(settleTime/step))
	if crashing && settled {
		h.lateSends++
	}
	h.running = append(h.running, request)
}

// subject returns a new request. Crashing ones repeat each other, or share a part. Some of
// the sound ones come again, too.
func (h *history) subject(crashing bool) quarantiner.Subject {
	h.number++
	parts := []string{"common", fmt.Sprint("subject-", h.random.IntN(20))}
	switch {
	case h.repeating && crashing && h.seed%2 == 0:
		return quarantiner.Subject{Fingerprint: "crashing"}
	case h.repeating && crashing:
		return quarantiner.Subject{Fingerprint: "crashing", Parts: []string{"common", "subject-1"}}
	case h.repeating:
		return quarantiner.Subject{Fingerprint: fmt.Sprint("sound-", h.random.IntN(200)), Parts: parts}
	case crashing:
		parts = append(parts, "crashing")
	}
	return quarantiner.Subject{Fingerprint: fmt.Sprint("request-", h.number), Parts: parts}
}

// checkRefusal checks that a sound request is refused only after as many crashes
// without cause as make a quarantine.
func (h *history) checkRefusal(verdict quarantiner.Refuse, crashing bool) {
	if crashing {
		return
	}
	h.refused++
	unrelated := 0
	for _, part := range verdict.Suspects {
		unrelated = max(unrelated, h.unrelated[part])
	}
	assert.Assert(h.t, unrelated >= 2, "seed %d step %d: %v refused", h.seed, h.at, verdict.Suspects)
}

// begin lets upstreams begin the answers that are due.
func (h *history) begin() {
	var due, later []simulatedRequest
	for _, request := range h.running {
		if request.beginsAt <= h.at {
			due = append(due, request)
		} else {
			later = append(later, request)
		}
	}
	h.running = later
	for _, request := range due {
		if h.at < h.absent[request.entry] {
			continue
		}
		table := h.tables[request.entry]
		if request.crashing {
			h.observe(request, request.upstream, true)
			h.caused++
			h.crash(request.upstream, false)
		} else {
			h.tell(request.entry, table.Answered(request.subject, h.now()))
		}
		table.EndTrial(request.trial)
	}
}

// observe records at an entry that an upstream crashed under a request, which it had begun
// to answer or not.
func (h *history) observe(request simulatedRequest, upstream int, begun bool) {
	crash := quarantiner.Crash{
		Upstream: fmt.Sprintf("u%d@%d", upstream, h.upstream[upstream]), Fingerprint: request.subject.Fingerprint, At: h.now(),
	}
	if begun {
		crash.Parts = request.subject.Parts
	}
	if crash, changed := h.tables[request.entry].Merge(crash, h.now()); changed {
		h.tell(request.entry, []quarantiner.Crash{crash})
	}
}

// crash ends an upstream and what runs on it. With suspect the first of these requests
// looks like the cause. All others are at work as well.
func (h *history) crash(upstream int, suspect bool) {
	var others []simulatedRequest
	for _, request := range h.running {
		if request.upstream != upstream {
			others = append(others, request)
			continue
		}
		begun := suspect && !request.crashing
		h.observe(request, upstream, begun)
		h.unrelated[request.subject.Fingerprint]++
		if begun {
			for _, part := range request.subject.Parts {
				h.unrelated[part]++
			}
			suspect = false
		}
		h.tables[request.entry].EndTrial(request.trial)
	}
	h.running = others
	h.upstream[upstream]++
	h.crashes++
	settled := h.crashes >= partCrashes
	if h.repeating {
		settled = h.caused >= requestCrashes
	}
	if settled && h.settledAt == 0 {
		h.settledAt = h.at + int(settleTime/step)
	}
}

// tell sends crashes to all other entries. Messages are late, lost or doubled.
func (h *history) tell(from int, crashes []quarantiner.Crash) {
	if len(crashes) == 0 {
		return
	}
	for to := range h.tables {
		for range []int{0, 1, 1, 1, 2}[h.random.IntN(5)] {
			if to != from {
				h.notes = append(h.notes, note{to: to, crashes: crashes, arrivesAt: h.at + h.random.IntN(20)})
			}
		}
	}
}

func (h *history) deliver() {
	var later []note
	for _, n := range h.notes {
		if n.arrivesAt > h.at || h.at < h.absent[n.to] {
			later = append(later, n)
			continue
		}
		for _, observed := range n.crashes {
			if crash, changed := h.tables[n.to].Merge(observed, h.now()); changed {
				h.tell(n.to, []quarantiner.Crash{crash})
			}
		}
	}
	h.notes = later
}

func TestHistories(t *testing.T) {
	for name, repeating := range map[string]bool{"crashing part": false, "crashing request": true} {
		t.Run(name, func(t *testing.T) { checkHistories(t, repeating) })
	}
}

func checkHistories(t *testing.T, repeating bool) {
	seeds := uint64(200)
	if testing.Short() {
		seeds = 50
	}
	crashes, refused, sound := 0, 0, 0
	for seed := range seeds {
		h := newHistory(t, seed, repeating)
		h.run()
		assert.Assert(t, h.lateSends <= maxLateSends, "seed %d: %d sent late", seed, h.lateSends)
		crashes, refused, sound = crashes+h.crashes, refused+h.refused, sound+h.sound
	}
	t.Logf("%d histories: %d crashes, %d sound requests sent, %d refused", seeds, crashes, sound, refused)
	assert.Assert(t, refused*200 < sound)
}

func FuzzMerge(f *testing.F) {
	f.Add("u1", "a,d", "a", int64(5))
	f.Add("", "", "x", int64(-1))
	f.Fuzz(func(t *testing.T, upstream, part, harmless string, age int64) {
		table := quarantiner.NewTable()
		for range 2 {
			table.Merge(quarantiner.Crash{
				Upstream: upstream, Parts: []string{part, "b"}, Harmless: []string{harmless},
				At: start.Add(-time.Duration(age)),
			}, start)
		}
		_, refused := table.Decide(ofParts(part, harmless, "b"), probing(false), start).(quarantiner.Refuse)
		assert.Assert(t, !refused)
	})
}
