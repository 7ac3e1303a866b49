package conductor

import (
	"context"
	"errors"
	"time"

	"burdocklink/replicator"
	"burdocklink/timekeeper"
)

// retryInterval is how often a change that is not possible yet is retried, and how
// often the progress of a change is checked.
const retryInterval = 50 * time.Millisecond

// UnknownMemberError is returned if no member matches a name and disk.
type UnknownMemberError struct{ Name string }

// Error describes the failure.
func (e *UnknownMemberError) Error() string { return "no such member: " + e.Name }

// WrongMemberError is returned if another member responds at an address.
type WrongMemberError struct{ Want, Got string }

// Error describes the failure.
func (e *WrongMemberError) Error() string {
	return "at the address of " + e.Want + " answers " + e.Got
}

// AddMember adds a learner and, unless the member's role is Learner, promotes it to a
// voter once it has caught up. Members of the same name with other disks are removed
// before the promotion. An empty Disk is requested from the member at its address.
func (c *Conductor) AddMember(ctx context.Context, member Member) error {
	if err := c.resolveDisk(ctx, &member); err != nil {
		return err
	}
	id := replicator.Identity{Name: member.Name, Disk: member.Disk}
	status, err := c.coreStatus(ctx)
	if err != nil {
		return err
	}
	if _, known := status.Configuration.Find(id); !known {
		learner := replicator.Member{ID: id, Address: member.Address}
		if err := c.changeGroup(ctx, replicator.AddLearner{Member: learner}); err != nil {
			return err
		}
	}
	if member.Role == Learner {
		return nil
	}
	return c.promote(ctx, id)
}

// resolveDisk sets an empty Disk by asking the member at its address.
func (c *Conductor) resolveDisk(ctx context.Context, member *Member) error {
	if member.Disk != "" {
		return nil
	}
	introduced, err := c.messenger.Introduce(ctx, member.Address)
	if err != nil {
		return err
	}
	if introduced.ID.Name != member.Name {
		return &WrongMemberError{Want: member.Name, Got: introduced.ID.Name}
	}
	member.Disk = introduced.ID.Disk
	return nil
}

// promote turns a learner into a voter once it has caught up, after removing the
// other disks of its name.
func (c *Conductor) promote(ctx context.Context, id replicator.Identity) error {
	status, err := c.awaitCaughtUp(ctx, id)
	if err != nil {
		return err
	}
	for _, member := range status.Configuration.Members {
		if member.ID.Name != id.Name || member.ID == id {
			continue
		}
		if err := c.changeGroup(ctx, replicator.Remove{ID: member.ID}); err != nil {
			return err
		}
	}
	if status.Configuration.IsVoter(id) {
		return nil
	}
	return c.changeGroup(ctx, replicator.Promote{ID: id})
}

// awaitCaughtUp waits until a member has caught up and may be promoted.
func (c *Conductor) awaitCaughtUp(ctx context.Context, id replicator.Identity) (coreView, error) {
	for {
		status, err := c.coreStatus(ctx)
		if err != nil {
			return status, err
		}
		if !status.Leading {
			return status, &NotLeaderError{Leader: c.messenger.Address(status.Leader)}
		}
		if id == c.self || status.Peers[id].CaughtUp {
			return status, nil
		}
		if err := sleep(ctx, retryInterval); err != nil {
			return status, err
		}
	}
}

// RemoveMember removes the members with the name, or only the one with the disk if
// it is not empty. If this member is the leader and is to be removed, it transfers
// leadership and returns *NotLeaderError, so that the caller retries at its
// successor. A configured peer that still responds is added again as a learner, and
// is promoted only if voters are missing.
func (c *Conductor) RemoveMember(ctx context.Context, name, disk string) error {
	status, err := c.coreStatus(ctx)
	if err != nil {
		return err
	}
	found := false
	for _, member := range status.Configuration.Members {
		if member.ID.Name != name || (disk != "" && member.ID.Disk != disk) {
			continue
		}
		found = true
		if err := c.remove(ctx, member.ID); err != nil {
			return err
		}
	}
	if !found {
		return &UnknownMemberError{Name: name}
	}
	return nil
}

func (c *Conductor) remove(ctx context.Context, id replicator.Identity) error {
	if id != c.self {
		return c.changeGroup(ctx, replicator.Remove{ID: id})
	}
	if err := c.Transfer(ctx, ""); err != nil {
		return err
	}
	status, err := c.coreStatus(ctx)
	if err != nil {
		return err
	}
	return &NotLeaderError{Leader: c.messenger.Address(status.Leader)}
}

// Transfer transfers leadership to the voter with the name, or to the one with the
// longest log if the name is empty. It waits until this member knows another leader.
func (c *Conductor) Transfer(ctx context.Context, name string) error {
	request := &transferCall{name: name, answer: make(chan error, 1)}
	if err := c.enqueue(ctx, request); err != nil {
		return err
	}
	select {
	case err := <-request.answer:
		if err != nil {
			return err
		}
	case <-ctx.Done():
		return ctx.Err()
	case <-c.stopped:
		return &StoppedError{}
	}
	for {
		status, err := c.coreStatus(ctx)
		if err != nil {
			return err
		}
		if !status.Leading && status.Leader != (replicator.Identity{}) {
			return nil
		}
		if err := sleep(ctx, retryInterval); err != nil {
			return err
		}
	}
}

// changeGroup makes a change and waits for it to be committed. It retries while the
// change is not possible yet, as during another one.
func (c *Conductor) changeGroup(ctx context.Context, change replicator.Change) error {
	for {
		request := &changeCall{change: change, answer: make(chan proposeResult, 1)}
		if err := c.enqueue(ctx, request); err != nil {
			return err
		}
		_, err := c.awaitResult(ctx, request.answer)
		var notReady *replicator.NotReadyError
		if !errors.As(err, &notReady) {
			return err
		}
		if err := sleep(ctx, retryInterval); err != nil {
			return err
		}
	}
}

// change passes a change of the group to the core.
func (c *Conductor) change(request *changeCall) {
	out := c.core.Step(replicator.Reconfigure{Change: request.change}, timekeeper.Now())
	if out.Refusal != nil {
		request.answer <- proposeResult{err: c.convertRefusal(out.Refusal)}
	} else {
		c.pendingProposals[out.Proposed.First] = pendingProposal{term: out.Proposed.Term, answer: request.answer}
	}
	c.handleOutput(out)
}

func (c *Conductor) transfer(request *transferCall) {
	var target replicator.Identity
	for _, member := range c.core.Status().Configuration.Members {
		if member.ID.Name == request.name && member.Role == replicator.Voter {
			target = member.ID
		}
	}
	if request.name != "" && target == (replicator.Identity{}) {
		request.answer <- &UnknownMemberError{Name: request.name}
		return
	}
	out := c.core.Step(replicator.Transfer{Target: target}, timekeeper.Now())
	if out.Refusal != nil {
		request.answer <- c.convertRefusal(out.Refusal)
	} else {
		request.answer <- nil
	}
	c.handleOutput(out)
}

// coreStatus returns the core's view of the group.
func (c *Conductor) coreStatus(ctx context.Context) (coreView, error) {
	request := &coreCall{answer: make(chan coreView, 1)}
	if err := c.enqueue(ctx, request); err != nil {
		return coreView{}, err
	}
	select {
	case status := <-request.answer:
		return status, nil
	case <-ctx.Done():
		return coreView{}, ctx.Err()
	case <-c.stopped:
		return coreView{}, &StoppedError{}
	}
}

// sleep waits for a duration or until the context ends, and then returns the
// context's error.
func sleep(ctx context.Context, wait time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(wait):
		return nil
	}
}
