package conductor

import (
	"time"

	"burdocklink/applier"
)

// loop owns the control state.
func (c *Conductor) loop() {
	defer c.end()
	for {
		select {
		case <-c.stop:
			return
		case asked := <-c.calls:
			c.serve(asked)
		}
	}
}

func (c *Conductor) end() {
	for f := range c.followers {
		c.dropFollower(f)
	}
	close(c.stopped)
}

func (c *Conductor) serve(asked call) {
	switch asked := asked.(type) {
	case *proposeCall:
		asked.answer <- proposed{applied: c.apply(asked.command)}
	case *confirmCall:
		asked.answer <- confirmed{revision: c.state.Catalog().Revision}
	case *followCall:
		asked.answer <- c.addFollower()
	case *cancelCall:
		c.dropFollower(asked.follower)
	case *readCall:
		asked.read(c.state)
		close(asked.answer)
	}
}

func (c *Conductor) apply(command applier.Command) applier.Applied {
	c.index++
	if now := time.Now().Round(0); now.After(c.stamp) {
		c.stamp = now
	}
	applied := c.state.Apply(c.index, c.stamp, command)
	c.tell(applied.Delta)
	c.publish()
	return applied
}

func (c *Conductor) publish() {
	self := Member{Name: c.config.Name, Address: c.config.Address, Role: Voter}
	c.status.Store(&Status{
		Member:     c.config.Name,
		Leader:     c.config.Name,
		Leading:    true,
		LeaseUntil: time.Now().Add(time.Hour),
		Term:       1,
		Committed:  c.index,
		Applied:    c.index,
		Members:    []Member{self},
	})
}
