package conductor_test

import (
	"path/filepath"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/conductor"
)

// newFoundingCluster starts members with empty disks that know the seeds only.
func newFoundingCluster(t *testing.T, seeds []string, names ...string) *cluster {
	t.Helper()
	g := newStoppedCluster(t, func(config *conductor.Config) {
		config.Voters, config.LostAfter, config.Founders = 3, time.Second, seeds
		config.Peers = slices.DeleteFunc(slices.Clone(config.Peers), func(m conductor.Member) bool { return !slices.Contains(seeds, m.Name) })
	}, names...)
	for _, p := range g.processes {
		g.start(p)
	}
	return g
}

// A member that is not a seed must not form a second group, also if its name comes first.
func TestStartFormsOneGroup(t *testing.T) {
	cases := map[string][]string{
		"all seeds":              {"a", "b", "c", "d", "e"},
		"first by name no seed":  {"b", "c", "d"},
		"last by name no seed":   {"a", "b", "c"},
		"some between not seeds": {"a", "c", "e"},
	}
	for name, seeds := range cases {
		t.Run(name, func(t *testing.T) {
			for range 5 {
				g := newFoundingCluster(t, seeds, "a", "b", "c", "d", "e")
				g.commit()
				g.eventually("all are in a group", func() bool { return len(g.groups()[""]) == 0 })
				assert.Equal(t, len(g.groups()), 1, "%v", g.groups())
				g.stop()
			}
		})
	}
}

// groups returns the names of the running members by group.
func (g *cluster) groups() map[string][]string {
	groups := map[string][]string{}
	for name, p := range g.processes {
		if !p.down {
			group := p.GroupName()
			groups[group] = append(groups[group], name)
		}
	}
	return groups
}

// The first start must end also if members are killed during it and come back with settings
// that no longer say that it is the first one.
func TestStartEndsThoughMembersAreRestarted(t *testing.T) {
	cases := map[string]struct {
		restarted []string
		diskLost  bool
	}{
		"first by name":                {restarted: []string{"a"}},
		"another one":                  {restarted: []string{"b"}},
		"two":                          {restarted: []string{"a", "c"}},
		"all":                          {restarted: []string{"a", "b", "c"}},
		"first by name, disk lost too": {restarted: []string{"a"}, diskLost: true},
	}
	for name, c := range cases {
		for _, delay := range []time.Duration{0, 30 * time.Millisecond, 250 * time.Millisecond} {
			t.Run(name+" after "+delay.String(), func(t *testing.T) {
				g := newFoundingCluster(t, []string{"a", "b", "c"}, "a", "b", "c")
				time.Sleep(delay)
				for _, restarted := range c.restarted {
					g.kill(g.processes[restarted])
				}
				for _, restarted := range c.restarted {
					p := g.processes[restarted]
					p.config.JoinOnly = true
					if c.diskLost {
						p.config.Folder = filepath.Join(t.TempDir(), "lost")
					}
					g.start(p)
				}
				g.eventually("one group with a leader", func() bool {
					return g.leader() != nil && len(g.groups()) == 1 && len(g.groups()[""]) == 0
				})
				g.commit()
			})
		}
	}
}
