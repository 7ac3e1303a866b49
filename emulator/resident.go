package emulator

import (
	"slices"

	"burdocklink/cataloger"
)

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

// CachedPrefixes returns the prefixes in the cache.
func (e *Engine) CachedPrefixes() []uint64 { return e.cache.prefixes() }
