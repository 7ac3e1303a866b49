package surveyor

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Changes are what changed in the platform's list after a serial number.
type Changes struct {
	// Whole is true where upstreams that are not named are not listed.
	Whole     bool
	Upstreams []Upstream
	// Serial is the number of the newest change, ReadAt when the list was last
	// read; zero where it was not, or long ago.
	Serial uint64
	ReadAt time.Time
}

// Journal numbers the changes of the platform's list, so that one process reads
// it for many. It is safe for concurrent use.
type Journal struct {
	mutex   sync.Mutex
	serial  uint64
	readAt  time.Time
	entries map[string]journalEntry
	// removed is the serial number of the last change that took an upstream off
	// the list.
	removed uint64
	// changed is closed at the next change.
	changed chan struct{}
}

type journalEntry struct {
	upstream Upstream
	serial   uint64
}

// NewJournal returns a journal of a list that was not read yet.
func NewJournal() *Journal {
	return &Journal{entries: map[string]journalEntry{}, changed: make(chan struct{})}
}

// Put takes in a reading of the list. What upstreams hold is no news: the
// control group knows it better.
func (j *Journal) Put(listed map[string]Upstream, at time.Time) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	before := j.serial
	j.readAt = at
	for name, upstream := range listed {
		last, known := j.entries[name]
		if known && sameEntry(last.upstream, upstream) {
			continue
		}
		j.serial++
		j.entries[name] = journalEntry{upstream: upstream, serial: j.serial}
	}
	for name := range j.entries {
		if _, still := listed[name]; !still {
			delete(j.entries, name)
			j.serial++
			j.removed = j.serial
		}
	}
	if j.serial != before {
		close(j.changed)
		j.changed = make(chan struct{})
	}
}

// sameEntry compares what decides whether and where an upstream is sent work.
func sameEntry(a, b Upstream) bool {
	return a.Incarnation == b.Incarnation && a.State == b.State && a.Address == b.Address &&
		a.Service == b.Service && a.AvailabilityZone == b.AvailabilityZone && a.Slots == b.Slots
}

// Forget begins anew, as when another process reads the list.
func (j *Journal) Forget() {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	clear(j.entries)
	j.readAt = time.Time{}
	j.serial++
	j.removed = j.serial
}

// Changed returns a channel that is closed at the next change.
func (j *Journal) Changed() <-chan struct{} {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return j.changed
}

// After returns what changed after a serial number.
func (j *Journal) After(serial uint64) Changes {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	changes := Changes{Whole: serial < j.removed || serial == 0, Serial: j.serial, ReadAt: j.readAt}
	for _, name := range slices.Sorted(maps.Keys(j.entries)) {
		if entry := j.entries[name]; changes.Whole || entry.serial > serial {
			changes.Upstreams = append(changes.Upstreams, entry.upstream)
		}
	}
	return changes
}
