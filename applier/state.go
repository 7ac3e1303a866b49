package applier

import (
	"time"

	"burdocklink/cataloger"
)

// State is the replicated state. It is not safe for concurrent use.
type State struct {
	catalog *cataloger.Catalog
}

// New returns the empty state.
func New() *State {
	return &State{catalog: cataloger.New()}
}

// Catalog returns the current catalog, which is immutable.
func (s *State) Catalog() *cataloger.Catalog { return s.catalog }

// Apply carries out a command at a log index. Stamp is the leader's time of
// the command and never steps back.
func (s *State) Apply(index uint64, stamp time.Time, command Command) Applied {
	return Applied{Result: Nothing{}}
}
