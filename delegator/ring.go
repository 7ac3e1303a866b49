package delegator

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// choices is how many entries in a row are asked to admit a request: the one that
// the model belongs to, and its deputy.
const choices = 2

// ring says which entry admits the requests for which model, by rendezvous
// hashing: an entry that joins or goes moves only its own models. It is safe for
// concurrent use.
type ring struct {
	own string

	mutex   sync.Mutex
	entries []string
	// ranked are the first entries of each model that was asked for, until entries
	// change.
	ranked map[string][]string
	// avoided are entries that gave no answer, until a time.
	avoided map[string]time.Time
}

func newRing(own string) *ring {
	return &ring{own: own, ranked: map[string][]string{}, avoided: map[string]time.Time{}}
}

// meet sets the addresses of the other entries.
func (r *ring) meet(others []string) {
	entries := append(slices.Clone(others), r.own)
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
	chosen := make([]string, 0, choices)
	for _, address := range r.rank(model) {
		if len(chosen) < choices && !now.Before(r.avoided[address]) {
			chosen = append(chosen, address)
		}
	}
	return chosen
}

// rankedEntries is how many entries of a model are kept in order: as many may be
// down at once before none is found.
const rankedEntries = 2 * choices

// rank returns the first entries of a model. The mutex is held.
func (r *ring) rank(model string) []string {
	if known, ok := r.ranked[model]; ok {
		return known
	}
	weights := make(map[string]uint64, len(r.entries))
	for _, address := range r.entries {
		weights[address] = xxhash.Sum64String(address + " " + model)
	}
	ordered := slices.Clone(r.entries)
	slices.SortFunc(ordered, func(a, b string) int { return cmp.Compare(weights[b], weights[a]) })
	ordered = slices.Clip(ordered[:min(len(ordered), rankedEntries)])
	r.ranked[model] = ordered
	return ordered
}
