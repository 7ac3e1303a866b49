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
	well := replicator.PeerStatus{CaughtUp: true, Heard: now}
	lost := replicator.PeerStatus{CaughtUp: true, Heard: now.Add(-time.Minute)}
	behind := replicator.PeerStatus{Heard: now}
	table := map[string]struct {
		members    []replicator.Member
		peers      map[replicator.Identity]replicator.PeerStatus
		introduced []replicator.Member
		want       replicator.Change
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
		"spare that is lost too": {
			members: []replicator.Member{voter("a", "1"), voter("b", "1"), voter("c", "1"), learner("d", "1")},
			peers:   map[replicator.Identity]replicator.PeerStatus{id("b", "1"): lost, id("c", "1"): well, id("d", "1"): lost},
		},
	}
	for name, one := range table {
		t.Run(name, func(t *testing.T) {
			status := replicator.Status{Committed: 10, Configuration: replicator.Configuration{Members: one.members}}
			got := planRepair(repairView{
				Self:       id("a", "1"),
				Status:     coreView{Status: status, Peers: one.peers},
				Since:      now.Add(-time.Hour),
				Now:        now,
				Introduced: one.introduced,
				Voters:     3,
				LostAfter:  StandardLostAfter,
			})
			assert.DeepEqual(t, got, one.want)
		})
	}
}
