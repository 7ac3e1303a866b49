package allocator

import (
	"maps"
	"slices"
)

// spread is how the demand falls on engines when requests go where there is
// most room.
type spread struct {
	// engines is the work on each engine, in engines kept busy.
	engines map[string]float64
}

// steps is in how many equal parts a model's demand is spread, each to the holder
// with the least work.
const steps = 8

// balance spreads the demand of each model over its holders.
func (v *View) balance(holders map[string][]string) spread {
	s := spread{engines: make(map[string]float64, len(v.Engines))}
	for name, engine := range v.Engines {
		if !engine.Leaving {
			s.engines[name] = 0
		}
	}
	models := v.byChoice(holders)
	for range steps {
		for _, model := range models {
			names := holders[model]
			least := names[0]
			for _, name := range names[1:] {
				if s.engines[name] < s.engines[least] {
					least = name
				}
			}
			s.engines[least] += v.Models[model].Work / steps
		}
	}
	return s
}

// byChoice lists the models that are asked for and held, those with the fewest
// holders first, since the others can give way to them.
func (v *View) byChoice(holders map[string][]string) []string {
	var models []string
	for _, name := range slices.Sorted(maps.Keys(holders)) {
		if len(holders[name]) > 0 && v.Models[name] != nil && v.Models[name].Work > 0 {
			models = append(models, name)
		}
	}
	slices.SortStableFunc(models, func(a, b string) int { return len(holders[a]) - len(holders[b]) })
	return models
}

// pain grows faster than the work on an engine: the wait for a first token
// does so too.
func (s spread) pain() float64 {
	total := 0.0
	for _, work := range s.engines {
		total += work * work
		if work > fullWork {
			total += overWeight * (work - fullWork)
		}
	}
	return total
}

const (
	// fullWork is the work at which an engine's waits begin to grow without
	// bound, in engines kept busy.
	fullWork = 0.8
	// overWeight is what work beyond that costs against work below it.
	overWeight = 4.0
)
