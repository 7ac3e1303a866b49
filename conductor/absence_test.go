package conductor_test

import (
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"burdocklink/conductor"
	"burdocklink/replicator"
)

func TestTheLogTellsWhyThereIsNoLeader(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	g := newCluster(t, func(c *conductor.Config) { c.Log = zap.New(core) }, "a", "b", "c")
	g.commit()
	left := g.leader()
	for _, p := range g.processes {
		if p != left {
			g.kill(p)
		}
	}
	g.eventually("a line that names the lost voters", func() bool {
		for _, line := range lines.FilterMessage("no leader").All() {
			missing, _ := line.ContextMap()["votes-missing"].([]replicator.Identity)
			if len(missing) == 2 {
				return true
			}
		}
		return false
	})
}

func TestTheLogTellsWhoWaitsToBeTakenIn(t *testing.T) {
	g := newCluster(t, small, "a", "b", "c")
	g.commit()
	core, lines := observer.New(zap.InfoLevel)
	p := g.join("d", func(c *conductor.Config) { c.Log = zap.New(core) })
	g.eventually("a line of the wait", func() bool {
		return lines.FilterMessage("waits to be taken into the group").Len() > 0
	})
	p.Meet([]conductor.Member{{Name: "b", Address: g.processes["b"].config.Address}})
	g.eventually("a line of its end", func() bool {
		return lines.FilterMessage("taken into the group").Len() == 1
	})
}
