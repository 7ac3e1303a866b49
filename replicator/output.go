package replicator

// Output is what a driver must carry out after a Step. Messages may be sent
// immediately, and may be reordered or lost. Writes must reach the disk in order.
type Output struct {
	Messages []Envelope
	// Write is nil if nothing must be written.
	Write *Write
	// Restore, if not nil, replaces the state before Apply is carried out.
	Restore *Snapshot
	// Apply contains committed entries in order, without gaps or duplicates.
	Apply []Entry
	// Proposed is the position of the event's proposals in the log.
	Proposed *Proposed
	// Refusal is why a Propose, Reconfigure or Transfer was not accepted.
	Refusal error
	Reads   []ReadResult
	// Fault is set when a leader's log conflicts with a committed entry. The
	// member must stop.
	Fault error
}

// Write is a change of the stored state. Once it is synced, the driver must pass
// Synced with its Sequence.
type Write struct {
	Sequence uint64
	// HardState is nil if it did not change.
	HardState *HardState
	// Snapshot is nil if there is none to store. It replaces all entries up to its
	// index.
	Snapshot *Snapshot
	// Reset is set if Snapshot replaces the entries after its index as well.
	Reset bool
	// Entries replace all stored entries from the index of the first one on.
	Entries []Entry
}

// Proposed is the position of proposals in the log. They are committed if the
// entries in Output.Apply at these indexes have this term.
type Proposed struct {
	First uint64
	Term  uint64
}

// ReadResult answers a Read.
type ReadResult struct {
	ID uint64
	// Index is the index that must be applied before the read. It is unset if
	// Refused.
	Index   uint64
	Refused bool
}

// NotLeaderError is returned if this member does not lead. Leader is zero if
// unknown.
type NotLeaderError struct{ Leader Identity }

// Error describes the refusal.
func (e *NotLeaderError) Error() string { return "member does not lead" }

// TransferInProgressError is returned while leadership is being transferred.
type TransferInProgressError struct{ To Identity }

// Error describes the refusal.
func (e *TransferInProgressError) Error() string { return "leader is handing over to " + e.To.Name }

// NotReadyError is returned if a change of the group is not possible yet.
type NotReadyError struct{ Reason string }

// Error describes the refusal.
func (e *NotReadyError) Error() string { return "group can't change now: " + e.Reason }

// InvalidChangeError is returned if a change does not fit the configuration.
type InvalidChangeError struct{ Reason string }

// Error describes the refusal.
func (e *InvalidChangeError) Error() string { return "change of the group: " + e.Reason }

// CommittedConflictError reports that a leader's log conflicts with a committed
// entry of this member.
type CommittedConflictError struct{ Index uint64 }

// Error describes the conflict.
func (e *CommittedConflictError) Error() string { return "leader contradicts a committed entry" }
