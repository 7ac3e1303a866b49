package surveyor

import (
	"cmp"
	"slices"
	"sync"
)

// Changelog stores named values and numbers their changes, so that each follower
// receives only the values that are new to it. It is safe for concurrent use.
type Changelog[V any] struct {
	// equal reports whether a change from one value to another is not published.
	equal func(a, b V) bool

	mutex   sync.Mutex
	serial  uint64
	entries map[string]changelogEntry[V]
	// changes is in ascending order of serial number. Entries for values that
	// changed again or were removed stay until compact drops them.
	changes []change
	// removed is the serial number of the last removal.
	removed uint64
	// changed is closed at the next change.
	changed chan struct{}
}

// change is the name of the value that changed at a serial number.
type change struct {
	serial uint64
	name   string
}

type changelogEntry[V any] struct {
	value  V
	serial uint64
}

// NewChangelog returns an empty changelog.
func NewChangelog[V any](same func(a, b V) bool) *Changelog[V] {
	return &Changelog[V]{equal: same, entries: map[string]changelogEntry[V]{}, changed: make(chan struct{})}
}

// Replace sets the given values and removes all others.
func (c *Changelog[V]) Replace(values map[string]V) {
	c.update(func() {
		for name, value := range values {
			c.set(name, value)
		}
		c.retain(func(name string) bool { _, still := values[name]; return still })
	})
}

// Set sets one value.
func (c *Changelog[V]) Set(name string, value V) {
	c.update(func() { c.set(name, value) })
}

// Retain removes the values whose names are not kept.
func (c *Changelog[V]) Retain(keep func(name string) bool) {
	c.update(func() { c.retain(keep) })
}

// Clear removes all values. It does not close the channel returned by Changed.
func (c *Changelog[V]) Clear() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	clear(c.entries)
	c.changes = nil
	c.serial++
	c.removed = c.serial
}

// Changed returns a channel that is closed at the next change.
func (c *Changelog[V]) Changed() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.changed
}

// After returns the values that changed after a serial number, ordered by name, and
// the serial number of the newest change. Removed is true if values have been
// removed since; these are not returned. The cost depends on the number of changes
// and not of stored values, since many followers call it after each change.
func (c *Changelog[V]) After(serial uint64) (values []V, newest uint64, removed bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	first, _ := slices.BinarySearchFunc(c.changes, serial, func(entry change, serial uint64) int {
		return cmp.Compare(entry.serial, serial+1)
	})
	var names []string
	for _, changed := range c.changes[first:] {
		if c.entries[changed.name].serial == changed.serial {
			names = append(names, changed.name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		values = append(values, c.entries[name].value)
	}
	return values, c.serial, serial < c.removed
}

// update runs change with the mutex held and closes the changed channel if anything
// changed.
func (c *Changelog[V]) update(change func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	before := c.serial
	change()
	if c.serial != before {
		close(c.changed)
		c.changed = make(chan struct{})
	}
}

// set stores a value if it differs from the previous one. The mutex must be held.
func (c *Changelog[V]) set(name string, value V) {
	if last, known := c.entries[name]; known && c.equal(last.value, value) {
		return
	}
	c.serial++
	c.entries[name] = changelogEntry[V]{value: value, serial: c.serial}
	c.changes = append(c.changes, change{serial: c.serial, name: name})
	c.compact()
}

// maxChangesPerEntry bounds len(changes) relative to the number of values.
const maxChangesPerEntry = 2

// compact drops changes that later ones have superseded.
func (c *Changelog[V]) compact() {
	if len(c.changes) <= maxChangesPerEntry*len(c.entries) {
		return
	}
	c.changes = slices.DeleteFunc(c.changes, func(entry change) bool { return c.entries[entry.name].serial != entry.serial })
}

func (c *Changelog[V]) retain(keep func(name string) bool) {
	for name := range c.entries {
		if !keep(name) {
			delete(c.entries, name)
			c.serial++
			c.removed = c.serial
		}
	}
}
