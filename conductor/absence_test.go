package conductor_test

import (
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"burdocklink/conductor"
	"burdocklink/replicator"
)

func TestMissingVotesAreLoggedWithoutLeader(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	g := newCluster(t, func(c *conductor.Config) { c.Log = zap.New(core) }, "a", "b", "c")
	g.commit()
	remaining := g.leader()
	for _, p := range g.processes {
		if p != remaining {
			g.kill(p)
		}
	}
	g.eventually("a log message with the lost voters", func() bool {
		for _, entry := range logs.FilterMessage("no leader").All() {
			missing, _ := entry.ContextMap()["votes-missing"].([]replicator.Identity)
			if len(missing) == 2 {
				return true
			}
		}
		return false
	})
}

func TestWaitForMembershipIsLogged(t *testing.T) {
	g := newCluster(t, withThreeVoters, "a", "b", "c")
	g.commit()
	core, logs := observer.New(zap.InfoLevel)
	p := g.joinMember("d", func(c *conductor.Config) { c.Log = zap.New(core) })
	g.eventually("a log message about the wait", func() bool {
		return logs.FilterMessage("waiting to be added to the group").Len() > 0
	})
	p.AddPeers([]conductor.Member{{Name: "b", Address: g.processes["b"].config.Address}})
	g.eventually("a log message about the end of the wait", func() bool {
		return logs.FilterMessage("added to the group").Len() == 1
	})
}
