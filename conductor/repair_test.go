package conductor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/replicator"
)

func TestPlanRepair(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	id := func(name, disk string) replicator.Identity {
		return replicator.Identity{Name: name, Disk: disk}
	}
	voter := func(name, disk string) replicator.Member {
		return replicator.Member{ID: id(name, disk), Role: replicator.Voter}
	}
	learner := func(name, disk string) replicator.Member {
		return replicator.Member{ID: id(name, disk), Role: replicator.Learner}
	}
	well := replicator.PeerStatus{CaughtUp: true, LastContact: now}
	lost := replicator.PeerStatus{CaughtUp: true, LastContact: now.Add(-time.Minute)}
	behind := replicator.PeerStatus{LastContact: now}
	table := map[string]struct {
		members    []replicator.Member
		peers      map[replicator.Identity]replicator.PeerStatus
		introduced []replicator.Member
		// reached is now where it is zero.
		reached time.Time
		want    replicator.Change
	}{
		"whole": {
			members: []replicator.Member{voter("a", "1"), voter("b", "1"), voter("c", "1")},
			peers:   map[replicator.Identity]replicator.PeerStatus{id("b", "1"): well, id("c", "1"): well},
		},
		"lost without spare": {
			members: []replicator.Member{voter("a", "1"), voter("b", "1"), voter("c", "1")},
			peers:   map[replicator.Identity]replicator.PeerStatus{id("b", "1"): well, id("c", "1"): lost},
		},
		"wiped disk is introduced": {
			members:    []replicator.Member{voter("a", "1"), voter("b", "1"), voter("c", "1")},
			peers:      map[replicator.Identity]replicator.PeerStatus{id("b", "1"): well, id("c", "1"): lost},
			introduced: []replicator.Member{{ID: id("c", "2")}},
			want:       replicator.AddLearner{Member: replicator.Member{ID: id("c", "2")}},
		},
		"new disk is behind": {
			members: []replicator.Member{voter("a", "1"), voter("b", "1"), voter("c", "1"), learner("c", "2")},
			peers:   map[replicator.Identity]replicator.PeerStatus{id("b", "1"): well, id("c", "1"): lost, id("c", "2"): behind},
		},
		"old disk goes once the new one has all": {
			members: []replicator.Member{voter("a", "1"), voter("b", "1"), voter("c", "1"), learner("c", "2")},
			peers:   map[replicator.Identity]replicator.PeerStatus{id("b", "1"): well, id("c", "1"): lost, id("c", "2"): well},
			want:    replicator.Remove{ID: id("c", "1")},
		},
		"old disk answers still": {
			members: []replicator.Member{voter("a", "1"), voter("b", "1"), voter("c", "1"), learner("c", "2")},
			peers:   map[replicator.Identity]replicator.PeerStatus{id("b", "1"): well, id("c", "1"): well, id("c", "2"): well},
		},
		"new disk votes then": {
			members: []replicator.Member{voter("a", "1"), voter("b", "1"), learner("c", "2")},
			peers:   map[replicator.Identity]replicator.PeerStatus{id("b", "1"): well, id("c", "2"): well},
			want:    replicator.Promote{ID: id("c", "2")},
		},
		"spare for a lost voter": {
			members: []replicator.Member{voter("a", "1"), voter("b", "1"), voter("c", "1"), learner("d", "1")},
			peers:   map[replicator.Identity]replicator.PeerStatus{id("b", "1"): lost, id("c", "1"): well, id("d", "1"): well},
			want:    replicator.Remove{ID: id("b", "1")},
		},
		"leader was stalled": {
			members: []replicator.Member{voter("a", "1"), voter("b", "1"), voter("c", "1"), learner("d", "1")},
			peers:   map[replicator.Identity]replicator.PeerStatus{id("b", "1"): lost, id("c", "1"): lost, id("d", "1"): lost},
			reached: now.Add(-time.Minute),
		},
		"spare that is lost too": {
			members: []replicator.Member{voter("a", "1"), voter("b", "1"), voter("c", "1"), learner("d", "1")},
			peers:   map[replicator.Identity]replicator.PeerStatus{id("b", "1"): lost, id("c", "1"): well, id("d", "1"): lost},
		},
	}
	for name, one := range table {
		t.Run(name, func(t *testing.T) {
			if one.reached.IsZero() {
				one.reached = now
			}
			status := replicator.Status{
				Committed: 10, Elected: now.Add(-time.Hour),
				Configuration: replicator.Configuration{Members: one.members},
			}
			got := planRepair(repairView{
				Self:       id("a", "1"),
				Status:     coreView{Status: status, Peers: one.peers, Reached: one.reached},
				Introduced: one.introduced,
				Voters:     3,
				LostAfter:  StandardLostAfter,
			})
			assert.DeepEqual(t, got, one.want)
		})
	}
}

func TestPeersAreAskedWhoTheyAre(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	old := replicator.Identity{Name: "b", Disk: "1"}
	table := map[string]struct {
		heard           time.Time
		peer            Member
		stranger, quiet bool
	}{
		"answers":                           {heard: now, peer: Member{Name: "b"}},
		"answers and has announced itself":  {heard: now, peer: Member{Name: "b", Disk: "1"}},
		"has announced a new disk":          {heard: now, peer: Member{Name: "b", Disk: "2"}, stranger: true},
		"is silent":                         {heard: now.Add(-silentAfter), peer: Member{Name: "b"}, quiet: true},
		"is silent after its announcement":  {heard: now.Add(-silentAfter), peer: Member{Name: "b", Disk: "1"}},
		"is of the settings and not heard":  {heard: now, peer: Member{Name: "c"}, quiet: true},
		"is not of the group and announced": {heard: now, peer: Member{Name: "c", Disk: "1"}, stranger: true},
	}
	for name, one := range table {
		t.Run(name, func(t *testing.T) {
			status := replicator.Status{Configuration: replicator.Configuration{Members: []replicator.Member{{ID: old, Role: replicator.Voter}}}}
			peers := map[replicator.Identity]replicator.PeerStatus{old: {LastContact: one.heard}}
			view := repairView{Status: coreView{Status: status, Peers: peers, Reached: now}}
			strangers, silent := view.unsettled([]Member{one.peer})
			assert.Equal(t, len(strangers) == 1, one.stranger)
			assert.Equal(t, len(silent) == 1, one.quiet)
		})
	}
}
