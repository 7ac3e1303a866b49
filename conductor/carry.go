package conductor

import (
	"burdocklink/applier"
	"burdocklink/replicator"
	"burdocklink/timekeeper"
)

// snapshotBytes is how many bytes of applied entries the log keeps before a
// snapshot replaces them; it is more where the last snapshot was larger, so
// that snapshots never cost more than the log itself.
const snapshotBytes = 16 << 20

// pendingProposal waits for its entry to be applied.
type pendingProposal struct {
	term   uint64
	answer chan proposed
}

// waitingRead waits for an index to be applied.
type waitingRead struct {
	index  uint64
	answer chan confirmed
}

// step passes an event to the core and carries out what follows.
func (c *Conductor) step(event replicator.Event) {
	if c.failure != nil {
		return
	}
	c.carryOut(c.core.Step(event, timekeeper.Now()))
}

func (c *Conductor) carryOut(out replicator.Output) {
	if out.Fault != nil {
		c.fail(out.Fault)
		return
	}
	if out.Write != nil && c.writer != nil {
		c.writer.put(*out.Write)
	}
	for _, envelope := range out.Messages {
		c.messenger.Send(envelope)
	}
	if out.Restore != nil {
		c.restore(*out.Restore)
	}
	for _, entry := range out.Apply {
		c.apply(entry)
	}
	for _, read := range out.Reads {
		c.takeRead(read)
	}
	c.answerWaiting()
	if out.Write != nil && c.writer == nil {
		c.step(replicator.Synced{Sequence: out.Write.Sequence})
	}
}

// propose puts proposals into the log.
func (c *Conductor) propose(batch []*proposeCall) {
	data := make([][]byte, 0, len(batch))
	for _, asked := range batch {
		data = append(data, asked.data)
	}
	out := c.core.Step(replicator.Propose{Data: data}, timekeeper.Now())
	for at, asked := range batch {
		if out.Refusal != nil {
			asked.answer <- proposed{err: c.refusal(out.Refusal)}
			continue
		}
		c.pending[out.Proposed.First+uint64(at)] = pendingProposal{
			term:   out.Proposed.Term,
			answer: asked.answer,
		}
	}
	c.carryOut(out)
}

// refusal gives the core's refusal in this package's types.
func (c *Conductor) refusal(err error) error {
	switch err := err.(type) {
	case *replicator.NotLeaderError:
		return &NotLeaderError{Leader: c.messenger.Address(err.Leader)}
	case *replicator.TransferInProgressError:
		return &NotLeaderError{Leader: c.messenger.Address(err.To)}
	default:
		return err
	}
}

// apply carries out one committed entry.
func (c *Conductor) apply(entry replicator.Entry) {
	if c.failure != nil {
		return
	}
	c.applied = entry.Index
	c.commits.Inc(1)
	var applied applier.Applied
	if opaque, ok := entry.Payload.(replicator.Opaque); ok {
		command, err := c.config.Codec.DecodeCommand(opaque.Data)
		if err != nil {
			c.fail(&UnreadableEntryError{Index: entry.Index, Cause: err})
			return
		}
		c.unsaved += len(opaque.Data)
		applied = c.state.Apply(entry.Index, entry.Stamp, command)
		c.tell(applied.Delta)
	}
	asked, known := c.pending[entry.Index]
	if !known {
		return
	}
	delete(c.pending, entry.Index)
	if asked.term != entry.Term {
		asked.answer <- proposed{err: &NotLeaderError{}}
		return
	}
	asked.answer <- proposed{applied: applied}
}

// UnreadableEntryError says that a committed command can't be read, as when a
// newer version wrote it. The member must not go on without it.
type UnreadableEntryError struct {
	Index uint64
	Cause error
}

// Error describes the failure.
func (e *UnreadableEntryError) Error() string {
	return "committed command can't be read: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnreadableEntryError) Unwrap() error { return e.Cause }

// restore replaces the state by a snapshot's.
func (c *Conductor) restore(snapshot replicator.Snapshot) {
	state, err := c.stateOf(snapshot)
	if err != nil {
		c.fail(&UnreadableEntryError{Index: snapshot.Index, Cause: err})
		return
	}
	c.state = state
	c.applied = snapshot.Index
	c.unsaved, c.saved = 0, len(snapshot.Data)
	c.dropFollowers()
}

func (c *Conductor) stateOf(snapshot replicator.Snapshot) (*applier.State, error) {
	if len(snapshot.Data) == 0 {
		return applier.New(), nil
	}
	return c.config.Codec.DecodeState(snapshot.Data)
}

// takeRead answers a read, or lets it wait for the state to catch up.
func (c *Conductor) takeRead(read replicator.ReadResult) {
	asked := c.reads[read.ID]
	delete(c.reads, read.ID)
	if read.Refused {
		leader := c.core.Status().Leader
		asked.answer <- confirmed{err: &NotLeaderError{Leader: c.messenger.Address(leader)}}
		return
	}
	c.waiting = append(c.waiting, waitingRead{index: read.Index, answer: asked.answer})
}

func (c *Conductor) answerWaiting() {
	left := c.waiting[:0]
	for _, one := range c.waiting {
		if one.index > c.applied {
			left = append(left, one)
			continue
		}
		one.answer <- confirmed{revision: c.state.Catalog().Revision}
	}
	c.waiting = left
}

// forgetOldTerms tells proposers of a lead that has ended.
func (c *Conductor) forgetOldTerms(status replicator.Status) {
	term := uint64(0)
	if status.Leading {
		term = status.Term
	}
	if term == c.term {
		return
	}
	c.term = term
	for index, asked := range c.pending {
		if asked.term != term {
			delete(c.pending, index)
			asked.answer <- proposed{err: &UncertainError{Cause: &NotLeaderError{}}}
		}
	}
}

// takeSnapshot begins to replace a long log by the state. Only the copy of the
// state is made here; its encoding takes long and has a goroutine of its own.
func (c *Conductor) takeSnapshot(status replicator.Status) {
	kept := c.applied - status.SnapshotIndex
	full := c.unsaved >= max(snapshotBytes, c.saved)
	if c.encoding || kept == 0 || (kept < c.config.SnapshotEntries && !full) {
		return
	}
	c.encoding = true
	c.unsaved = 0
	go c.runEncode(c.applied, c.state.Snapshot())
}

// encodedState is a state as bytes, or why there are none.
type encodedState struct {
	index uint64
	data  []byte
	err   error
}

// runEncode hands the bytes of a state to the loop, which may have ended.
func (c *Conductor) runEncode(index uint64, snapshot applier.Snapshot) {
	data, err := c.config.Codec.EncodeState(snapshot)
	c.encoded <- encodedState{index: index, data: data, err: err}
}

// takeEncoded ends what takeSnapshot began. The core passes over a state that
// is older than its snapshot by then.
func (c *Conductor) takeEncoded(done encodedState) {
	c.encoding = false
	if done.err != nil {
		c.fail(done.err)
		return
	}
	c.saved = len(done.data)
	c.step(replicator.Compact{Index: done.index, Data: done.data})
}
