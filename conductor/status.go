package conductor

import (
	"slices"

	"go.uber.org/zap"

	"burdocklink/replicator"
	"burdocklink/timekeeper"
)

// Status describes the member as it sees itself.
func (c *Conductor) Status() Status {
	status := *c.status.Load()
	status.Leading = status.Leading && timekeeper.Now().Before(status.LeaseUntil)
	status.Members = slices.Clone(status.Members)
	select {
	case <-c.stopped:
		status.Leading = false
	default:
	}
	return status
}

// publish makes the core's status available to other goroutines.
func (c *Conductor) publish(core replicator.Status) {
	if core.Group != c.groupName() {
		c.group.Store(&core.Group)
	}
	if !slices.Equal(core.Configuration.Members, c.members) {
		c.members = core.Configuration.Members
		c.messenger.SetRoutes(c.members)
	}
	c.logLeader(core)
	status := &Status{
		Member:     c.self.Name,
		Leader:     core.Leader.Name,
		Leading:    core.Leading,
		LeaseUntil: core.LeaseUntil,
		Term:       core.Term,
		Committed:  core.Committed,
		Applied:    c.applied,
		Members:    make([]Member, 0, len(core.Configuration.Members)),
	}
	for _, member := range core.Configuration.Members {
		status.Members = append(status.Members, c.convertMember(member))
	}
	c.status.Store(status)
}

// logLeader logs a change of the leader or the term.
func (c *Conductor) logLeader(core replicator.Status) {
	previous := c.status.Load()
	if previous == nil || (previous.Leader == core.Leader.Name && previous.Term == core.Term) {
		return
	}
	c.config.Log.Info("leader", zap.String("leader", core.Leader.Name), zap.Uint64("term", core.Term),
		zap.Bool("own", core.Leading), zap.Uint64("committed", core.Committed))
}

func (c *Conductor) convertMember(member replicator.Member) Member {
	role := Learner
	if member.Role == replicator.Voter {
		role = Voter
	}
	address := member.Address
	if current := c.messenger.Address(member.ID); current != "" {
		address = current
	}
	return Member{Name: member.ID.Name, Disk: member.ID.Disk, Address: address, Role: role}
}

// handleSynced reports a sync to the core.
func (c *Conductor) handleSynced(result syncResult) {
	if result.err != nil {
		c.fail(result.err)
		return
	}
	c.step(replicator.Synced{Sequence: result.sequence})
}

// CheckLeader returns nil if the member knows a leader, otherwise *NoLeaderError.
func (c *Conductor) CheckLeader() error {
	if c.Status().Leader == "" {
		return &NoLeaderError{}
	}
	return nil
}

// NoLeaderError is returned if the member knows no leader.
type NoLeaderError struct{}

// Error describes the state.
func (e *NoLeaderError) Error() string { return "no leader is known" }
