package conductor

import (
	"time"

	"burdocklink/applier"
	"burdocklink/replicator"
)

// callQueueLength is how many calls may wait for the loop before callers wait.
const callQueueLength = 1024

// call is one request to the loop. It is one of the types below.
type call interface{ call() }

type proposeCall struct {
	data   []byte
	answer chan proposeResult
}

type proposeResult struct {
	applied applier.Applied
	err     error
}

type confirmCall struct{ answer chan confirmResult }

type confirmResult struct {
	revision uint64
	err      error
}

type followCall struct{ answer chan *follower }

type cancelCall struct{ follower *follower }

type readCall struct {
	read   func(*applier.State)
	answer chan struct{}
}

// changeCall changes the group by one step.
type changeCall struct {
	change replicator.Change
	answer chan proposeResult
}

type transferCall struct {
	name   string
	answer chan error
}

// coreCall asks how the core sees the group.
type coreCall struct{ answer chan coreView }

// coreView is how the core sees the group.
type coreView struct {
	replicator.Status
	Peers map[replicator.Identity]replicator.PeerStatus
	// LastQuorumContact is when a quorum was last sent what it has answered.
	LastQuorumContact time.Time
}

// bootstrapCall begins a new group.
type bootstrapCall struct {
	members []replicator.Member
	answer  chan struct{}
}

func (*proposeCall) call()   {}
func (*confirmCall) call()   {}
func (*followCall) call()    {}
func (*cancelCall) call()    {}
func (*readCall) call()      {}
func (*changeCall) call()    {}
func (*transferCall) call()  {}
func (*coreCall) call()      {}
func (*bootstrapCall) call() {}
