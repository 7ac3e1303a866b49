package replicator_test

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/replicator"
)

const (
	fixedHistories = 10000
	shards         = 20
	historySteps   = 90
	// driftInTests is how much faster or slower than true a clock may be.
	driftInTests = 0.03
	settleTime   = 15 * time.Second
	// historiesVariable asks for a longer run with free seeds.
	historiesVariable = "REPLICATOR_HISTORIES"
)

// TestHistories runs groups of cores through random faults and asks the
// oracle after each step: what is committed never reverts, a term has one
// leader, one lease is held at a time, logs match, reads are linearizable,
// stamps never step back, and a group that is whole again commits. A longer
// run with free seeds is
//
//	REPLICATOR_HISTORIES=200000 go test -run TestHistories -timeout 2h ./replicator/
func TestHistories(t *testing.T) {
	count, seed := fixedHistories, uint64(0)
	if free := os.Getenv(historiesVariable); free != "" {
		wanted, err := strconv.Atoi(free)
		assert.NilError(t, err)
		count, seed = wanted, rand.Uint64()>>16
	}
	for shard := range shards {
		t.Run(strconv.Itoa(shard), func(t *testing.T) {
			t.Parallel()
			committed, answers := 0, 0
			for i := shard; i < count; i += shards {
				g := playHistory(seed + uint64(i))
				if g.failure != "" {
					t.Fatalf("seed %d %s", seed+uint64(i), g.failure)
				}
				committed += len(g.log)
				answers += g.answers
			}
			assert.Assert(t, committed > 0 && answers > 0)
		})
	}
}

// playHistory runs one history and lets the group settle after it.
func playHistory(seed uint64) *group {
	voters := []int{1, 3, 3, 5}[seed%4]
	g := newGroup(seed, voters, driftInTests)
	g.lossy = seed%5 != 0
	for range historySteps {
		g.act()
		g.run(g.now + g.upTo(120*time.Millisecond))
		if g.failure != "" {
			return g
		}
	}
	g.settle()
	g.checkLogs()
	return g
}

// act brings about one thing that may happen.
func (g *group) act() {
	n := g.nodes[g.random.IntN(len(g.nodes))]
	if n.lost {
		return
	}
	switch g.random.IntN(29) {
	case 28:
		g.restartAll()
	case 0, 1:
		g.toggle(n)
	case 24:
		g.split()
	case 25:
		g.restartFollowers()
	case 26, 27:
		g.harassLeader(n)
	case 2:
		other := g.nodes[g.random.IntN(len(g.nodes))]
		g.blocked[[2]replicator.Identity{n.id, other.id}] = true
	case 3:
		g.isolate(n)
	case 4, 5:
		clear(g.blocked)
	case 6:
		n.frozenUntil = g.now + g.upTo(3*time.Second)
	case 7:
		g.wipe(n)
	case 8, 9, 10:
		g.change()
	case 11:
		g.ask(replicator.Transfer{Target: n.id})
	case 12, 13:
		g.compact(n)
	case 14, 15, 16, 17:
		g.read(n)
	default:
		g.ask(replicator.Propose{Data: [][]byte{{byte(g.seq)}, {byte(g.seq >> 8)}}})
	}
}

func (g *group) toggle(n *node) {
	if n.down {
		g.start(n)
		return
	}
	g.crash(n)
}

func (g *group) isolate(n *node) {
	for _, other := range g.nodes {
		g.blocked[[2]replicator.Identity{n.id, other.id}] = true
		g.blocked[[2]replicator.Identity{other.id, n.id}] = true
	}
}

// split cuts the group in two parts, and no node of either hears the other.
func (g *group) split() {
	clear(g.blocked)
	sides := g.random.Uint64()
	for i, n := range g.nodes {
		for j, other := range g.nodes {
			if sides>>i&1 != sides>>j&1 {
				g.blocked[[2]replicator.Identity{n.id, other.id}] = true
			}
		}
	}
}

// restartFollowers restarts at once those that do not lead, or some of them.
func (g *group) restartFollowers() {
	for _, n := range g.nodes {
		if n.down || n.lost || n.status.Leading || g.random.IntN(4) == 0 {
			continue
		}
		g.crash(n)
		g.start(n)
	}
}

// restartAll restarts all nodes at once, or most of them.
func (g *group) restartAll() {
	for _, n := range g.nodes {
		if n.down || n.lost || g.random.IntN(6) == 0 {
			continue
		}
		g.crash(n)
		g.start(n)
	}
}

// harassLeader freezes a leader for about a lease while another node does not
// hear it.
func (g *group) harassLeader(n *node) {
	for _, leader := range g.leads() {
		g.blocked[[2]replicator.Identity{leader.id, n.id}] = true
		if g.random.IntN(2) == 0 {
			g.run(g.now + g.upTo(timing.ElectionMax))
			leader.frozenUntil = g.now + g.upTo(timing.ElectionMax)
		}
	}
}

// leads returns nodes that believe they lead, in a random order.
func (g *group) leads() []*node {
	var found []*node
	for _, n := range g.nodes {
		if !n.down && n.status.Leading && g.now >= n.frozenUntil {
			found = append(found, n)
		}
	}
	g.random.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return found
}

// ask passes an event to one that believes it leads.
func (g *group) ask(what replicator.Event) {
	if leads := g.leads(); len(leads) > 0 {
		g.step(leads[0], what)
	}
}

func (g *group) read(n *node) {
	if leads := g.leads(); len(leads) > 0 {
		n = leads[0]
	}
	if n.down || g.now < n.frozenUntil {
		return
	}
	g.readID++
	g.reads[g.readID] = readWant{node: n, life: n.life, min: uint64(len(g.log))}
	g.step(n, replicator.Read{ID: g.readID})
}

func (g *group) compact(n *node) {
	if !n.down && g.now >= n.frozenUntil {
		g.step(n, replicator.Compact{Index: n.applied, Data: snapshotData(n.applied)})
	}
}

// wipe replaces a voter's disk, where the others are still a quorum of every
// configuration known. The new disk is a new node that waits to be added.
func (g *group) wipe(n *node) {
	const maxNodes = 8
	if len(g.log) == 0 || len(g.nodes) >= maxNodes || !g.spare(n) {
		return
	}
	g.crash(n)
	n.lost = true
	g.start(g.addNode(n.id.Name, driftInTests))
}

// spare says whether the group can do without a node's disk.
func (g *group) spare(n *node) bool {
	for _, other := range g.nodes {
		configuration := other.core.Status().Configuration
		if configuration.Voters() > 0 && !g.lives(configuration, n.id) {
			return false
		}
	}
	return true
}

// lives says whether a configuration keeps a quorum without a member.
func (g *group) lives(configuration replicator.Configuration, without replicator.Identity) bool {
	kept := 0
	for _, member := range configuration.Members {
		if member.Role == replicator.Voter && member.ID != without && !g.byID[member.ID].lost {
			kept++
		}
	}
	return kept >= configuration.Quorum()
}

// change asks a leader for a random change of members.
func (g *group) change() {
	leads := g.leads()
	if len(leads) == 0 {
		return
	}
	id := g.nodes[g.random.IntN(len(g.nodes))].id
	var change replicator.Change
	switch g.random.IntN(5) {
	case 0, 1:
		change = replicator.AddLearner{Member: replicator.Member{ID: id}}
	case 2, 3:
		change = replicator.Promote{ID: id}
	default:
		change = replicator.Remove{ID: id}
	}
	next, err := leads[0].status.Configuration.With(change)
	if err != nil || !g.lives(next, replicator.Identity{}) {
		return
	}
	g.step(leads[0], replicator.Reconfigure{Change: change})
}

// settle heals everything and holds that the group commits again.
func (g *group) settle() {
	clear(g.blocked)
	g.lossy = false
	for _, n := range g.nodes {
		if n.lost {
			continue
		}
		n.frozenUntil = 0
		if n.down {
			g.start(n)
		}
	}
	until := g.now + settleTime
	for g.now < until && g.failure == "" {
		g.run(g.now + 500*time.Millisecond)
		if g.commits() {
			return
		}
	}
	g.fail("no commit after %v of calm", settleTime)
}

// commits proposes at a leader with a lease and looks whether it is applied.
func (g *group) commits() bool {
	for _, n := range g.leads() {
		if !g.clock(n).Before(n.lease) {
			continue
		}
		out := g.step(n, replicator.Propose{Data: [][]byte{{1}}})
		g.run(g.now + 200*time.Millisecond)
		return out.Proposed != nil && n.applied >= out.Proposed.First
	}
	return false
}
