package conductor

import (
	"time"

	"burdocklink/applier"
	"burdocklink/replicator"
)

// callQueueLength is the number of calls queued for the loop before callers block.
const callQueueLength = 1024

// call is a request to the loop. It is implemented by the types below.
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

// changeCall requests a single change of the group.
type changeCall struct {
	change replicator.Change
	answer chan proposeResult
}

type transferCall struct {
	name   string
	answer chan error
}

// coreCall requests the core's view of the group.
type coreCall struct{ answer chan coreView }

// coreView is the core's view of the group.
type coreView struct {
	replicator.Status
	Peers map[replicator.Identity]replicator.PeerStatus
	// LastQuorumContact is when the latest messages that a quorum has replied to
	// were sent.
	LastQuorumContact time.Time
}

// bootstrapCall creates a new group.
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
