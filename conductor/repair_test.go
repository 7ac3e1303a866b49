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
	healthy := replicator.PeerStatus{CaughtUp: true, LastContact: now}
	lost := replicator.PeerStatus{CaughtUp: true, LastContact: now.Add(-time.Minute)}
	behind := replicator.PeerStatus{LastContact: now}
	table := map[string]struct {
		members    []replicator.Member
		peers      map[replicator.Identity]replicator.PeerStatus
		introduced []replicator.Member
		// quorumContact defaults to now.
		quorumContact time.Time
		want          replicator.Change
	}{
		"all members healthy": {
			members: []replicator.Member{voter("a", "1"), voter("b", "1"), voter("c", "1")},
			peers:   map[replicator.Identity]replicator.PeerStatus{id("b", "1"): healthy, id("c", "1"): healthy},
		},
		"lost voter without spare": {
			members: []replicator.Member{voter("a", "1"), voter("b", "1"), voter("c", "1")},
			peers:   map[replicator.Identity]replicator.PeerStatus{id("b", "1"): healthy, id("c", "1"): lost},
		},
		"wiped disk is introduced": {
			members:    []replicator.Member{voter("a", "1"), voter("b", "1"), voter("c", "1")},
			peers:      map[replicator.Identity]replicator.PeerStatus{id("b", "1"): healthy, id("c", "1"): lost},
			introduced: []replicator.Member{{ID: id("c", "2")}},
			want:       replicator.AddLearner{Member: replicator.Member{ID: id("c", "2")}},
		},
		"new disk is behind": {
			members: []replicator.Member{voter("a", "1"), voter("b", "1"), voter("c", "1"), learner("c", "2")},
			peers:   map[replicator.Identity]replicator.PeerStatus{id("b", "1"): healthy, id("c", "1"): lost, id("c", "2"): behind},
		},
		"old disk is removed after the new one caught up": {
			members: []replicator.Member{voter("a", "1"), voter("b", "1"), voter("c", "1"), learner("c", "2")},
			peers:   map[replicator.Identity]replicator.PeerStatus{id("b", "1"): healthy, id("c", "1"): lost, id("c", "2"): healthy},
			want:    replicator.Remove{ID: id("c", "1")},
		},
		"old disk still responds": {
			members: []replicator.Member{voter("a", "1"), voter("b", "1"), voter("c", "1"), learner("c", "2")},
			peers:   map[replicator.Identity]replicator.PeerStatus{id("b", "1"): healthy, id("c", "1"): healthy, id("c", "2"): healthy},
		},
		"new disk is promoted": {
			members: []replicator.Member{voter("a", "1"), voter("b", "1"), learner("c", "2")},
			peers:   map[replicator.Identity]replicator.PeerStatus{id("b", "1"): healthy, id("c", "2"): healthy},
			want:    replicator.Promote{ID: id("c", "2")},
		},
		"spare replaces a lost voter": {
			members: []replicator.Member{voter("a", "1"), voter("b", "1"), voter("c", "1"), learner("d", "1")},
			peers:   map[replicator.Identity]replicator.PeerStatus{id("b", "1"): lost, id("c", "1"): healthy, id("d", "1"): healthy},
			want:    replicator.Remove{ID: id("b", "1")},
		},
		"leader was stalled": {
			members:       []replicator.Member{voter("a", "1"), voter("b", "1"), voter("c", "1"), learner("d", "1")},
			peers:         map[replicator.Identity]replicator.PeerStatus{id("b", "1"): lost, id("c", "1"): lost, id("d", "1"): lost},
			quorumContact: now.Add(-time.Minute),
		},
		"spare is lost too": {
			members: []replicator.Member{voter("a", "1"), voter("b", "1"), voter("c", "1"), learner("d", "1")},
			peers:   map[replicator.Identity]replicator.PeerStatus{id("b", "1"): lost, id("c", "1"): healthy, id("d", "1"): lost},
		},
	}
	for name, c := range table {
		t.Run(name, func(t *testing.T) {
			if c.quorumContact.IsZero() {
				c.quorumContact = now
			}
			status := replicator.Status{
				Committed: 10, Elected: now.Add(-time.Hour),
				Configuration: replicator.Configuration{Members: c.members},
			}
			got := planRepair(repairView{
				Self:       id("a", "1"),
				Status:     coreView{Status: status, Peers: c.peers, LastQuorumContact: c.quorumContact},
				Introduced: c.introduced,
				Voters:     3,
				LostAfter:  DefaultLostAfter,
			})
			assert.DeepEqual(t, got, c.want)
		})
	}
}

func TestPeersToIntroduce(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	old := replicator.Identity{Name: "b", Disk: "1"}
	table := map[string]struct {
		lastContact         time.Time
		peer                Member
		unknownDisk, silent bool
	}{
		"responds":                                     {lastContact: now, peer: Member{Name: "b"}},
		"responds and has announced itself":            {lastContact: now, peer: Member{Name: "b", Disk: "1"}},
		"has announced a new disk":                     {lastContact: now, peer: Member{Name: "b", Disk: "2"}, unknownDisk: true},
		"is silent":                                    {lastContact: now.Add(-silentAfter), peer: Member{Name: "b"}, silent: true},
		"is silent after announcing itself":            {lastContact: now.Add(-silentAfter), peer: Member{Name: "b", Disk: "1"}},
		"is configured and not in the group":           {lastContact: now, peer: Member{Name: "c"}, silent: true},
		"has announced itself and is not in the group": {lastContact: now, peer: Member{Name: "c", Disk: "1"}, unknownDisk: true},
	}
	for name, c := range table {
		t.Run(name, func(t *testing.T) {
			status := replicator.Status{Configuration: replicator.Configuration{Members: []replicator.Member{{ID: old, Role: replicator.Voter}}}}
			peers := map[replicator.Identity]replicator.PeerStatus{old: {LastContact: c.lastContact}}
			view := repairView{Status: coreView{Status: status, Peers: peers, LastQuorumContact: now}}
			unknownDisks, silent := view.peersToIntroduce([]Member{c.peer})
			assert.Equal(t, len(unknownDisks) == 1, c.unknownDisk)
			assert.Equal(t, len(silent) == 1, c.silent)
		})
	}
}
