package applier

import (
	"slices"
	"time"

	"burdocklink/cataloger"
	"burdocklink/claimer"
	"burdocklink/orderer"
)

// Snapshot is the complete content of a State.
type Snapshot struct {
	Index   uint64
	Stamp   time.Time
	Catalog *cataloger.Catalog
	// Claims are sorted by key. ClaimSerial is the number of answers stored so
	// far.
	Claims      []claimer.Record
	ClaimSerial uint64
	Orders      orderer.Snapshot
	// OperatorRevision is the revision of the last operator's change.
	OperatorRevision uint64
	// Journal and Departures are ordered from oldest to newest.
	Journal    []JournalEntry
	Departures []Departure
	// LastWatch is the position of the last Watch applied.
	LastWatch WatchPosition
}

// Snapshot returns the content of the state. Answers and changes are shared with
// the state and must not be modified.
func (s *State) Snapshot() Snapshot {
	return Snapshot{
		Index:            s.index,
		Stamp:            s.stamp,
		Catalog:          s.catalog,
		Claims:           s.claims.Records(),
		ClaimSerial:      s.claims.Serial(),
		Orders:           s.orders.Snapshot(),
		OperatorRevision: s.journal.revision,
		Journal:          slices.Clone(s.journal.entries),
		Departures:       s.departures.list(),
		LastWatch:        s.lastWatch,
	}
}

// Restore returns a state with the content of the snapshot.
func Restore(snapshot Snapshot) *State {
	s := New()
	s.index, s.stamp = snapshot.Index, snapshot.Stamp
	s.catalog = snapshot.Catalog
	s.claims = claimer.Restore(snapshot.Claims, snapshot.ClaimSerial)
	s.orders = orderer.Restore(snapshot.Orders)
	for _, entry := range snapshot.Journal {
		s.journal.add(entry)
	}
	s.journal.revision = snapshot.OperatorRevision
	s.lastWatch = snapshot.LastWatch
	for _, departure := range snapshot.Departures {
		s.departures.add(departure)
	}
	return s
}
