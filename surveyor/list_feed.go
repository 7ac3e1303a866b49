package surveyor

import (
	"sync"
	"time"
)

// Changes are the changes of the platform's list after a serial number.
type Changes struct {
	// Full is true if Upstreams is the whole list.
	Full      bool
	Upstreams []Upstream
	// Serial is the number of the newest change. ReadAt is when the list was last
	// read; zero if it was not read recently.
	Serial uint64
	ReadAt time.Time
}

// ListFeed numbers the changes of the platform's list, so that one process can read
// the list on behalf of many. It is safe for concurrent use.
type ListFeed struct {
	changelog *Changelog[Upstream]
	// mutex keeps readAt and the changelog consistent.
	mutex  sync.Mutex
	readAt time.Time
}

// NewListFeed returns a feed of a list that has not been read.
func NewListFeed() *ListFeed { return &ListFeed{changelog: NewChangelog(equalListed)} }

// Replace stores a reading of the list. Changed holdings are not published, because
// the control group has newer data on them.
func (f *ListFeed) Replace(listed map[string]Upstream, at time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.readAt = at
	f.changelog.Replace(listed)
}

// equalListed compares the fields that decide whether and where requests are sent
// to an upstream.
func equalListed(a, b Upstream) bool {
	return a.Incarnation == b.Incarnation && a.State == b.State && a.Address == b.Address &&
		a.Service == b.Service && a.AvailabilityZone == b.AvailabilityZone && a.Software == b.Software && a.Slots == b.Slots
}

// Reset clears the feed, for when another process starts to read the list.
func (f *ListFeed) Reset() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.readAt = time.Time{}
	f.changelog.Clear()
}

// Changed returns a channel that is closed at the next change.
func (f *ListFeed) Changed() <-chan struct{} { return f.changelog.Changed() }

// After returns the changes after a serial number.
func (f *ListFeed) After(serial uint64) Changes {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	upstreams, newest, removed := f.changelog.After(serial)
	if removed {
		upstreams, newest, _ = f.changelog.After(0)
	}
	return Changes{Full: removed || serial == 0, Upstreams: upstreams, Serial: newest, ReadAt: f.readAt}
}
