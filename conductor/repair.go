package conductor

import (
	"context"
	"time"

	"go.uber.org/zap"

	"burdocklink/replicator"
	"burdocklink/timekeeper"
)

const (
	// repairInterval is how often a leader looks after the group.
	repairInterval = 250 * time.Millisecond
	// silentAfter is when a member is asked at its address who it is.
	silentAfter = 3 * time.Second
	// replaceAfter is how long a disk must be silent before another one takes its
	// place. Of two processes that were given one name, both answer.
	replaceAfter = time.Second
	// changeTime is how long one change of a repair may take.
	changeTime = 5 * time.Second
)

// repairView is what a repair is decided on.
type repairView struct {
	Self   replicator.Identity
	Status coreView
	// Introduced are the identities that peers have just given, and their
	// addresses.
	Introduced []replicator.Member
	Voters     int
	LostAfter  time.Duration
}

// planRepair returns the next change that the group needs, or nil. A disk that
// its name has been seen without is replaced soon, another silent voter after a
// while, and only by a learner that has caught up.
func planRepair(view repairView) replicator.Change {
	configuration := view.Status.Configuration
	for _, member := range view.Introduced {
		if _, known := configuration.Find(member.ID); !known {
			return replicator.AddLearner{Member: member}
		}
	}
	spare, found := view.spare()
	if !found {
		return nil
	}
	if old, replaced := view.replacedBy(spare); replaced {
		return replicator.Remove{ID: old}
	}
	if configuration.Voters() < view.Voters {
		return replicator.Promote{ID: spare}
	}
	for _, member := range configuration.Members {
		if member.Role == replicator.Voter && view.silent(member.ID) >= view.LostAfter {
			return replicator.Remove{ID: member.ID}
		}
	}
	return nil
}

// spare is a learner that could vote now. One that replaces a disk of its own
// name comes first.
func (v repairView) spare() (replicator.Identity, bool) {
	var best replicator.Identity
	found := false
	for _, member := range v.Status.Configuration.Members {
		if member.Role != replicator.Learner || !v.ready(member.ID) {
			continue
		}
		if _, replaces := v.replacedBy(member.ID); !found || replaces {
			best, found = member.ID, true
		}
	}
	return best, found
}

func (v repairView) ready(id replicator.Identity) bool {
	return v.Status.Peers[id].CaughtUp && v.silent(id) < silentAfter
}

// replacedBy returns a silent disk of a member's name.
func (v repairView) replacedBy(id replicator.Identity) (replicator.Identity, bool) {
	for _, member := range v.Status.Configuration.Members {
		if member.ID.Name == id.Name && member.ID != id && v.silent(member.ID) >= replaceAfter {
			return member.ID, true
		}
	}
	return replicator.Identity{}, false
}

// silent is how long a member has not answered this leader while a quorum has.
// What a leader misses while it is stalled itself is no silence of others.
func (v repairView) silent(id replicator.Identity) time.Duration {
	if id == v.Self {
		return 0
	}
	heard := v.Status.Peers[id].LastContact
	if heard.Before(v.Status.Elected) {
		heard = v.Status.Elected
	}
	return v.Status.Reached.Sub(heard)
}

// runRepair looks after the group while this member leads. A leader needs no
// lease for that: a change is made once a quorum has it.
func (c *Conductor) runRepair() {
	for {
		select {
		case <-c.stopped:
			return
		case <-time.After(repairInterval):
		}
		for c.status.Load().Leading && c.repair() {
			continue
		}
	}
}

// repair makes one change where one is needed, and says whether it did.
func (c *Conductor) repair() bool {
	ctx, cancel := context.WithTimeout(context.Background(), changeTime)
	defer cancel()
	status, err := c.coreStatus(ctx)
	if err != nil || !status.Leading || !status.ConfigurationCommitted {
		return false
	}
	view := repairView{
		Self:      c.self,
		Status:    status,
		Voters:    c.wantedVoters(),
		LostAfter: c.config.LostAfter,
	}
	change := c.planChange(ctx, view)
	if change == nil {
		return false
	}
	err = c.changeGroup(ctx, change)
	c.config.Log.Info("repair of the group", zap.Any("change", change), zap.Error(err))
	return err == nil
}

// planChange asks others only where what is known asks for no change, since
// those that are lost answer late.
func (c *Conductor) planChange(ctx context.Context, view repairView) replicator.Change {
	change := planRepair(view)
	strangers, silent := view.unsettled(c.acquaintances.list(c.config.Name, timekeeper.Now()))
	for _, peers := range [][]Member{strangers, silent} {
		if change != nil {
			break
		}
		view.Introduced = c.introduce(ctx, peers, view.Status.Group)
		change = planRepair(view)
	}
	return change
}

// unsettled returns the peers that have announced a disk which the group does
// not know, and those that have announced nothing and are not heard.
func (v repairView) unsettled(peers []Member) (strangers, silent []Member) {
	for _, peer := range peers {
		_, known := v.Status.Configuration.Find(replicator.Identity{Name: peer.Name, Disk: peer.Disk})
		switch {
		case peer.Disk != "" && !known:
			strangers = append(strangers, peer)
		case peer.Disk == "" && !v.present(peer.Name):
			silent = append(silent, peer)
		}
	}
	return strangers, silent
}

// introduce asks peers who they are.
func (c *Conductor) introduce(ctx context.Context, peers []Member, group string) []replicator.Member {
	var introduced []replicator.Member
	for _, peer := range peers {
		known, err := c.messenger.Introduce(ctx, peer.Address)
		if err != nil || known.ID.Name != peer.Name {
			continue
		}
		if known.Group != "" && known.Group != group {
			c.config.Log.Error("peer belongs to another group", zap.String("member", peer.Name))
			continue
		}
		introduced = append(introduced, replicator.Member{ID: known.ID, Address: peer.Address})
	}
	return introduced
}

// present says whether a member of the name answers.
func (v repairView) present(name string) bool {
	for _, member := range v.Status.Configuration.Members {
		if member.ID.Name == name && v.silent(member.ID) < silentAfter {
			return true
		}
	}
	return false
}
