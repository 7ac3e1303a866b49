package historian_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/applier"
	"burdocklink/historian"
	"burdocklink/router"
)

const (
	step         = 10 * time.Millisecond
	historySteps = 4000
	listSteps    = 60
	listLagSteps = 80
)

// simulatedStream is a stream that a caller has the beginning of.
type simulatedStream struct {
	id, software string
	brokenAt     int
}

// message carries streams from an entry to a control member.
type message struct {
	to        int
	streams   map[string]router.Stream
	arrivesAt int
}

// history is a fleet of entries and control members while upstreams of several versions
// come and go. Messages are late, lost or doubled, members change, and entries lose
// power, all at once too.
type history struct {
	t       *testing.T
	seed    uint64
	random  *rand.Rand
	calm    bool
	entries []*historian.Table
	// members are the memories of the control members, state is what they have committed.
	members []*historian.Archive
	state   *applier.State
	index   uint64
	leader  int
	term    uint64
	at      int
	// running are the versions of the upstreams, past what the platform listed earlier.
	running []string
	past    [][]string
	// known are the versions that the entries may send requests to.
	known    []string
	streams  []simulatedStream
	messages []message
	number   int

	takenUp, continued int
}

func newHistory(t *testing.T, seed uint64, calm bool) *history {
	h := &history{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 2)), calm: calm, term: 1,
		state: applier.New(), running: []string{"v1"},
	}
	for range 2 + h.random.IntN(6) {
		h.entries = append(h.entries, historian.NewTable(1000))
	}
	for range 3 {
		h.members = append(h.members, historian.NewArchive())
	}
	return h
}

func (h *history) now() time.Time { return start.Add(time.Duration(h.at) * step) }

func (h *history) run() {
	for h.at = range historySteps {
		h.past = append(h.past, slices.Clone(h.running))
		h.release()
		if !h.calm {
			h.disturb()
		}
		if h.at%listSteps == 0 {
			h.readList()
		}
		h.deliver()
		h.begin()
		h.takeUp()
	}
}

// release replaces versions: a new one joins, or the oldest one goes.
func (h *history) release() {
	if h.random.IntN(600) > 0 {
		return
	}
	if len(h.running) > 1 && h.random.IntN(2) == 0 {
		h.running = h.running[1:]
		return
	}
	h.number++
	software := fmt.Sprint("v", h.number+1)
	if h.random.IntN(5) == 0 {
		software = "" // the list does not name it
	}
	h.running = append(h.running, software)
}

func (h *history) disturb() {
	switch h.random.IntN(800) {
	case 0: // an entry loses power
		h.entries[h.random.IntN(len(h.entries))] = historian.NewTable(1000)
	case 1: // all entries do
		for i := range h.entries {
			h.entries[i] = historian.NewTable(1000)
		}
	case 2: // another member leads; entries send it what they know
		h.leader, h.term = h.random.IntN(len(h.members)), h.term+1
		h.resend()
	case 3: // the leader loses its memory
		h.members[h.leader] = historian.NewArchive()
		h.leader, h.term = (h.leader+1)%len(h.members), h.term+1
		h.resend()
	}
}

func (h *history) resend() {
	for i := range h.entries {
		h.send(h.entries[i].All("s", h.now()))
	}
}

// readList lets the leader read the list, record what it says and tell the entries.
func (h *history) readList() {
	listed := h.past[max(0, h.at-h.random.IntN(listLagSteps+1))]
	h.members[h.leader].SetListed(h.term, map[string][]string{"s": listed}, h.now())
	h.known = listed
	if !h.calm && h.random.IntN(4) == 0 {
		return // the proposal fails
	}
	changes := historian.Changes(h.state.Catalog().Releases, map[string][]string{"s": listed}, h.now())
	if len(changes) > 0 {
		h.index++
		h.state.Apply(h.index, h.now(), applier.Watch{Changes: changes})
	}
}

// begin lets an entry begin a stream at an upstream that it knows and that still runs.
func (h *history) begin() {
	if len(h.known) == 0 || h.random.IntN(5) > 0 {
		return
	}
	software := h.known[h.random.IntN(len(h.known))]
	if !slices.Contains(h.running, software) {
		return
	}
	h.number++
	id := fmt.Sprint("r", h.number)
	began := router.Stream{Service: "s", Origin: router.Origin{Software: software, Incarnation: "of " + id}}
	h.entries[h.random.IntN(len(h.entries))].Record(id, began, h.now())
	h.send(map[string]router.Stream{id: began})
	h.streams = append(h.streams, simulatedStream{id: id, software: software, brokenAt: h.at + 20 + h.random.IntN(1000)})
}

// send sends streams to the leader.
func (h *history) send(streams map[string]router.Stream) {
	copies := 1
	if !h.calm {
		copies = []int{0, 1, 1, 1, 2}[h.random.IntN(5)]
	}
	for range copies {
		h.messages = append(h.messages, message{to: h.leader, streams: streams, arrivesAt: h.at + h.random.IntN(10)})
	}
}

func (h *history) deliver() {
	h.messages = slices.DeleteFunc(h.messages, func(m message) bool {
		if m.arrivesAt > h.at {
			return false
		}
		h.members[m.to].Record(m.streams, h.now())
		return true
	})
}

// takeUp takes up the streams that are broken off at any entry.
func (h *history) takeUp() {
	h.streams = slices.DeleteFunc(h.streams, func(s simulatedStream) bool {
		if s.brokenAt > h.at {
			return false
		}
		h.takenUp++
		found, known := h.entries[h.random.IntN(len(h.entries))].Find(s.id, h.now())
		if !known {
			answer, ok := h.members[h.leader].Find(s.id, []string{"s"}, h.term, h.state.Catalog().Releases, h.now()).(historian.Known)
			if !ok {
				return true
			}
			found = answer.Stream
		}
		h.continued++
		assert.Equal(h.t, found.Origin.Software, s.software, "seed %d step %d: %s", h.seed, h.at, s.id)
		if s.software == "" {
			assert.Equal(h.t, found.Origin.Incarnation, "of "+s.id, "seed %d", h.seed)
		}
		return true
	})
}

func TestHistories(t *testing.T) {
	for name, calm := range map[string]bool{"disturbed": false, "calm": true} {
		t.Run(name, func(t *testing.T) {
			takenUp, continued := 0, 0
			for seed := range uint64(300) {
				h := newHistory(t, seed, calm)
				h.run()
				takenUp, continued = takenUp+h.takenUp, continued+h.continued
			}
			t.Logf("%d of %d streams continued", continued, takenUp)
			assert.Assert(t, takenUp > 10_000)
			if calm {
				assert.Equal(t, continued, takenUp)
			}
		})
	}
}
