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
	defaultHistories = 10000
	shards           = 20
	historySteps     = 90
	// maxClockDrift is the maximum relative deviation of a clock's rate.
	maxClockDrift   = 0.03
	recoveryTimeout = 15 * time.Second
	// historiesVariable sets the number of histories, for a run with random
	// seeds.
	historiesVariable = "REPLICATOR_HISTORIES"
)

// TestHistories runs groups of cores through random faults. It checks that
// committed entries never change, a term has at most one leader, at most one
// lease is held at a time, logs match, reads are linearizable, stamps never
// decrease, and that a group commits again once all faults have ended. For a
// longer run with random seeds use
//
//	REPLICATOR_HISTORIES=200000 go test -run TestHistories -timeout 2h ./replicator/
func TestHistories(t *testing.T) {
	count, seed := defaultHistories, uint64(0)
	if requestedCount := os.Getenv(historiesVariable); requestedCount != "" {
		requested, err := strconv.Atoi(requestedCount)
		assert.NilError(t, err)
		count, seed = requested, rand.Uint64()>>16
	}
	for shard := range shards {
		t.Run(strconv.Itoa(shard), func(t *testing.T) {
			t.Parallel()
			committed, answers := 0, 0
			for i := shard; i < count; i += shards {
				g := runHistory(seed + uint64(i))
				if g.failure != "" {
					t.Fatalf("seed %d %s", seed+uint64(i), g.failure)
				}
				committed += len(g.committed)
				answers += g.answeredReads
			}
			assert.Assert(t, committed > 0 && answers > 0)
		})
	}
}

// runHistory runs one history and waits until the group commits after it.
func runHistory(seed uint64) *group {
	voters := []int{1, 3, 3, 5}[seed%4]
	g := newGroup(seed, voters, maxClockDrift)
	g.lossy = seed%5 != 0
	for range historySteps {
		g.performRandomAction()
		g.run(g.now + g.upTo(120*time.Millisecond))
		if g.failure != "" {
			return g
		}
	}
	g.awaitCommit()
	g.checkLogs()
	return g
}

// performRandomAction performs a random fault, recovery or request.
func (g *group) performRandomAction() {
	n := g.nodes[g.random.IntN(len(g.nodes))]
	if n.diskLost {
		return
	}
	switch g.random.IntN(29) {
	case 28:
		g.restartAll()
	case 0, 1:
		g.crashOrStart(n)
	case 24:
		g.partition()
	case 25:
		g.restartFollowers()
	case 26, 27:
		g.disturbLeader(n)
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
		g.replaceDisk(n)
	case 8, 9, 10:
		g.reconfigure()
	case 11:
		g.stepLeader(replicator.Transfer{Target: n.id})
	case 12, 13:
		g.compact(n)
	case 14, 15, 16, 17:
		g.read(n)
	default:
		g.stepLeader(replicator.Propose{Data: [][]byte{{byte(g.seq)}, {byte(g.seq >> 8)}}})
	}
}

func (g *group) crashOrStart(n *node) {
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

// partition divides the group into two parts that can't reach each other.
func (g *group) partition() {
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

// restartFollowers restarts most of the nodes that do not lead, simultaneously.
func (g *group) restartFollowers() {
	for _, n := range g.nodes {
		if n.down || n.diskLost || n.status.Leading || g.random.IntN(4) == 0 {
			continue
		}
		g.crash(n)
		g.start(n)
	}
}

// restartAll restarts all or most nodes simultaneously.
func (g *group) restartAll() {
	for _, n := range g.nodes {
		if n.down || n.diskLost || g.random.IntN(6) == 0 {
			continue
		}
		g.crash(n)
		g.start(n)
	}
}

// disturbLeader blocks messages from a leader to another node, and may freeze the
// leader for up to an election timeout.
func (g *group) disturbLeader(n *node) {
	for _, leader := range g.leadingNodes() {
		g.blocked[[2]replicator.Identity{leader.id, n.id}] = true
		if g.random.IntN(2) == 0 {
			g.run(g.now + g.upTo(timing.ElectionMax))
			leader.frozenUntil = g.now + g.upTo(timing.ElectionMax)
		}
	}
}

// leadingNodes returns the running nodes that believe they lead, in random order.
func (g *group) leadingNodes() []*node {
	var found []*node
	for _, n := range g.nodes {
		if !n.down && n.status.Leading && g.now >= n.frozenUntil {
			found = append(found, n)
		}
	}
	g.random.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return found
}

// stepLeader passes an event to a node that believes it leads, if there is one.
func (g *group) stepLeader(event replicator.Event) {
	if leaders := g.leadingNodes(); len(leaders) > 0 {
		g.step(leaders[0], event)
	}
}

func (g *group) read(n *node) {
	if leaders := g.leadingNodes(); len(leaders) > 0 {
		n = leaders[0]
	}
	if n.down || g.now < n.frozenUntil {
		return
	}
	g.readID++
	g.reads[g.readID] = pendingRead{node: n, incarnation: n.incarnation, min: uint64(len(g.committed))}
	g.step(n, replicator.Read{ID: g.readID})
}

func (g *group) compact(n *node) {
	if !n.down && g.now >= n.frozenUntil {
		g.step(n, replicator.Compact{Index: n.applied, Data: snapshotData(n.applied)})
	}
}

// replaceDisk replaces a voter's disk if the others are a quorum of every known
// configuration without it. The new disk is a new node that is not a member yet.
func (g *group) replaceDisk(n *node) {
	const maxNodes = 8
	if len(g.committed) == 0 || len(g.nodes) >= maxNodes || !g.canLoseDisk(n) {
		return
	}
	g.crash(n)
	n.diskLost = true
	g.start(g.addNode(n.id.Name, maxClockDrift))
}

// canLoseDisk reports whether every known configuration keeps a quorum without a
// node's disk.
func (g *group) canLoseDisk(n *node) bool {
	for _, other := range g.nodes {
		configuration := other.core.Status().Configuration
		if configuration.Voters() > 0 && !g.keepsQuorum(configuration, n.id) {
			return false
		}
	}
	return true
}

// keepsQuorum reports whether the voters of a configuration that have not lost
// their disks are a quorum without the given member.
func (g *group) keepsQuorum(configuration replicator.Configuration, without replicator.Identity) bool {
	remaining := 0
	for _, member := range configuration.Members {
		if member.Role == replicator.Voter && member.ID != without && !g.byID[member.ID].diskLost {
			remaining++
		}
	}
	return remaining >= configuration.Quorum()
}

// reconfigure requests a random change of members from a leader.
func (g *group) reconfigure() {
	leaders := g.leadingNodes()
	if len(leaders) == 0 {
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
	next, err := leaders[0].status.Configuration.With(change)
	if err != nil || !g.keepsQuorum(next, replicator.Identity{}) {
		return
	}
	g.step(leaders[0], replicator.Reconfigure{Change: change})
}

// awaitCommit ends all faults and checks that the group commits again.
func (g *group) awaitCommit() {
	clear(g.blocked)
	g.lossy = false
	for _, n := range g.nodes {
		if n.diskLost {
			continue
		}
		n.frozenUntil = 0
		if n.down {
			g.start(n)
		}
	}
	until := g.now + recoveryTimeout
	for g.now < until && g.failure == "" {
		g.run(g.now + 500*time.Millisecond)
		if g.commits() {
			return
		}
	}
	g.fail("no commit within %v after all faults ended", recoveryTimeout)
}

// commits proposes an entry to a leader with a lease and reports whether the
// leader applies it.
func (g *group) commits() bool {
	for _, n := range g.leadingNodes() {
		if !g.clock(n).Before(n.lease) {
			continue
		}
		out := g.step(n, replicator.Propose{Data: [][]byte{{1}}})
		g.run(g.now + 200*time.Millisecond)
		return out.Proposed != nil && n.applied >= out.Proposed.First
	}
	return false
}
