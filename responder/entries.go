package responder

import (
	"maps"
	"sync"
	"time"

	"burdocklink/encoder"
	"burdocklink/encoder/wire"
	"burdocklink/placer"
)

// entryForget is how long a silent entry stays in the table.
const entryForget = time.Hour

// entryTable holds what entries last said of themselves.
type entryTable struct {
	mu      sync.Mutex
	entries map[string]entryRecord
}

// entryRecord is the last word of one entry.
type entryRecord struct {
	said  *wire.FollowRequest
	heard time.Time
}

func newEntryTable() *entryTable {
	return &entryTable{entries: map[string]entryRecord{}}
}

func (t *entryTable) put(said *wire.FollowRequest, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries[said.GetEntry()] = entryRecord{said: said, heard: now}
	for name, record := range t.entries {
		if now.Sub(record.heard) > entryForget {
			delete(t.entries, name)
		}
	}
}

func (t *entryTable) list() map[string]entryRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.entries)
}

// Demands returns the cumulative demand that each entry told last, by entry.
func (r *Responder) Demands() map[string]placer.Demand {
	demands := map[string]placer.Demand{}
	for name, record := range r.entries.list() {
		demands[name] = encoder.DecodeDemand(record.said)
	}
	return demands
}
