package conductor

import (
	"context"
	"errors"
	"time"

	"burdocklink/replicator"
	"burdocklink/timekeeper"
)

// retryInterval is how often a change that is not possible yet is tried again.
const retryInterval = 50 * time.Millisecond

// UnknownMemberError says that no member has the name and disk.
type UnknownMemberError struct{ Name string }

// Error describes the miss.
func (e *UnknownMemberError) Error() string { return "no such member: " + e.Name }

// WrongMemberError says that another member answers at an address.
type WrongMemberError struct{ Want, Got string }

// Error describes the mix-up.
func (e *WrongMemberError) Error() string {
	return "at the address of " + e.Want + " answers " + e.Got
}

// AddMember adds a learner and, unless the member's role is Learner, promotes
// it to a voter once it has caught up. Members of the same name with other
// disks are removed before that. An empty Disk is asked for at the address.
func (c *Conductor) AddMember(ctx context.Context, member Member) error {
	if err := c.identify(ctx, &member); err != nil {
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
	return c.admit(ctx, id)
}

// identify asks a member for its disk.
func (c *Conductor) identify(ctx context.Context, member *Member) error {
	if member.Disk != "" {
		return nil
	}
	known, err := c.messenger.Introduce(ctx, member.Address)
	if err != nil {
		return err
	}
	if known.ID.Name != member.Name {
		return &WrongMemberError{Want: member.Name, Got: known.ID.Name}
	}
	member.Disk = known.ID.Disk
	return nil
}

// admit makes a learner a voter in place of older disks of its name.
func (c *Conductor) admit(ctx context.Context, id replicator.Identity) error {
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

// awaitCaughtUp waits until a member may be promoted.
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
		if err := pause(ctx, retryInterval); err != nil {
			return status, err
		}
	}
}

// RemoveMember removes the member with the name, and the disk where one is
// given. A leader that is to go hands over and answers *NotLeaderError: its
// successor removes it. A peer of the settings that still answers is taken in
// again as a learner, which votes only where voters are missing.
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
		if err := c.removeOne(ctx, member.ID); err != nil {
			return err
		}
	}
	if !found {
		return &UnknownMemberError{Name: name}
	}
	return nil
}

func (c *Conductor) removeOne(ctx context.Context, id replicator.Identity) error {
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

// Transfer hands the lead to the voter with the name, or to the one that is
// furthest where the name is empty, and waits until this member has given it
// up.
func (c *Conductor) Transfer(ctx context.Context, name string) error {
	asked := &transferCall{name: name, answer: make(chan error, 1)}
	if err := c.ask(ctx, asked); err != nil {
		return err
	}
	select {
	case err := <-asked.answer:
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
		if err := pause(ctx, retryInterval); err != nil {
			return err
		}
	}
}

// changeGroup makes one change and waits for it to be committed. It tries
// again while another change is under way.
func (c *Conductor) changeGroup(ctx context.Context, change replicator.Change) error {
	for {
		asked := &changeCall{change: change, answer: make(chan proposed, 1)}
		if err := c.ask(ctx, asked); err != nil {
			return err
		}
		_, err := c.await(ctx, asked.answer)
		var early *replicator.NotReadyError
		if !errors.As(err, &early) {
			return err
		}
		if err := pause(ctx, retryInterval); err != nil {
			return err
		}
	}
}

// change passes a change to the core.
func (c *Conductor) change(asked *changeCall) {
	out := c.core.Step(replicator.Reconfigure{Change: asked.change}, timekeeper.Now())
	if out.Refusal != nil {
		asked.answer <- proposed{err: c.refusal(out.Refusal)}
	} else {
		c.pending[out.Proposed.First] = pendingProposal{term: out.Proposed.Term, answer: asked.answer}
	}
	c.carryOut(out)
}

func (c *Conductor) transfer(asked *transferCall) {
	var target replicator.Identity
	for _, member := range c.core.Status().Configuration.Members {
		if member.ID.Name == asked.name && member.Role == replicator.Voter {
			target = member.ID
		}
	}
	if asked.name != "" && target == (replicator.Identity{}) {
		asked.answer <- &UnknownMemberError{Name: asked.name}
		return
	}
	out := c.core.Step(replicator.Transfer{Target: target}, timekeeper.Now())
	if out.Refusal != nil {
		asked.answer <- c.refusal(out.Refusal)
	} else {
		asked.answer <- nil
	}
	c.carryOut(out)
}

// coreStatus asks the loop how the core sees the group.
func (c *Conductor) coreStatus(ctx context.Context) (coreView, error) {
	asked := &coreCall{answer: make(chan coreView, 1)}
	if err := c.ask(ctx, asked); err != nil {
		return coreView{}, err
	}
	select {
	case status := <-asked.answer:
		return status, nil
	case <-ctx.Done():
		return coreView{}, ctx.Err()
	case <-c.stopped:
		return coreView{}, &StoppedError{}
	}
}

// pause waits, or returns why not.
func pause(ctx context.Context, wait time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(wait):
		return nil
	}
}
