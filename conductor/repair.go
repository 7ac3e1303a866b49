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
	// changeTime is how long one change of a repair may take.
	changeTime = 5 * time.Second
)

// repairView is what a repair is decided on.
type repairView struct {
	Self   replicator.Identity
	Status coreView
	// Since is when this member began to lead.
	Since time.Time
	Now   time.Time
	// Introduced are the identities that peers have just given, and their
	// addresses.
	Introduced []replicator.Member
	Voters     int
	LostAfter  time.Duration
}

// planRepair returns the next change that the group needs, or nil. A disk that
// its name has been seen without is replaced at once, a silent voter after a
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
	for _, member := range configuration.Members {
		if member.ID != view.Self && member.ID.Name == spare.Name && member.ID != spare {
			return replicator.Remove{ID: member.ID}
		}
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
		if !found || v.replaces(member.ID) {
			best, found = member.ID, true
		}
	}
	return best, found
}

func (v repairView) ready(id replicator.Identity) bool {
	return v.Status.Peers[id].CaughtUp && v.silent(id) < silentAfter
}

func (v repairView) replaces(id replicator.Identity) bool {
	for _, member := range v.Status.Configuration.Members {
		if member.ID.Name == id.Name && member.ID != id {
			return true
		}
	}
	return false
}

// silent is how long a member has not answered this leader.
func (v repairView) silent(id replicator.Identity) time.Duration {
	if id == v.Self {
		return 0
	}
	heard := v.Status.Peers[id].Heard
	if heard.Before(v.Since) {
		heard = v.Since
	}
	return v.Now.Sub(heard)
}

// runRepair looks after the group while this member leads.
func (c *Conductor) runRepair() {
	var since time.Time
	for {
		select {
		case <-c.stopped:
			return
		case <-time.After(repairInterval):
		}
		if !c.Status().Leading {
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since = timekeeper.Now()
		}
		c.repair(since)
	}
}

// repair makes one change where one is needed.
func (c *Conductor) repair(since time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), changeTime)
	defer cancel()
	status, err := c.coreStatus(ctx)
	if err != nil || !status.Leading || !status.ConfigurationCommitted {
		return
	}
	view := repairView{
		Self:      c.self,
		Status:    status,
		Since:     since,
		Now:       timekeeper.Now(),
		Voters:    c.wantedVoters(),
		LostAfter: c.config.LostAfter,
	}
	view.Introduced = c.introduce(ctx, view)
	change := planRepair(view)
	if change == nil {
		return
	}
	err = c.changeGroup(ctx, change)
	c.config.Log.Info("repair of the group", zap.Any("change", change), zap.Error(err))
}

// introduce asks the peers that are missing or silent who they are.
func (c *Conductor) introduce(ctx context.Context, view repairView) []replicator.Member {
	var introduced []replicator.Member
	for _, peer := range c.acquaintances.list(c.config.Name, view.Now) {
		if c.present(peer.Name, view) {
			continue
		}
		known, err := c.messenger.Introduce(ctx, peer.Address)
		if err != nil || known.ID.Name != peer.Name {
			continue
		}
		if known.Group != "" && known.Group != view.Status.Group {
			c.config.Log.Error("peer belongs to another group", zap.String("member", peer.Name))
			continue
		}
		introduced = append(introduced, replicator.Member{ID: known.ID, Address: peer.Address})
	}
	return introduced
}

// present says whether a member of the name answers.
func (c *Conductor) present(name string, view repairView) bool {
	for _, member := range view.Status.Configuration.Members {
		if member.ID.Name == name && view.silent(member.ID) < silentAfter {
			return true
		}
	}
	return false
}
