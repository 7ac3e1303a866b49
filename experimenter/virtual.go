package experimenter

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// epoch is the start of virtual time.
var epoch = time.Date(2030, time.May, 1, 10, 0, 0, 0, time.UTC)

func hash(text string) uint64 { return xxhash.Sum64String(text) }

// spread hashes a request's index, to distribute requests over the entries.
func spread(x uint64) uint64 {
	x = (x + 0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	return x ^ (x >> 31)
}

func sortByArrival(load []plannedRequest) {
	slices.SortStableFunc(load, func(a, b plannedRequest) int { return cmp.Compare(a.at, b.at) })
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func without(list []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(candidate string) bool { return candidate == name })
}
