package responder

import (
	"maps"
	"sync"
	"time"

	"burdocklink/encoder"
	"burdocklink/encoder/wire"
	"burdocklink/placer"
	"burdocklink/router"
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

// loadsTime is how long what an entry has in flight counts after it was told.
const loadsTime = 2 * time.Second

// others returns what all entries but one have in flight, and how many entries
// were heard of lately.
func (t *entryTable) others(entry string, now time.Time) ([]router.Load, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := map[string]router.Load{}
	entries := 0
	for name, record := range t.entries {
		if now.Sub(record.heard) > loadsTime {
			continue
		}
		entries++
		if name == entry {
			continue
		}
		for _, load := range encoder.DecodeLoads(record.said.GetLoads()) {
			sum := sums[load.Upstream]
			sum.Upstream, sum.Incarnation = load.Upstream, load.Incarnation
			sum.Requests += load.Requests
			sum.Tokens += load.Tokens
			sum.PromptTokens += load.PromptTokens
			sums[load.Upstream] = sum
		}
	}
	loads := make([]router.Load, 0, len(sums))
	for _, sum := range sums {
		loads = append(loads, sum)
	}
	return loads, entries
}

// Loads returns what all entries together have in flight, by upstream.
func (r *Responder) Loads() map[string]router.Load {
	all, _ := r.entries.others("", time.Now())
	loads := make(map[string]router.Load, len(all))
	for _, load := range all {
		loads[load.Upstream] = load
	}
	return loads
}
