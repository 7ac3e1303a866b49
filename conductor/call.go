package conductor

import (
	"burdocklink/applier"
	"burdocklink/cataloger"
)

// callQueue is how many calls may wait for the loop before callers wait.
const callQueue = 1024

// call is one request to the loop. It is one of the types below.
type call interface{ call() }

type proposeCall struct {
	command applier.Command
	data    []byte
	answer  chan proposed
}

type proposed struct {
	applied applier.Applied
	err     error
}

type confirmCall struct{ answer chan confirmed }

type confirmed struct {
	revision uint64
	err      error
}

type followCall struct{ answer chan *follower }

type cancelCall struct{ follower *follower }

type readCall struct {
	read   func(*applier.State)
	answer chan struct{}
}

func (*proposeCall) call() {}
func (*confirmCall) call() {}
func (*followCall) call()  {}
func (*cancelCall) call()  {}
func (*readCall) call()    {}

// followerQueue is how many deltas a reader may be behind.
const followerQueue = 256

// follower is one reader of the catalog's deltas.
type follower struct {
	catalog *cataloger.Catalog
	deltas  chan cataloger.Delta
	cancel  func()
}

func (c *Conductor) addFollower() *follower {
	f := &follower{
		catalog: c.state.Catalog(),
		deltas:  make(chan cataloger.Delta, followerQueue),
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

// dropFollower closes the reader's channel, once.
func (c *Conductor) dropFollower(f *follower) {
	if _, known := c.followers[f]; !known {
		return
	}
	delete(c.followers, f)
	close(f.deltas)
}

// tell sends a delta to all readers and drops those that are full.
func (c *Conductor) tell(delta cataloger.Delta) {
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
