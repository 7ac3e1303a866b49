package historian

import (
	"sync"
	"time"

	"burdocklink/cataloger"
	"burdocklink/router"
)

const (
	// archiveLimit is the number of streams that a control member keeps in each of two
	// generations.
	archiveLimit = 1 << 17
	// collectTime is how long a new leader waits for what the entries remember before it
	// takes a stream for unknown.
	collectTime = time.Second
)

// Answer states where a stream may continue. It is a Known, Unknown or Undecided.
type Answer interface{ answer() }

// Known means that the stream may continue at its origin.
type Known struct{ Stream router.Stream }

// Unknown means that the stream can't continue, since it may have begun at several
// versions.
type Unknown struct{}

// Undecided means that it may be known later.
type Undecided struct{}

func (Known) answer()     {}
func (Unknown) answer()   {}
func (Undecided) answer() {}

// Archive keeps the origins of streams at a control member. Only the leader's is complete.
// It is safe for concurrent use.
type Archive struct {
	mutex sync.Mutex
	table *Table
	// listed are the versions of the upstreams in the platform's list, by service; nil
	// until the list has been read in this term.
	listed map[string][]string
	// term is the term as leader, since is when it began.
	term  uint64
	since time.Time
}

// NewArchive returns an empty archive.
func NewArchive() *Archive { return &Archive{table: NewTable(archiveLimit)} }

// SetListed sets the versions in the platform's list, as read by the leader of a term.
func (a *Archive) SetListed(term uint64, listed map[string][]string, now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.enter(term, now)
	a.listed = listed
}

// Record adds streams that an entry began.
func (a *Archive) Record(streams map[string]router.Stream, now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for id, stream := range streams {
		a.table.Record(id, stream, now)
	}
}

// Find decides where a stream of one of the services may continue. The caller must be the
// leader of the term, and releases at least as new as what is committed.
func (a *Archive) Find(id string, services []string, term uint64, releases map[cataloger.ReleaseKey]cataloger.Release, now time.Time) Answer {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.enter(term, now)
	if stream, known := a.table.Find(id, now); known {
		return Known{Stream: stream}
	}
	if a.listed == nil {
		return Undecided{}
	}
	if len(services) == 1 {
		possible := Possible(releases, services[0], a.listed[services[0]], now)
		if len(possible) == 1 && possible[0] != "" {
			return Known{Stream: router.Stream{Service: services[0], Origin: router.Origin{Software: possible[0]}}}
		}
	}
	if now.Before(a.since.Add(collectTime)) {
		return Undecided{}
	}
	return Unknown{}
}

// enter begins a term. The list must be read again in it.
func (a *Archive) enter(term uint64, now time.Time) {
	if term != a.term {
		a.term, a.since, a.listed = term, now, nil
	}
}
