package replicator

// Event is something that happened to a member. It is one of the types below.
type Event interface{ event() }

// Tick says that time has passed. It is due at least twice a heartbeat.
type Tick struct{}

// Received is a message from another member.
type Received struct{ Envelope Envelope }

// Synced says that all writes up to a sequence number are on the disk.
type Synced struct{ Sequence uint64 }

// Propose asks for opaque entries to be committed, in order.
type Propose struct{ Data [][]byte }

// Read asks for an index such that a state that has applied it contains
// everything committed before the event.
type Read struct{ ID uint64 }

// Reconfigure asks for one change of the group's members.
type Reconfigure struct{ Change Change }

// Transfer asks the leader to hand over to a voter, or to the one that is
// furthest where Target is zero.
type Transfer struct{ Target Identity }

// Compact says that Data holds the state after the entry at Index, which must
// have been returned in Output.Apply, so that entries up to it can go.
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
