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
}

type heldEntry struct {
	told   surveyor.Told
	serial uint64
}

func newHeldTable() *heldTable { return &heldTable{entries: map[string]heldEntry{}} }

// put notes what changed.
func (t *heldTable) put(engines map[string]*engine) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for name, one := range engines {
		if !one.reported {
			continue
		}
		told := one.told()
		if before, known := t.entries[name]; known && reflect.DeepEqual(before.told, told) {
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
