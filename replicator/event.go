package replicator

// Event is an input to Core.Step. It is implemented by the types below.
type Event interface{ event() }

// Tick reports the passing of time. It is due at least twice per heartbeat
// interval.
type Tick struct{}

// Received delivers a message from another member.
type Received struct{ Envelope Envelope }

// Synced reports that all writes up to a sequence number are synced.
type Synced struct{ Sequence uint64 }

// Propose requests that opaque entries be committed in the given order.
type Propose struct{ Data [][]byte }

// Read requests a read index: a state that has applied it contains everything
// that was committed before the event.
type Read struct{ ID uint64 }

// Reconfigure requests a change of the group's members.
type Reconfigure struct{ Change Change }

// Transfer asks the leader to transfer leadership to a voter. If Target is zero,
// the voter with the longest replicated log is chosen.
type Transfer struct{ Target Identity }

// Compact replaces the entries up to Index by a snapshot. Data is the state after
// applying the entry at Index, which must have been returned in Output.Apply.
type Compact struct {
	Index uint64
	Data  []byte
}

func (Tick) event()        {}
func (Received) event()    {}
func (Synced) event()      {}
func (Propose) event()     {}
func (Read) event()        {}
func (Reconfigure) event() {}
func (Transfer) event()    {}
func (Compact) event()     {}
