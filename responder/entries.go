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

// entryRetention is how long an entry stays in the table after its last message.
const entryRetention = time.Hour

// maxDemandGap is the longest time between two messages of an entry for which the
// difference of their counts is new demand. An entry reports demand at least every two
// seconds.
const maxDemandGap = 4 * time.Second

// entryTable holds the last message of each entry.
type entryTable struct {
	mu      sync.Mutex
	entries map[string]entryRecord
	// newDemand is the demand since the last call of TakeDemand.
	newDemand demandCounts
	// addresses are the addresses of active entries in ascending order, and capacities
	// their capacities, as of refreshedAt. serial counts their changes.
	addresses   []string
	capacities  []uint32
	refreshedAt time.Time
	serial      uint64
}

// entryRecord is the last message of one entry.
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

// put records a message and the decoded counts in it.
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
		// counts of an entry that is new or was silent may cover a long time
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

// loadValidity is how long the reported in-flight load of an entry is used. An entry
// without a message in this time is not active.
const loadValidity = 2 * time.Second

// refreshInterval is the minimum time between two updates of the addresses, which all
// followers request within one heartbeat interval.
const refreshInterval = 100 * time.Millisecond

// refreshAddresses updates the addresses and removes entries past entryRetention. The
// mutex must be held.
func (t *entryTable) refreshAddresses(now time.Time) {
	if now.Sub(t.refreshedAt) < refreshInterval {
		return
	}
	t.refreshedAt = now
	capacities := map[string]uint32{}
	for name, record := range t.entries {
		age := now.Sub(record.receivedAt)
		if age <= loadValidity && record.request.GetAddress() != "" {
			capacities[record.request.GetAddress()] = record.request.GetCapacity()
		}
		if age > entryRetention {
			delete(t.entries, name)
		}
	}
	addresses := slices.Sorted(maps.Keys(capacities))
	inOrder := make([]uint32, 0, len(addresses))
	for _, address := range addresses {
		inOrder = append(inOrder, capacities[address])
	}
	if !slices.Equal(addresses, t.addresses) || !slices.Equal(inOrder, t.capacities) {
		t.addresses, t.capacities = addresses, inOrder
		t.serial++
	}
}

// peers returns the addresses of all active entries in ascending order, their capacities,
// and the serial number of these lists. They must not be modified.
func (t *entryTable) peers(now time.Time) (addresses []string, capacities []uint32, serial uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refreshAddresses(now)
	return t.addresses, t.capacities, t.serial
}

// countActive returns the number of active entries.
func (t *entryTable) countActive() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.addresses)
}

// Loads returns the in-flight load of all entries together, by upstream.
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

// sumCounts adds counts to the map to, which it allocates if nil, and returns it.
func sumCounts(to, counts map[string]int) map[string]int {
	if to == nil {
		to = make(map[string]int, len(counts))
	}
	for name, count := range counts {
		to[name] += count
	}
	return to
}
