package conductor

import (
	"time"

	"go.uber.org/zap"

	"burdocklink/replicator"
)

// bounds of what is taken in before what follows from it is done.
const (
	maxBatch    = 1024
	maxReceived = 64
)

// loop owns the control state.
func (c *Conductor) loop() {
	defer c.end()
	ticker := time.NewTicker(c.config.Timing.Heartbeat / 2)
	defer ticker.Stop()
	if c.core.Status().Group == "" && len(c.config.others()) == 0 && !c.config.Joins {
		c.found([]replicator.Member{c.selfMember()})
	}
	c.step(replicator.Tick{})
	for c.failure == nil {
		select {
		case <-c.stop:
			return
		case <-ticker.C:
			c.step(replicator.Tick{})
		case done := <-c.synced:
			c.takeSynced(done)
		case done := <-c.encoded:
			c.takeEncoded(done)
		case envelope := <-c.inbox:
			c.receive(envelope)
		case asked := <-c.calls:
			c.serve(asked)
		}
		c.settle()
	}
}

// receive takes a message, with some of those that wait behind it.
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

// end lets everybody go that waits for the member.
func (c *Conductor) end() {
	c.dropFollowers()
	c.close()
	close(c.stopped)
	if c.failure == nil {
		return
	}
	c.config.Log.Error("member has failed", zap.Error(c.failure))
	if c.config.Fatal != nil {
		c.config.Fatal(c.failure)
	}
}

// close ends the links and lets go of the folder.
func (c *Conductor) close() {
	if c.writer != nil {
		c.writer.end()
	}
	if c.recorder != nil {
		_ = c.recorder.Close()
	}
	c.messenger.Close()
}

// fail ends the loop after the current event.
func (c *Conductor) fail(err error) {
	if c.failure == nil {
		c.failure = err
	}
}

// serve takes a call, with all those that wait behind it.
func (c *Conductor) serve(first call) {
	var batch []*proposeCall
	for next := first; next != nil; next = c.nextCall() {
		if asked, ok := next.(*proposeCall); ok {
			batch = append(batch, asked)
		} else {
			c.serveOne(next)
		}
		if len(batch) == maxBatch {
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

func (c *Conductor) serveOne(asked call) {
	switch asked := asked.(type) {
	case *confirmCall:
		c.lastRead++
		c.reads[c.lastRead] = asked
		c.step(replicator.Read{ID: c.lastRead})
	case *followCall:
		asked.answer <- c.addFollower()
	case *cancelCall:
		c.dropFollower(asked.follower)
	case *readCall:
		asked.read(c.state)
		close(asked.answer)
	case *changeCall:
		c.change(asked)
	case *transferCall:
		c.transfer(asked)
	case *coreCall:
		asked.answer <- coreView{Status: c.core.Status(), Peers: c.core.Peers(), Reached: c.core.LastQuorumContact()}
	case *foundCall:
		c.found(asked.members)
		close(asked.answer)
	}
}

// settle does what follows from a step.
func (c *Conductor) settle() {
	status := c.core.Status()
	c.forgetOldTerms(status)
	c.takeSnapshot(status)
	c.publish(status)
	c.logLeaderless(status)
}
