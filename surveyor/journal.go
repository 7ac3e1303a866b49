package surveyor

import (
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
	log *Changelog[Upstream]
	// mutex keeps readAt and the log in step.
	mutex  sync.Mutex
	readAt time.Time
}

// NewJournal returns a journal of a list that was not read yet.
func NewJournal() *Journal { return &Journal{log: NewChangelog(sameEntry)} }

// Put takes in a reading of the list. What upstreams hold is no news: the
// control group knows it better.
func (j *Journal) Put(listed map[string]Upstream, at time.Time) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.readAt = at
	j.log.Put(listed)
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
	j.readAt = time.Time{}
	j.log.Clear()
}

// Changed returns a channel that is closed at the next change.
func (j *Journal) Changed() <-chan struct{} { return j.log.Changed() }

// After returns what changed after a serial number.
func (j *Journal) After(serial uint64) Changes {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	upstreams, newest, removed := j.log.After(serial)
	if removed {
		upstreams, newest, _ = j.log.After(0)
	}
	return Changes{Whole: removed || serial == 0, Upstreams: upstreams, Serial: newest, ReadAt: j.readAt}
}
