package conductor

import (
	"burdocklink/applier"
	"burdocklink/replicator"
	"burdocklink/timekeeper"
)

// snapshotLogBytes is the size of the applied entries at which a snapshot replaces
// them. The last snapshot's size is used instead if it is larger, so that snapshots
// never cost more than the log itself.
const snapshotLogBytes = 16 << 20

// pendingProposal is a proposal whose entry has not been applied.
type pendingProposal struct {
	term   uint64
	answer chan proposeResult
}

// waitingRead is a confirmed read whose index has not been applied.
type waitingRead struct {
	index  uint64
	answer chan confirmResult
}

// step passes an event to the core and handles its output.
func (c *Conductor) step(event replicator.Event) {
	if c.failure != nil {
		return
	}
	c.handleOutput(c.core.Step(event, timekeeper.Now()))
}

func (c *Conductor) handleOutput(out replicator.Output) {
	if out.Fault != nil {
		c.fail(out.Fault)
		return
	}
	if out.Write != nil && c.writer != nil {
		c.writer.enqueue(*out.Write)
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
		c.handleReadResult(read)
	}
	c.answerReads()
	if out.Write != nil && c.writer == nil {
		c.step(replicator.Synced{Sequence: out.Write.Sequence})
	}
}

// propose passes a batch of proposals to the core.
func (c *Conductor) propose(batch []*proposeCall) {
	data := make([][]byte, 0, len(batch))
	for _, request := range batch {
		data = append(data, request.data)
	}
	out := c.core.Step(replicator.Propose{Data: data}, timekeeper.Now())
	for i, request := range batch {
		if out.Refusal != nil {
			request.answer <- proposeResult{err: c.convertRefusal(out.Refusal)}
			continue
		}
		c.pendingProposals[out.Proposed.First+uint64(i)] = pendingProposal{
			term:   out.Proposed.Term,
			answer: request.answer,
		}
	}
	c.handleOutput(out)
}

// convertRefusal converts a refusal of the core to an error type of this package.
func (c *Conductor) convertRefusal(err error) error {
	switch err := err.(type) {
	case *replicator.NotLeaderError:
		return &NotLeaderError{Leader: c.messenger.Address(err.Leader)}
	case *replicator.TransferInProgressError:
		return &NotLeaderError{Leader: c.messenger.Address(err.To)}
	default:
		return err
	}
}

// apply applies a committed entry to the state and answers its proposer.
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
		c.bytesSinceSnapshot += len(opaque.Data)
		applied = c.state.Apply(entry.Index, entry.Stamp, command)
		c.sendDelta(applied.Delta)
	}
	proposal, known := c.pendingProposals[entry.Index]
	if !known {
		return
	}
	delete(c.pendingProposals, entry.Index)
	if proposal.term != entry.Term {
		proposal.answer <- proposeResult{err: &NotLeaderError{}}
		return
	}
	proposal.answer <- proposeResult{applied: applied}
}

// UnreadableEntryError reports that a committed entry or a snapshot can't be
// decoded, for example because a newer version wrote it. The member must stop,
// because it can't continue without it.
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

// restore replaces the state by that of a snapshot.
func (c *Conductor) restore(snapshot replicator.Snapshot) {
	state, err := c.decodeState(snapshot)
	if err != nil {
		c.fail(&UnreadableEntryError{Index: snapshot.Index, Cause: err})
		return
	}
	c.state = state
	c.applied = snapshot.Index
	c.bytesSinceSnapshot, c.lastSnapshotBytes = 0, len(snapshot.Data)
	c.dropFollowers()
}

func (c *Conductor) decodeState(snapshot replicator.Snapshot) (*applier.State, error) {
	if len(snapshot.Data) == 0 {
		return applier.New(), nil
	}
	return c.config.Codec.DecodeState(snapshot.Data)
}

// handleReadResult refuses a read, or queues it until its index has been applied.
func (c *Conductor) handleReadResult(read replicator.ReadResult) {
	request := c.pendingReads[read.ID]
	delete(c.pendingReads, read.ID)
	if read.Refused {
		leader := c.core.Status().Leader
		request.answer <- confirmResult{err: &NotLeaderError{Leader: c.messenger.Address(leader)}}
		return
	}
	c.waitingReads = append(c.waitingReads, waitingRead{index: read.Index, answer: request.answer})
}

func (c *Conductor) answerReads() {
	remaining := c.waitingReads[:0]
	for _, read := range c.waitingReads {
		if read.index > c.applied {
			remaining = append(remaining, read)
			continue
		}
		read.answer <- confirmResult{revision: c.state.Catalog().Revision}
	}
	c.waitingReads = remaining
}

// failOldProposals answers the proposals of leaderships that have ended with
// *UncertainError.
func (c *Conductor) failOldProposals(status replicator.Status) {
	term := uint64(0)
	if status.Leading {
		term = status.Term
	}
	if term == c.term {
		return
	}
	c.term = term
	for index, proposal := range c.pendingProposals {
		if proposal.term != term {
			delete(c.pendingProposals, index)
			proposal.answer <- proposeResult{err: &UncertainError{Cause: &NotLeaderError{}}}
		}
	}
}

// takeSnapshot starts to replace the log by a snapshot if the log is long. It only
// copies the state; the encoding is slow and runs in its own goroutine.
func (c *Conductor) takeSnapshot(status replicator.Status) {
	entries := c.applied - status.SnapshotIndex
	logFull := c.bytesSinceSnapshot >= max(snapshotLogBytes, c.lastSnapshotBytes)
	if c.encoding || entries == 0 || (entries < c.config.SnapshotEntries && !logFull) {
		return
	}
	c.encoding = true
	c.bytesSinceSnapshot = 0
	go c.runEncode(c.applied, c.state.Snapshot())
}

// encodedState is an encoded state or the error of encoding it.
type encodedState struct {
	index uint64
	data  []byte
	err   error
}

// runEncode encodes a state and passes the result to the loop. It does not block if
// the loop has ended, because the channel is buffered.
func (c *Conductor) runEncode(index uint64, snapshot applier.Snapshot) {
	data, err := c.config.Codec.EncodeState(snapshot)
	c.encoded <- encodedState{index: index, data: data, err: err}
}

// handleEncoded completes takeSnapshot. The core ignores a state that is older than
// its current snapshot.
func (c *Conductor) handleEncoded(encoded encodedState) {
	c.encoding = false
	if encoded.err != nil {
		c.fail(encoded.err)
		return
	}
	c.lastSnapshotBytes = len(encoded.data)
	c.step(replicator.Compact{Index: encoded.index, Data: encoded.data})
}
