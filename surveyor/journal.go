package surveyor

import (
	"sync"
	"time"
)

// Changes are what changed in the platform's list after a serial number.
type Changes struct {
	// Full is true where upstreams that are not named are not listed.
	Full      bool
	Upstreams []Upstream
	// Serial is the number of the newest change, ReadAt when the list was last
	// read; zero where it was not, or long ago.
	Serial uint64
	ReadAt time.Time
}

// ListFeed numbers the changes of the platform's list, so that one process reads
// it for many. It is safe for concurrent use.
type ListFeed struct {
	changelog *Changelog[Upstream]
	// mutex keeps readAt and the log in step.
	mutex  sync.Mutex
	readAt time.Time
}

// NewListFeed returns a journal of a list that was not read yet.
func NewListFeed() *ListFeed { return &ListFeed{changelog: NewChangelog(equalListed)} }

// Replace takes in a reading of the list. What upstreams hold is no news: the
// control group knows it better.
func (j *ListFeed) Replace(listed map[string]Upstream, at time.Time) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.readAt = at
	j.changelog.Replace(listed)
}

// equalListed compares what decides whether and where an upstream is sent work.
func equalListed(a, b Upstream) bool {
	return a.Incarnation == b.Incarnation && a.State == b.State && a.Address == b.Address &&
		a.Service == b.Service && a.AvailabilityZone == b.AvailabilityZone && a.Slots == b.Slots
}

// Reset begins anew, as when another process reads the list.
func (j *ListFeed) Reset() {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.readAt = time.Time{}
	j.changelog.Clear()
}

// Changed returns a channel that is closed at the next change.
func (j *ListFeed) Changed() <-chan struct{} { return j.changelog.Changed() }

// After returns what changed after a serial number.
func (j *ListFeed) After(serial uint64) Changes {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	upstreams, newest, removed := j.changelog.After(serial)
	if removed {
		upstreams, newest, _ = j.changelog.After(0)
	}
	return Changes{Full: removed || serial == 0, Upstreams: upstreams, Serial: newest, ReadAt: j.readAt}
}
