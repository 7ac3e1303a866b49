package conductor

import (
	"context"
	"time"

	"go.uber.org/zap"

	"burdocklink/replicator"
	"burdocklink/timekeeper"
)

const (
	// repairInterval is how often a leader checks the group.
	repairInterval = 250 * time.Millisecond
	// silentAfter is how long a member must be silent before it is asked for its
	// identity at its address.
	silentAfter = 3 * time.Second
	// replaceAfter is how long a disk must be silent before another disk of the same
	// name replaces it. It prevents a second process that was given the same name
	// from replacing a running one.
	replaceAfter = time.Second
	// changeTimeout is the maximum duration of a change made by a repair.
	changeTimeout = 5 * time.Second
)

// repairView is the input for planning a repair.
type repairView struct {
	Self   replicator.Identity
	Status coreView
	// Introduced are the peers that have just responded with their identities.
	Introduced []replicator.Member
	Voters     int
	LostAfter  time.Duration
}

// planRepair returns the next change that the group needs, or nil. A silent disk is
// replaced by another disk of the same name after replaceAfter. Any other silent
// voter is replaced after LostAfter. Both require a learner that has caught up.
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

// spareLearner returns a learner that can be promoted now. It prefers a learner that
// replaces a silent disk of its own name.
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

// silentPredecessor returns another disk of a member's name that has been silent for
// replaceAfter.
func (v repairView) silentPredecessor(id replicator.Identity) (replicator.Identity, bool) {
	for _, member := range v.Status.Configuration.Members {
		if member.ID.Name == id.Name && member.ID != id && v.silence(member.ID) >= replaceAfter {
			return member.ID, true
		}
	}
	return replicator.Identity{}, false
}

// silence returns how long a member has not replied to this leader while a quorum
// has. Time during which the leader itself was stalled does not count.
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

// runRepair repairs the group while this member leads. The leader needs no lease for
// this, because a change takes effect only once a quorum has it.
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

// repair makes the next change that is needed, and reports whether it made one.
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
	c.config.Log.Info("group repair", zap.Any("change", change), zap.Error(err))
	return err == nil
}

// planChange plans a repair. It contacts peers only if no change is needed without
// their replies, because lost peers cause a delay.
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

// peersToIntroduce returns the peers that have announced a disk that is not in the
// group, and those that have announced nothing and are silent.
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

// introduce asks peers for their identities. It returns those that respond with
// their own name and belong to no other group.
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

// responds reports whether a member of the name has replied within silentAfter.
func (v repairView) responds(name string) bool {
	for _, member := range v.Status.Configuration.Members {
		if member.ID.Name == name && v.silence(member.ID) < silentAfter {
			return true
		}
	}
	return false
}
