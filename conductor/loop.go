package conductor

import (
	"time"

	"go.uber.org/zap"

	"burdocklink/replicator"
)

// Limits of the calls and messages handled before their consequences are processed.
const (
	maxProposalBatch = 1024
	maxReceived      = 64
)

// loop handles all events. It owns the control state.
func (c *Conductor) loop() {
	defer c.shutDown()
	ticker := time.NewTicker(c.config.Timing.Heartbeat / 2)
	defer ticker.Stop()
	if c.core.Status().Group == "" && len(c.config.others()) == 0 && !c.config.JoinOnly {
		c.bootstrap([]replicator.Member{c.selfMember()})
	}
	c.step(replicator.Tick{})
	for c.failure == nil {
		select {
		case <-c.stop:
			return
		case <-ticker.C:
			c.step(replicator.Tick{})
		case result := <-c.synced:
			c.handleSynced(result)
		case result := <-c.encoded:
			c.handleEncoded(result)
		case envelope := <-c.inbox:
			c.receive(envelope)
		case request := <-c.calls:
			c.serveCalls(request)
		}
		c.finishStep()
	}
}

// receive handles a message and up to maxReceived further ones from the queue.
func (c *Conductor) receive(envelope replicator.Envelope) {
	c.step(replicator.Received{Envelope: envelope})
	for range maxReceived {
		select {
		case next := <-c.inbox:
			c.step(replicator.Received{Envelope: next})
		default:
			return
		}
	}
}

// shutDown releases all waiters and resources, and reports a failure.
func (c *Conductor) shutDown() {
	c.dropFollowers()
	c.close()
	close(c.stopped)
	if c.failure == nil {
		return
	}
	c.config.Log.Error("member stopped after a failure", zap.Error(c.failure))
	if c.config.Fatal != nil {
		c.config.Fatal(c.failure)
	}
}

// close closes the links and the folder.
func (c *Conductor) close() {
	if c.writer != nil {
		c.writer.end()
	}
	if c.recorder != nil {
		_ = c.recorder.Close()
	}
	c.messenger.Close()
}

// fail records the first failure, which ends the loop after the current event.
func (c *Conductor) fail(err error) {
	if c.failure == nil {
		c.failure = err
	}
}

// serveCalls handles a call and those queued behind it. It stops after a full batch
// of proposals.
func (c *Conductor) serveCalls(first call) {
	var batch []*proposeCall
	for next := first; next != nil; next = c.nextCall() {
		if proposal, ok := next.(*proposeCall); ok {
			batch = append(batch, proposal)
		} else {
			c.serveCall(next)
		}
		if len(batch) == maxProposalBatch {
			break
		}
	}
	if len(batch) > 0 {
		c.propose(batch)
	}
}

func (c *Conductor) nextCall() call {
	select {
	case next := <-c.calls:
		return next
	default:
		return nil
	}
}

func (c *Conductor) serveCall(request call) {
	switch request := request.(type) {
	case *confirmCall:
		c.lastReadID++
		c.pendingReads[c.lastReadID] = request
		c.step(replicator.Read{ID: c.lastReadID})
	case *followCall:
		request.answer <- c.addFollower()
	case *cancelCall:
		c.dropFollower(request.follower)
	case *readCall:
		request.read(c.state)
		close(request.answer)
	case *changeCall:
		c.change(request)
	case *transferCall:
		c.transfer(request)
	case *coreCall:
		request.answer <- coreView{Status: c.core.Status(), Peers: c.core.Peers(), LastQuorumContact: c.core.LastQuorumContact()}
	case *bootstrapCall:
		c.bootstrap(request.members)
		close(request.answer)
	}
}

// finishStep fails old proposals, takes snapshots and publishes the status after
// the core has handled events.
func (c *Conductor) finishStep() {
	status := c.core.Status()
	c.failOldProposals(status)
	c.takeSnapshot(status)
	c.publish(status)
	c.logLeaderAbsence(status)
}
