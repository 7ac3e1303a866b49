package experimenter

import (
	"maps"
	"slices"

	"burdocklink/cataloger"
)

// adapterReserve is the memory of each engine that the initial placement reserves
// for adapters.
const adapterReserve = 8 * gigabyte

// placeInitially places the models by their usual demand: one copy each, then
// further copies of the model with the highest demand per copy until memory is
// full. Adapters are placed with each copy of their model while there is memory.
func placeInitially(d Deployment, catalog *cataloger.Catalog) *cataloger.Catalog {
	p := &initialPlacement{catalog: catalog, free: map[string]int64{}, demand: map[string]float64{}}
	p.held = map[string]map[string]bool{}
	for _, name := range catalog.Services[d.EngineService] {
		p.free[name] = d.Engine.MemoryBytes - adapterReserve
		p.held[name] = map[string]bool{}
	}
	for i := range d.Models {
		p.placeModel(i)
	}
	for p.addCopy(d) {
		continue
	}
	return withChanges(catalog, p.changes())
}

// initialPlacement is the state of placeInitially. Its maps are by upstream.
type initialPlacement struct {
	catalog *cataloger.Catalog
	free    map[string]int64
	held    map[string]map[string]bool
	demand  map[string]float64
	copies  []int
}

// placeModel places a copy of a model on the engine with the least demand that
// has enough free memory. It reports whether there was one.
func (p *initialPlacement) placeModel(model int) bool {
	for len(p.copies) <= model {
		p.copies = append(p.copies, 0)
	}
	name := modelName(model)
	best := ""
	for _, upstream := range slices.Sorted(maps.Keys(p.free)) {
		if p.held[upstream][name] || p.free[upstream] < p.catalog.Models[name].MemoryBytes {
			continue
		}
		if best == "" || p.demand[upstream] < p.demand[best] {
			best = upstream
		}
	}
	if best == "" {
		return false
	}
	p.copies[model]++
	p.held[best][name] = true
	p.free[best] -= p.catalog.Models[name].MemoryBytes
	p.demand[best] += baseWeight(model) / float64(p.copies[model])
	return true
}

// addCopy places another copy of the model with the highest demand per copy among
// those that fit. It reports whether any did.
func (p *initialPlacement) addCopy(d Deployment) bool {
	order := make([]int, d.Models)
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		if baseWeight(a)/float64(p.copies[a]) > baseWeight(b)/float64(p.copies[b]) {
			return -1
		}
		return 1
	})
	for _, model := range order {
		if p.placeModel(model) {
			return true
		}
	}
	return false
}

func (p *initialPlacement) changes() []cataloger.Change {
	var changes []cataloger.Change
	for _, upstream := range slices.Sorted(maps.Keys(p.held)) {
		placement := cataloger.Placement{Upstream: upstream, Incarnation: "1"}
		placement.Models = slices.Sorted(maps.Keys(p.held[upstream]))
		free := p.free[upstream] + adapterReserve
		for _, name := range slices.Sorted(maps.Keys(p.catalog.Adapters)) {
			adapter := p.catalog.Adapters[name]
			if p.held[upstream][adapter.Model] && free >= adapter.MemoryBytes {
				free -= adapter.MemoryBytes
				placement.Adapters = append(placement.Adapters, name)
			}
		}
		changes = append(changes, cataloger.PutPlacement{Placement: placement})
	}
	return changes
}
