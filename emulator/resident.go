package emulator

import (
	"slices"

	"burdocklink/cataloger"
)

// resident returns the names of the resident models and adapters, sorted.
func (e *Engine) resident(catalog *cataloger.Catalog) (models, adapters []string) {
	for name := range e.holds {
		if _, ok := catalog.Adapters[name]; ok {
			adapters = append(adapters, name)
			continue
		}
		models = append(models, name)
	}
	slices.Sort(models)
	slices.Sort(adapters)
	return models, adapters
}

// CachedPrefixes returns the cached prefixes, the least recently used first.
func (e *Engine) CachedPrefixes() []uint64 { return e.cache.prefixes() }
