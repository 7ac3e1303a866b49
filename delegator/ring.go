package delegator

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxCandidates is how many entries in a row are asked to admit a request: the one that
// the model belongs to, and its deputy.
const maxCandidates = 2

// ring says which entry admits the requests for which model, by rendezvous
// hashing: an entry that joins or goes moves only its own models. It is safe for
// concurrent use.
type ring struct {
	self string

	mutex   sync.Mutex
	entries []string
	// ranked are the first entries of each model that was asked for, until entries
	// change.
	ranked map[string][]string
	// avoided are entries that gave no answer, until a time.
	avoided map[string]time.Time
}

func newRing(self string) *ring {
	return &ring{self: self, ranked: map[string][]string{}, avoided: map[string]time.Time{}}
}

// setPeers sets the addresses of the other entries.
func (r *ring) setPeers(others []string) {
	entries := append(slices.Clone(others), r.self)
	slices.Sort(entries)
	entries = slices.Compact(entries)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if slices.Equal(entries, r.entries) {
		return
	}
	r.entries = entries
	clear(r.ranked)
	for address := range r.avoided {
		if !slices.Contains(entries, address) {
			delete(r.avoided, address)
		}
	}
}

// size is how many entries there are, this one included.
func (r *ring) size() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.entries)
}

// avoid passes an entry over until a time.
func (r *ring) avoid(address string, until time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.avoided[address] = until
}

// candidates returns the entries that may admit requests for a model, the first
// one first, without those that are avoided.
func (r *ring) candidates(model string, now time.Time) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	candidates := make([]string, 0, maxCandidates)
	for _, address := range r.rank(model) {
		if len(candidates) < maxCandidates && !now.Before(r.avoided[address]) {
			candidates = append(candidates, address)
		}
	}
	return candidates
}

// maxRankedEntries is how many entries of a model are kept in order: as many may be
// down at once before none is found.
const maxRankedEntries = 2 * maxCandidates

// rank returns the first entries of a model. The mutex is held.
func (r *ring) rank(model string) []string {
	if ranked, ok := r.ranked[model]; ok {
		return ranked
	}
	weights := make(map[string]uint64, len(r.entries))
	for _, address := range r.entries {
		weights[address] = xxhash.Sum64String(address + " " + model)
	}
	ordered := slices.Clone(r.entries)
	slices.SortFunc(ordered, func(a, b string) int { return cmp.Compare(weights[b], weights[a]) })
	ordered = slices.Clip(ordered[:min(len(ordered), maxRankedEntries)])
	r.ranked[model] = ordered
	return ordered
}
