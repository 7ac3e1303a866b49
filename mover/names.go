package mover

import (
	"maps"
	"slices"
)

func sortedNames[T any](named map[string]T) []string { return slices.Sorted(maps.Keys(named)) }

func set(names []string) map[string]bool {
	s := make(map[string]bool, len(names))
	for _, name := range names {
		s[name] = true
	}
	return s
}
