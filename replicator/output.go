package replicator

// Output is what a driver must carry out after a Step. Messages may be sent
// at once, in any order and with loss. Writes must reach the disk in order.
type Output struct {
	Messages []Envelope
	// Write is nil where the disk needs nothing.
	Write *Write
	// Restore replaces the state before Apply is carried out.
	Restore *Snapshot
	// Apply holds committed entries in order, without gap or repeat.
	Apply []Entry
	// Proposed says where the event's proposals are in the log.
	Proposed *Proposed
	// Refusal says why a Propose, Reconfigure or Transfer was not taken in.
	Refusal error
	Reads   []ReadResult
	// Fault is set when the log contradicts itself or the group; the member
	// must stop.
	Fault error
}

// Write is what must be synced before Synced is answered with its Sequence.
type Write struct {
	Sequence uint64
	// HardState is nil where it did not change.
	HardState *HardState
	// Snapshot is nil where there is none to store. It replaces all entries
	// up to its index.
	Snapshot *Snapshot
	// Reset says that Snapshot replaces the entries after it as well.
	Reset bool
	// Entries replace all entries from the first one's index on.
	Entries []Entry
}

// Proposed is the place of proposals in the log. They are committed when the
// entries that Apply returns for those indexes have this term.
type Proposed struct {
	First uint64
	Term  uint64
}

// ReadResult answers a Read.
type ReadResult struct {
	ID uint64
	// Index is what must be applied first. It means nothing with Refused.
	Index   uint64
	Refused bool
}

// NotLeaderError says that another member leads.
type NotLeaderError struct{ Leader Identity }

// Error describes the refusal.
func (e *NotLeaderError) Error() string { return "member does not lead" }

// TransferInProgressError says that the leader is handing over.
type TransferInProgressError struct{ To Identity }

// Error describes the refusal.
func (e *TransferInProgressError) Error() string { return "leader is handing over to " + e.To.Name }

// NotReadyError says what must be committed before the group can change.
type NotReadyError struct{ Reason string }

// Error describes the refusal.
func (e *NotReadyError) Error() string { return "group can't change now: " + e.Reason }

// InvalidChangeError says why a change makes no sense for the group.
type InvalidChangeError struct{ Reason string }

// Error describes the refusal.
func (e *InvalidChangeError) Error() string { return "change of the group: " + e.Reason }

// CommittedConflictError says that a leader's log contradicts a committed
// entry of this member.
type CommittedConflictError struct{ Index uint64 }

// Error describes the conflict.
func (e *CommittedConflictError) Error() string { return "leader contradicts a committed entry" }
