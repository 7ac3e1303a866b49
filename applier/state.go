package applier

import (
	"time"

	"burdocklink/cataloger"
	"burdocklink/claimer"
	"burdocklink/orderer"
)

// State is the replicated state machine. It is not safe for concurrent use.
type State struct {
	index      uint64
	stamp      time.Time
	catalog    *cataloger.Catalog
	claims     *claimer.Table
	orders     *orderer.Ledger
	journal    *journal
	departures *departures
	lastWatch  WatchPosition
}

// WatchPosition orders Watch commands by term, then by sequence.
type WatchPosition struct{ Term, Sequence uint64 }

// New returns the empty state.
func New() *State {
	return &State{
		catalog:    cataloger.New(),
		claims:     claimer.New(),
		orders:     orderer.New(),
		journal:    newJournal(),
		departures: newDepartures(),
	}
}

// Index returns the log index of the last command applied.
func (s *State) Index() uint64 { return s.index }

// Stamp returns the leader's time of the last command applied.
func (s *State) Stamp() time.Time { return s.stamp }

// Catalog returns the current catalog, which is immutable.
func (s *State) Catalog() *cataloger.Catalog { return s.catalog }

// Claims returns the claim table, which must not be modified.
func (s *State) Claims() *claimer.Table { return s.claims }

// Orders returns the order ledger, which must not be modified.
func (s *State) Orders() *orderer.Ledger { return s.orders }

// AcceptedChanges returns the accepted changes in the journal, oldest first.
func (s *State) AcceptedChanges() []AcceptedChange { return s.journal.accepted() }

// OperatorRevision returns the revision of the last operator's change. A change
// with an earlier base revision conflicts.
func (s *State) OperatorRevision() uint64 { return s.journal.revision }

// Apply applies the command at the log index. Stamp is the leader's time of the
// command; if it is earlier than the last stamp, the last one is used.
func (s *State) Apply(index uint64, stamp time.Time, command Command) Applied {
	s.index = index
	if stamp.After(s.stamp) {
		s.stamp = stamp.UTC().Round(0)
	}
	switch command := command.(type) {
	case Claim:
		return Applied{Result: ClaimResult{Result: s.claims.Apply(s.stamp, command.Event)}, Delta: s.commit(nil)}
	case Order:
		result, changes := s.orders.Apply(index, s.stamp, s.catalog, command.Event)
		return Applied{Result: OrderResult{Result: result}, Delta: s.commit(changes)}
	case Change:
		return s.applyChange(command)
	case Watch:
		return s.applyWatch(command)
	case Configure:
		return s.applyConfiguration(command.Configuration)
	default:
		return Applied{Result: Nothing{}, Delta: s.commit(nil)}
	}
}

// commit applies the changes to the catalog at the next revision. Without
// changes the revision stays the same.
func (s *State) commit(changes []cataloger.Change) cataloger.Delta {
	from := s.catalog.Revision
	if len(changes) == 0 {
		return cataloger.Delta{From: from, To: from}
	}
	delta := cataloger.Delta{From: from, To: from + 1, Changes: changes}
	next, err := s.catalog.With(delta)
	if err != nil {
		return cataloger.Delta{From: from, To: from}
	}
	s.catalog = next
	return delta
}
