package mover

import (
	"reflect"
	"sync"

	"burdocklink/surveyor"
)

// heldTable is what entries are told, with a serial number for each change. It
// is safe for concurrent use.
type heldTable struct {
	mutex   sync.Mutex
	serial  uint64
	entries map[string]heldEntry
	// changed is closed at the next change.
	changed chan struct{}
}

type heldEntry struct {
	told   surveyor.Told
	serial uint64
}

func newHeldTable() *heldTable {
	return &heldTable{entries: map[string]heldEntry{}, changed: make(chan struct{})}
}

// put notes what changed.
func (t *heldTable) put(engines map[string]*engine) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	before := t.serial
	for name, one := range engines {
		if !one.reported {
			continue
		}
		told := one.told()
		if last, known := t.entries[name]; known && reflect.DeepEqual(last.told, told) {
			continue
		}
		t.serial++
		t.entries[name] = heldEntry{told: told, serial: t.serial}
	}
	for name := range t.entries {
		if engines[name] == nil {
			delete(t.entries, name)
		}
	}
	if t.serial != before {
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// next returns a channel that is closed at the next change.
func (t *heldTable) next() <-chan struct{} {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.changed
}

// after returns what changed after a serial number, and the newest number.
func (t *heldTable) after(serial uint64) ([]surveyor.Told, uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var told []surveyor.Told
	for _, entry := range t.entries {
		if entry.serial > serial {
			told = append(told, entry.told)
		}
	}
	return told, t.serial
}

func (t *heldTable) clear() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	clear(t.entries)
}
