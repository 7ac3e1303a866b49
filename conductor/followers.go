package conductor

import "burdocklink/cataloger"

// followerQueueLength is the number of deltas that a follower may be behind.
const followerQueueLength = 256

// follower is a reader of the catalog's deltas.
type follower struct {
	catalog *cataloger.Catalog
	deltas  chan cataloger.Delta
	cancel  func()
}

func (c *Conductor) addFollower() *follower {
	f := &follower{
		catalog: c.state.Catalog(),
		deltas:  make(chan cataloger.Delta, followerQueueLength),
	}
	f.cancel = func() {
		select {
		case c.calls <- &cancelCall{follower: f}:
		case <-c.stopped:
		}
	}
	c.followers[f] = struct{}{}
	return f
}

// dropFollower closes the follower's channel. It does nothing for a follower that
// was dropped already.
func (c *Conductor) dropFollower(f *follower) {
	if _, known := c.followers[f]; !known {
		return
	}
	delete(c.followers, f)
	close(f.deltas)
}

func (c *Conductor) dropFollowers() {
	for f := range c.followers {
		c.dropFollower(f)
	}
}

// sendDelta sends a delta to all followers and drops those whose queue is full.
func (c *Conductor) sendDelta(delta cataloger.Delta) {
	if len(delta.Changes) == 0 {
		return
	}
	for f := range c.followers {
		select {
		case f.deltas <- delta:
		default:
			c.dropFollower(f)
		}
	}
}
