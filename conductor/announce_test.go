package conductor_test

import (
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/conductor"
)

// join starts a member that only knows some others and is known to nobody.
func (g *cluster) join(name string, change func(*conductor.Config), known ...string) *process {
	g.t.Helper()
	listener := listen(g.t)
	p := &process{listener: listener, config: conductor.Config{
		Name: name, Address: listener.Addr().String(), Codec: realCodec(),
		Folder: filepath.Join(g.t.TempDir(), name), Joins: true, Voters: 3, LostAfter: time.Second,
	}}
	for _, other := range known {
		p.config.Peers = append(p.config.Peers, conductor.Member{Name: other, Address: g.processes[other].config.Address})
	}
	p.config.Credentials = newGateCredentials(&p.gate)
	if change != nil {
		change(&p.config)
	}
	g.processes[name] = p
	g.start(p)
	return p
}

// voterNames returns the names of the voters as the leader sees them.
func (g *cluster) voterNames() map[string]bool {
	names := map[string]bool{}
	for _, member := range g.leader().Status().Members {
		if member.Role == conductor.Voter {
			names[member.Name] = true
		}
	}
	return names
}

func small(config *conductor.Config) { config.Voters, config.LostAfter = 3, time.Second }

// TestANewcomerReplacesAMemberThatIsGone plays a VM of the core that is lost
// for good, and an empty one at an address that nobody was told.
func TestANewcomerReplacesAMemberThatIsGone(t *testing.T) {
	g := newCluster(t, small, "a", "b", "c")
	g.commit()
	var lost string
	for _, name := range []string{"a", "b", "c"} {
		if g.processes[name] != g.leader() {
			lost = name
		}
	}
	g.kill(g.processes[lost])
	// it knows one member that is lost and one that may not lead
	g.join("d", nil, lost, g.leader().config.Name)
	g.eventually("the newcomer votes", func() bool { return g.voterNames()["d"] && !g.voterNames()[lost] })
	// the group bears another loss, and what was accepted stays
	for name, p := range g.processes {
		if name != "d" && name != lost {
			g.kill(p)
			break
		}
	}
	g.eventually("a leader without the lost ones", func() bool { return g.leader() != nil })
	g.commit()
}

func TestAMemberThatJoinsBeginsNoGroup(t *testing.T) {
	g := newCluster(t, func(config *conductor.Config) { config.Joins = true }, "a", "b", "c")
	time.Sleep(1500 * time.Millisecond)
	for name, p := range g.processes {
		assert.Equal(t, p.Status().Leader, "", name)
		assert.Equal(t, len(p.Status().Members), 0, name)
	}
}

func TestNewcomersFindTheGroupThroughNewSeeds(t *testing.T) {
	g := newCluster(t, small, "a", "b", "c")
	g.commit()
	p := g.join("d", nil)
	assert.Equal(t, len(p.Status().Members), 0)
	// the settings name another member than before
	p.Meet([]conductor.Member{{Name: "b", Address: g.processes["b"].config.Address}})
	g.eventually("the newcomer belongs to the group", func() bool { return len(p.Status().Members) == 4 })
}

func TestAMemberThatIsGoneIsNotReplacedWhileTheLeaseLapses(t *testing.T) {
	const lostAfter, joinAfter = 2 * time.Second, time.Second
	slow := func(config *conductor.Config) {
		lapsing(config)
		config.Voters, config.LostAfter = 3, lostAfter
	}
	g := newCluster(t, slow, "a", "b", "c")
	g.commit()
	var lost string
	for _, name := range []string{"a", "b", "c"} {
		if g.processes[name] != g.leader() {
			lost = name
		}
	}
	g.kill(g.processes[lost])
	time.Sleep(joinAfter)
	g.join("d", slow, g.leader().config.Name)
	began := time.Now()
	g.eventually("the newcomer votes", func() bool { return g.voterNames()["d"] && !g.voterNames()[lost] })
	assert.Assert(t, time.Since(began) <= catchUpTime, "the newcomer votes after %v", time.Since(began))
}

func TestASecondProcessOfAMembersNameTakesItsPlace(t *testing.T) {
	g := newCluster(t, nil, "a", "b", "c")
	g.commit()
	g.voters(3)
	disk := g.processes["b"].Disk()
	second := g.join("second", func(config *conductor.Config) { config.Name = "b" }, "a", "c")
	g.eventually("the second process is in the group", func() bool { return len(second.Status().Members) == 4 })
	for until := time.Now().Add(catchUpTime); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		for _, member := range g.leader().Status().Members {
			assert.Assert(t, member.Disk != second.Disk() || member.Role == conductor.Learner, "the second process votes")
		}
	}
	g.voters(3)
	assert.Equal(t, g.processes["b"].Disk(), disk)
}
