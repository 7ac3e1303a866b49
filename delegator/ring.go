package delegator

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxCandidates is how many entries are asked in turn to admit a request: the owner of
// the model, and its deputy.
const maxCandidates = 2

// ring assigns models and plain services to entries by weighted rendezvous hashing: an
// entry that joins or leaves moves only its own, and an entry owns as many as its capacity
// allows. It is safe for concurrent use.
type ring struct {
	self     string
	capacity int

	mutex   sync.Mutex
	entries []string
	// capacities are by entry.
	capacities map[string]int
	// ranked caches the first entries of each requested subject until the entries change.
	ranked map[string][]string
	// avoided maps entries that did not answer to when they may be asked again.
	avoided map[string]time.Time
}

func newRing(self string, capacity int) *ring {
	return &ring{self: self, capacity: capacity, ranked: map[string][]string{}, avoided: map[string]time.Time{}}
}

// setPeers sets the other entries and their capacities.
func (r *ring) setPeers(others map[string]int) {
	capacities := maps.Clone(others)
	if capacities == nil {
		capacities = map[string]int{}
	}
	capacities[r.self] = r.capacity
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if maps.Equal(capacities, r.capacities) {
		return
	}
	entries := slices.Sorted(maps.Keys(capacities))
	r.entries, r.capacities = entries, capacities
	clear(r.ranked)
	for address := range r.avoided {
		if !slices.Contains(entries, address) {
			delete(r.avoided, address)
		}
	}
}

// size returns the number of entries, including this one.
func (r *ring) size() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.entries)
}

// avoid excludes an entry until a time.
func (r *ring) avoid(address string, until time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.avoided[address] = until
}

// candidates returns the entries that may admit requests for a subject, in order of
// preference and without avoided ones.
func (r *ring) candidates(subject string, now time.Time) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	candidates := make([]string, 0, maxCandidates)
	for _, address := range r.rank(subject) {
		if len(candidates) < maxCandidates && !now.Before(r.avoided[address]) {
			candidates = append(candidates, address)
		}
	}
	return candidates
}

// maxRankedEntries is how many entries are ranked for a subject. If that many are avoided
// at once, there is no candidate.
const maxRankedEntries = 2 * maxCandidates

// rank returns the first entries of a subject. The mutex must be held.
func (r *ring) rank(subject string) []string {
	if ranked, ok := r.ranked[subject]; ok {
		return ranked
	}
	scores := make(map[string]float64, len(r.entries))
	for _, address := range r.entries {
		scores[address] = score(xxhash.Sum64String(address+" "+subject), r.capacities[address])
	}
	ordered := slices.Clone(r.entries)
	slices.SortStableFunc(ordered, func(a, b string) int { return cmp.Compare(scores[b], scores[a]) })
	ordered = slices.Clip(ordered[:min(len(ordered), maxRankedEntries)])
	r.ranked[subject] = ordered
	return ordered
}

// defaultCapacity is that of entries which report none, in thousandths of a core.
const defaultCapacity = 400

// score returns the score of an entry with a hash. The chance to have the highest one is in
// proportion to the capacity. Among equal capacities the order is that of the hashes.
func score(hash uint64, capacity int) float64 {
	if capacity <= 0 {
		capacity = defaultCapacity
	}
	const steps = 1 << 53
	fraction := (float64(hash>>11) + 0.5) / steps
	return -float64(capacity) / math.Log(fraction)
}
