package replicator_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"burdocklink/replicator"
)

// timing is that of the simulated group.
var timing = replicator.Timing{
	Heartbeat:   100 * time.Millisecond,
	ElectionMin: 600 * time.Millisecond,
	ElectionMax: 1200 * time.Millisecond,
	Lease:       500 * time.Millisecond,
}

// epoch is when simulated time begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// disk is the state that survives a crash.
type disk struct {
	hardState replicator.HardState
	snapshot  replicator.Snapshot
	entries   []replicator.Entry
}

func (d *disk) apply(write replicator.Write) {
	if write.HardState != nil {
		d.hardState = *write.HardState
	}
	if s := write.Snapshot; s != nil {
		retained := d.entries[:0:0]
		for _, entry := range d.entries {
			if entry.Index > s.Index && !write.Reset {
				retained = append(retained, entry)
			}
		}
		d.snapshot, d.entries = *s, retained
	}
	if len(write.Entries) > 0 {
		keep := write.Entries[0].Index - d.snapshot.Index - 1
		d.entries = append(d.entries[:keep:keep], write.Entries...)
	}
}

// node is one simulated member.
type node struct {
	id      replicator.Identity
	core    *replicator.Core
	disk    disk
	pending []replicator.Write
	// incarnation counts starts. Events of an earlier incarnation are dropped,
	// except for messages.
	incarnation int
	down        bool
	// diskLost is set if the node has lost its disk. It never starts again.
	diskLost    bool
	frozenUntil time.Duration
	// rate is the rate of the node's clock relative to simulated time.
	rate    float64
	applied uint64
	lease   time.Time
	status  replicator.Status
}

// scheduledEvent is an event that is due at a simulated time.
type scheduledEvent struct {
	at          time.Duration
	seq         int
	node        *node
	incarnation int
	event       replicator.Event
}

type eventQueue []scheduledEvent

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(scheduledEvent)) }
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// pendingRead is a read in progress and the lowest read index that is allowed.
type pendingRead struct {
	node        *node
	incarnation int
	min         uint64
}

// group is a simulated network of cores. It checks their outputs against the
// state expected by an oracle.
type group struct {
	random  *rand.Rand
	now     time.Duration
	queue   eventQueue
	seq     int
	nodes   []*node
	byID    map[replicator.Identity]*node
	blocked map[[2]replicator.Identity]bool
	lossy   bool

	// State of the oracle.
	committed     []replicator.Entry
	leaders       map[uint64]replicator.Identity
	reads         map[uint64]pendingRead
	readID        uint64
	answeredReads int
	failure       string
}

const groupID = "group"

func newGroup(seed uint64, voters int, drift float64) *group {
	g := &group{
		random:  rand.New(rand.NewPCG(seed, 1)),
		byID:    map[replicator.Identity]*node{},
		blocked: map[[2]replicator.Identity]bool{},
		leaders: map[uint64]replicator.Identity{},
		reads:   map[uint64]pendingRead{},
	}
	var members []replicator.Member
	for i := range voters {
		n := g.addNode(string(rune('a'+i)), drift)
		members = append(members, replicator.Member{ID: n.id, Role: replicator.Voter})
	}
	first := g.nodes[0]
	first.disk.hardState, first.disk.entries = replicator.Bootstrap(groupID, members, epoch)
	for _, n := range g.nodes {
		g.start(n)
	}
	return g
}

func (g *group) addNode(name string, drift float64) *node {
	id := replicator.Identity{Name: name, Disk: fmt.Sprintf("disk-%d", len(g.nodes))}
	n := &node{id: id, down: true, rate: 1 + drift*(2*g.random.Float64()-1)}
	g.nodes = append(g.nodes, n)
	g.byID[id] = n
	return n
}

// clock returns the time on the node's clock.
func (g *group) clock(n *node) time.Time {
	return epoch.Add(time.Duration(float64(g.now) * n.rate))
}

func (g *group) start(n *node) {
	n.incarnation++
	n.down = false
	n.pending = nil
	n.applied = n.disk.snapshot.Index
	n.lease = time.Time{}
	n.core = replicator.New(replicator.Settings{
		ID:         n.id,
		Timing:     timing,
		ChunkBytes: 64,
		Seed:       g.random.Uint64(),
		HardState:  n.disk.hardState,
		Snapshot:   n.disk.snapshot,
		Entries:    append([]replicator.Entry(nil), n.disk.entries...),
	}, g.clock(n))
	n.status = n.core.Status()
	g.post(n, replicator.Tick{}, timing.Heartbeat/2)
}

// crash stops a node. A random prefix of its unsynced writes survives.
func (g *group) crash(n *node) {
	n.down = true
	n.lease = time.Time{}
	n.status = replicator.Status{}
	for _, write := range n.pending[:g.random.IntN(len(n.pending)+1)] {
		n.disk.apply(write)
	}
	n.pending = nil
}

func (g *group) post(n *node, event replicator.Event, after time.Duration) {
	g.seq++
	heap.Push(&g.queue, scheduledEvent{at: g.now + after, seq: g.seq, node: n, incarnation: n.incarnation, event: event})
}

// run continues the simulation until the given time or a failure.
func (g *group) run(until time.Duration) {
	for g.failure == "" && len(g.queue) > 0 && g.queue[0].at <= until {
		next := heap.Pop(&g.queue).(scheduledEvent)
		g.now = next.at
		g.handle(next)
	}
	g.now = until
}

func (g *group) handle(next scheduledEvent) {
	n := next.node
	_, received := next.event.(replicator.Received)
	if n.down || (!received && next.incarnation != n.incarnation) {
		return
	}
	if g.now < n.frozenUntil {
		g.post(n, next.event, n.frozenUntil-g.now)
		return
	}
	if _, tick := next.event.(replicator.Tick); tick {
		g.post(n, next.event, timing.Heartbeat/2)
	}
	if synced, ok := next.event.(replicator.Synced); ok {
		for len(n.pending) > 0 && n.pending[0].Sequence <= synced.Sequence {
			n.disk.apply(n.pending[0])
			n.pending = n.pending[1:]
		}
	}
	g.step(n, next.event)
}

// step passes an event to a core, carries out its output and checks it.
func (g *group) step(n *node, event replicator.Event) replicator.Output {
	out := n.core.Step(event, g.clock(n))
	if out.Write != nil {
		n.pending = append(n.pending, *out.Write)
		g.post(n, replicator.Synced{Sequence: out.Write.Sequence}, g.upTo(20*time.Millisecond))
	}
	for _, envelope := range out.Messages {
		g.deliver(envelope)
	}
	g.checkOutput(n, out)
	return out
}

func (g *group) upTo(limit time.Duration) time.Duration {
	return time.Duration(g.random.Int64N(int64(limit)))
}

func (g *group) deliver(envelope replicator.Envelope) {
	to := g.byID[envelope.To]
	if to == nil || g.blocked[[2]replicator.Identity{envelope.From, envelope.To}] {
		return
	}
	copies, spread := 1, 5*time.Millisecond
	if g.lossy {
		copies = []int{0, 1, 1, 1, 1, 1, 1, 2}[g.random.IntN(8)]
		spread = 60 * time.Millisecond
		if g.random.IntN(40) == 0 {
			spread = 5 * time.Second
		}
	}
	for range copies {
		g.post(to, replicator.Received{Envelope: envelope}, g.upTo(spread))
	}
}
