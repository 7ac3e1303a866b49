package conductor_test

import (
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/conductor"
)

// joinMember starts a member that knows only some other members and is unknown to
// all of them.
func (g *cluster) joinMember(name string, configure func(*conductor.Config), known ...string) *process {
	g.t.Helper()
	listener := listen(g.t)
	p := &process{listener: listener, config: conductor.Config{
		Name: name, Address: listener.Addr().String(), Codec: encoderCodec(),
		Folder: filepath.Join(g.t.TempDir(), name), JoinOnly: true, Voters: 3, LostAfter: time.Second,
	}}
	for _, other := range known {
		p.config.Peers = append(p.config.Peers, conductor.Member{Name: other, Address: g.processes[other].config.Address})
	}
	p.config.Credentials = newFaultyCredentials(&p.network)
	if configure != nil {
		configure(&p.config)
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

func withThreeVoters(config *conductor.Config) { config.Voters, config.LostAfter = 3, time.Second }

// A VM with a voter is lost for good, and an empty member starts at an address that
// no other member knows.
func TestNewMemberReplacesLostVoter(t *testing.T) {
	g := newCluster(t, withThreeVoters, "a", "b", "c")
	g.commit()
	var lost string
	for _, name := range []string{"a", "b", "c"} {
		if g.processes[name] != g.leader() {
			lost = name
		}
	}
	g.kill(g.processes[lost])
	// The new member knows the lost voter and one other, which may not lead.
	g.joinMember("d", nil, lost, g.leader().config.Name)
	g.eventually("the new member votes", func() bool { return g.voterNames()["d"] && !g.voterNames()[lost] })
	// The group survives the loss of another voter.
	for name, p := range g.processes {
		if name != "d" && name != lost {
			g.kill(p)
			break
		}
	}
	g.eventually("a leader without the lost voters", func() bool { return g.leader() != nil })
	g.commit()
}

func TestJoiningMemberFormsNoGroup(t *testing.T) {
	g := newCluster(t, func(config *conductor.Config) { config.JoinOnly = true }, "a", "b", "c")
	time.Sleep(1500 * time.Millisecond)
	for name, p := range g.processes {
		assert.Equal(t, p.Status().Leader, "", name)
		assert.Equal(t, len(p.Status().Members), 0, name)
	}
}

func TestNewMemberFindsGroupThroughAddedPeers(t *testing.T) {
	g := newCluster(t, withThreeVoters, "a", "b", "c")
	g.commit()
	p := g.joinMember("d", nil)
	assert.Equal(t, len(p.Status().Members), 0)
	// The settings now name another member.
	p.AddPeers([]conductor.Member{{Name: "b", Address: g.processes["b"].config.Address}})
	g.eventually("the new member is in the group", func() bool { return len(p.Status().Members) == 4 })
}

func TestLostVoterIsReplacedWhileLeaseLapses(t *testing.T) {
	const lostAfter, joinAfter = 2 * time.Second, time.Second
	configure := func(config *conductor.Config) {
		withShortLease(config)
		config.Voters, config.LostAfter = 3, lostAfter
	}
	g := newCluster(t, configure, "a", "b", "c")
	g.commit()
	var lost string
	for _, name := range []string{"a", "b", "c"} {
		if g.processes[name] != g.leader() {
			lost = name
		}
	}
	g.kill(g.processes[lost])
	time.Sleep(joinAfter)
	g.joinMember("d", configure, g.leader().config.Name)
	begin := time.Now()
	g.eventually("the new member votes", func() bool { return g.voterNames()["d"] && !g.voterNames()[lost] })
	assert.Assert(t, time.Since(begin) <= catchUpTimeout, "the new member votes after %v", time.Since(begin))
}

func TestSecondProcessWithSameNameDoesNotVote(t *testing.T) {
	g := newCluster(t, nil, "a", "b", "c")
	g.commit()
	g.awaitVoters(3)
	disk := g.processes["b"].Disk()
	second := g.joinMember("second", func(config *conductor.Config) { config.Name = "b" }, "a", "c")
	g.eventually("the second process is in the group", func() bool { return len(second.Status().Members) == 4 })
	for until := time.Now().Add(catchUpTimeout); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		for _, member := range g.leader().Status().Members {
			assert.Assert(t, member.Disk != second.Disk() || member.Role == conductor.Learner, "the second process votes")
		}
	}
	g.awaitVoters(3)
	assert.Equal(t, g.processes["b"].Disk(), disk)
}
