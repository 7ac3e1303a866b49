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

// entryRetention is how long a silent entry stays in the table.
const entryRetention = time.Hour

// maxDemandGap is how long an entry may have been silent for what it was asked for
// meanwhile to count as fresh: an entry tells demand every two seconds at least.
const maxDemandGap = 4 * time.Second

// entryTable holds what entries last said of themselves.
type entryTable struct {
	mu      sync.Mutex
	entries map[string]entryRecord
	// newDemand is what entries were asked for since it was last taken.
	newDemand demandCounts
	// addresses are those at which entries that were heard of lately take notes,
	// in ascending order, as of lookedAt. The serial number counts their changes.
	addresses   []string
	refreshedAt time.Time
	serial      uint64
}

// entryRecord is the last word of one entry.
type entryRecord struct {
	request    *wire.FollowRequest
	receivedAt time.Time
	// counts are cumulative since the start of the entry.
	counts demandCounts
	since  int64
}

func newEntryTable() *entryTable {
	return &entryTable{entries: map[string]entryRecord{}, newDemand: demandCounts{}}
}

// put notes a report and the counts that it tells.
func (t *entryTable) put(request *wire.FollowRequest, counts []placer.ClassCount, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	record, known := t.entries[request.GetEntry()]
	continuous := known && now.Sub(record.receivedAt) <= maxDemandGap
	record.request = request
	record.receivedAt = now
	if len(counts) > 0 && (record.counts == nil || record.since != request.GetSinceUnixMs()) {
		record.counts, record.since = demandCounts{}, request.GetSinceUnixMs()
	}
	for _, count := range counts {
		previous := record.counts.swap(count)
		// one that is heard of for the first time, or again, may have counted for long
		if continuous {
			t.newDemand.add(count.Name, count.Class, count.Count.Since(previous))
		}
	}
	t.entries[request.GetEntry()] = record
}

func (t *entryTable) list() map[string]entryRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.entries)
}

// loadValidity is how long what an entry has in flight counts after it was told.
const loadValidity = 2 * time.Second

// refreshInterval is the time between two looks at who is heard of: all followers ask
// within one pulse.
const refreshInterval = 100 * time.Millisecond

// refreshAddresses brings the addresses up to date and forgets entries that are long silent.
// The mutex is held.
func (t *entryTable) refreshAddresses(now time.Time) {
	if now.Sub(t.refreshedAt) < refreshInterval {
		return
	}
	t.refreshedAt = now
	var addresses []string
	for name, record := range t.entries {
		silent := now.Sub(record.receivedAt)
		if silent <= loadValidity && record.request.GetAddress() != "" {
			addresses = append(addresses, record.request.GetAddress())
		}
		if silent > entryRetention {
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
	t.refreshAddresses(now)
	return t.addresses, t.serial
}

// countActive is how many entries were heard of lately.
func (t *entryTable) countActive() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.addresses)
}

// Loads returns what all entries together have in flight, by upstream.
func (r *Responder) Loads() map[string]router.Load {
	now := time.Now()
	sums := map[string]router.Load{}
	for _, record := range r.entries.list() {
		if now.Sub(record.receivedAt) > loadValidity {
			continue
		}
		for _, load := range encoder.DecodeLoads(record.request.GetLoads()) {
			sum := sums[load.Upstream]
			sum.Upstream, sum.Incarnation = load.Upstream, load.Incarnation
			sum.Requests += load.Requests
			sum.KVCacheTokens += load.KVCacheTokens
			sum.Models = sumCounts(sum.Models, load.Models)
			sums[load.Upstream] = sum
		}
	}
	return sums
}

// sumCounts returns the sums of two counts by name. It changes the first.
func sumCounts(to, counts map[string]int) map[string]int {
	if to == nil {
		to = make(map[string]int, len(counts))
	}
	for name, count := range counts {
		to[name] += count
	}
	return to
}
