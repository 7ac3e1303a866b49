package responder

import (
	"maps"
	"sync"
	"time"

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
	said   *wire.FollowRequest
	demand placer.Demand
	heard  time.Time
}

func newEntryTable() *entryTable {
	return &entryTable{entries: map[string]entryRecord{}}
}

// put notes a report. A nil demand leaves the one before.
func (t *entryTable) put(said *wire.FollowRequest, demand *placer.Demand, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	record := t.entries[said.GetEntry()]
	record.said = said
	record.heard = now
	if demand != nil {
		record.demand = *demand
	}
	t.entries[said.GetEntry()] = record
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
		demands[name] = record.demand
	}
	return demands
}
