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
	// changeTimeout is how long one change of a repair may take.
	changeTimeout = 5 * time.Second
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
	learner, found := view.spareLearner()
	if !found {
		return nil
	}
	if predecessor, replaced := view.silentPredecessor(learner); replaced {
		return replicator.Remove{ID: predecessor}
	}
	if configuration.Voters() < view.Voters {
		return replicator.Promote{ID: learner}
	}
	for _, member := range configuration.Members {
		if member.Role == replicator.Voter && view.silence(member.ID) >= view.LostAfter {
			return replicator.Remove{ID: member.ID}
		}
	}
	return nil
}

// spareLearner is a learner that could vote now. One that replaces a disk of its own
// name comes first.
func (v repairView) spareLearner() (replicator.Identity, bool) {
	var best replicator.Identity
	found := false
	for _, member := range v.Status.Configuration.Members {
		if member.Role != replicator.Learner || !v.ready(member.ID) {
			continue
		}
		if _, replaces := v.silentPredecessor(member.ID); !found || replaces {
			best, found = member.ID, true
		}
	}
	return best, found
}

func (v repairView) ready(id replicator.Identity) bool {
	return v.Status.Peers[id].CaughtUp && v.silence(id) < silentAfter
}

// silentPredecessor returns a silent disk of a member's name.
func (v repairView) silentPredecessor(id replicator.Identity) (replicator.Identity, bool) {
	for _, member := range v.Status.Configuration.Members {
		if member.ID.Name == id.Name && member.ID != id && v.silence(member.ID) >= replaceAfter {
			return member.ID, true
		}
	}
	return replicator.Identity{}, false
}

// silence is how long a member has not answered this leader while a quorum has.
// What a leader misses while it is stalled itself is no silence of others.
func (v repairView) silence(id replicator.Identity) time.Duration {
	if id == v.Self {
		return 0
	}
	lastContact := v.Status.Peers[id].LastContact
	if lastContact.Before(v.Status.Elected) {
		lastContact = v.Status.Elected
	}
	return v.Status.LastQuorumContact.Sub(lastContact)
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
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	status, err := c.coreStatus(ctx)
	if err != nil || !status.Leading || !status.ConfigurationCommitted {
		return false
	}
	view := repairView{
		Self:      c.self,
		Status:    status,
		Voters:    c.targetVoters(),
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
	unknownDisks, silent := view.peersToIntroduce(c.knownPeers.list(c.config.Name, timekeeper.Now()))
	for _, peers := range [][]Member{unknownDisks, silent} {
		if change != nil {
			break
		}
		view.Introduced = c.introduce(ctx, peers, view.Status.Group)
		change = planRepair(view)
	}
	return change
}

// peersToIntroduce returns the peers that have announced a disk which the group does
// not know, and those that have announced nothing and are not heard.
func (v repairView) peersToIntroduce(peers []Member) (unknownDisks, silent []Member) {
	for _, peer := range peers {
		_, known := v.Status.Configuration.Find(replicator.Identity{Name: peer.Name, Disk: peer.Disk})
		switch {
		case peer.Disk != "" && !known:
			unknownDisks = append(unknownDisks, peer)
		case peer.Disk == "" && !v.responds(peer.Name):
			silent = append(silent, peer)
		}
	}
	return unknownDisks, silent
}

// introduce asks peers who they are.
func (c *Conductor) introduce(ctx context.Context, peers []Member, group string) []replicator.Member {
	var introduced []replicator.Member
	for _, peer := range peers {
		answer, err := c.messenger.Introduce(ctx, peer.Address)
		if err != nil || answer.ID.Name != peer.Name {
			continue
		}
		if answer.Group != "" && answer.Group != group {
			c.config.Log.Error("peer belongs to another group", zap.String("member", peer.Name))
			continue
		}
		introduced = append(introduced, replicator.Member{ID: answer.ID, Address: peer.Address})
	}
	return introduced
}

// responds says whether a member of the name answers.
func (v repairView) responds(name string) bool {
	for _, member := range v.Status.Configuration.Members {
		if member.ID.Name == name && v.silence(member.ID) < silentAfter {
			return true
		}
	}
	return false
}
