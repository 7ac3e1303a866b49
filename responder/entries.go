package responder

import (
	"maps"
	"slices"
	"sync"
	"time"

	"burdocklink/encoder"
	"burdocklink/encoder/wire"
	"burdocklink/placer"
	"burdocklink/router"
)

// entryForget is how long a silent entry stays in the table.
const entryForget = time.Hour

// demandGap is how long an entry may have been silent for what it was asked for
// meanwhile to count as fresh: an entry tells demand every two seconds at least.
const demandGap = 4 * time.Second

// entryTable holds what entries last said of themselves.
type entryTable struct {
	mu      sync.Mutex
	entries map[string]entryRecord
	// fresh is what entries were asked for since it was last taken.
	fresh demandCounts
	// addresses are those at which entries that were heard of lately take notes,
	// in ascending order, as of lookedAt. The serial number counts their changes.
	addresses []string
	lookedAt  time.Time
	serial    uint64
}

// entryRecord is the last word of one entry.
type entryRecord struct {
	said  *wire.FollowRequest
	heard time.Time
	// counts are cumulative since the start of the entry.
	counts demandCounts
	since  int64
}

func newEntryTable() *entryTable {
	return &entryTable{entries: map[string]entryRecord{}, fresh: demandCounts{}}
}

// put notes a report and the counts that it tells.
func (t *entryTable) put(said *wire.FollowRequest, counted []placer.ClassCount, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	record, known := t.entries[said.GetEntry()]
	followed := known && now.Sub(record.heard) <= demandGap
	record.said = said
	record.heard = now
	if len(counted) > 0 && (record.counts == nil || record.since != said.GetSinceUnixMs()) {
		record.counts, record.since = demandCounts{}, said.GetSinceUnixMs()
	}
	for _, one := range counted {
		past := record.counts.put(one)
		// one that is heard of for the first time, or again, may have counted for long
		if followed {
			t.fresh.add(one.Name, one.Class, one.Count.Since(past))
		}
	}
	t.entries[said.GetEntry()] = record
}

func (t *entryTable) list() map[string]entryRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.entries)
}

// loadsTime is how long what an entry has in flight counts after it was told.
const loadsTime = 2 * time.Second

// lookEvery is the time between two looks at who is heard of: all followers ask
// within one pulse.
const lookEvery = 100 * time.Millisecond

// look brings the addresses up to date and forgets entries that are long silent.
// The mutex is held.
func (t *entryTable) look(now time.Time) {
	if now.Sub(t.lookedAt) < lookEvery {
		return
	}
	t.lookedAt = now
	var addresses []string
	for name, record := range t.entries {
		silent := now.Sub(record.heard)
		if silent <= loadsTime && record.said.GetAddress() != "" {
			addresses = append(addresses, record.said.GetAddress())
		}
		if silent > entryForget {
			delete(t.entries, name)
		}
	}
	slices.Sort(addresses)
	if !slices.Equal(addresses, t.addresses) {
		t.addresses = addresses
		t.serial++
	}
}

// peers returns the addresses of all entries that were heard of lately and take
// notes, in ascending order, and the number of the list. It is not to be changed.
func (t *entryTable) peers(now time.Time) ([]string, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.look(now)
	return t.addresses, t.serial
}

// following is how many entries were heard of lately.
func (t *entryTable) following() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.addresses)
}

// Loads returns what all entries together have in flight, by upstream.
func (r *Responder) Loads() map[string]router.Load {
	now := time.Now()
	sums := map[string]router.Load{}
	for _, record := range r.entries.list() {
		if now.Sub(record.heard) > loadsTime {
			continue
		}
		for _, load := range encoder.DecodeLoads(record.said.GetLoads()) {
			sum := sums[load.Upstream]
			sum.Upstream, sum.Incarnation = load.Upstream, load.Incarnation
			sum.Requests += load.Requests
			sum.KVCacheTokens += load.KVCacheTokens
			sum.Models = added(sum.Models, load.Models)
			sums[load.Upstream] = sum
		}
	}
	return sums
}

// added returns the sums of two counts by name. It changes the first.
func added(to, counts map[string]int) map[string]int {
	if to == nil {
		to = make(map[string]int, len(counts))
	}
	for name, count := range counts {
		to[name] += count
	}
	return to
}
