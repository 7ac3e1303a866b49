package delegator

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxCandidates is how many entries are asked in turn to admit a request: the owner of
// the model, and its deputy.
const maxCandidates = 2

// ring assigns models to entries by rendezvous hashing: an entry that joins or leaves
// moves only its own models. It is safe for concurrent use.
type ring struct {
	self string

	mutex   sync.Mutex
	entries []string
	// ranked caches the first entries of each requested model until the entries change.
	ranked map[string][]string
	// avoided maps entries that did not answer to when they may be asked again.
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

// candidates returns the entries that may admit requests for a model, in order of
// preference and without avoided ones.
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

// maxRankedEntries is how many entries are ranked for a model. If that many are avoided
// at once, there is no candidate.
const maxRankedEntries = 2 * maxCandidates

// rank returns the first entries of a model. The mutex must be held.
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
