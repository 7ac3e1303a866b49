package allocator

import (
	"maps"
	"slices"
)

// spread is how the demand falls on engines when requests go where there is
// most room.
type spread struct {
	view *View
	// engines is how busy each engine is kept.
	engines map[string]float64
	// shares are each model's parts of it, by model and engine.
	shares map[string]map[string]float64
}

// steps is in how many equal parts a model's demand is spread, each to the holder
// with the least work.
const steps = 8

// balance spreads the demand of each model over its holders.
func (v *View) balance(holders map[string][]string) spread {
	s := spread{
		view:    v,
		engines: make(map[string]float64, len(v.Engines)),
		shares:  make(map[string]map[string]float64, len(holders)),
	}
	for name, engine := range v.Engines {
		if !engine.Leaving {
			s.engines[name] = 0
		}
	}
	models := v.byChoice(holders)
	for range steps {
		for _, model := range models {
			work := v.Models[model].Work / steps
			least := s.least(holders[model], work)
			part := v.Engines[least].strain(work)
			s.engines[least] += part
			if s.shares[model] == nil {
				s.shares[model] = map[string]float64{}
			}
			s.shares[model][least] += part
		}
	}
	return s
}

// least returns the engine that is kept busy least with some more work.
func (s spread) least(names []string, work float64) string {
	least, lowest := names[0], s.engines[names[0]]+s.view.Engines[names[0]].strain(work)
	for _, name := range names[1:] {
		if busy := s.engines[name] + s.view.Engines[name].strain(work); busy < lowest {
			least, lowest = name, busy
		}
	}
	return least
}

// demand is how busy a model keeps all engines together.
func (s spread) demand(model string) float64 {
	total := 0.0
	for _, part := range s.shares[model] {
		total += part
	}
	return total
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

// painOf is what the work on an engine costs its requests. Below fullWork it is
// the wait for a first token, which grows faster than the work. What comes beyond
// is not served in time, and each part of it costs the same.
func painOf(work float64) float64 {
	if work <= fullWork {
		return work * work
	}
	return fullWork*fullWork + lostWeight*(work-fullWork)
}

// change is a spread in which the demand of a few models is spread anew. All
// others stay as they are, so that a plan for a large fleet stays short.
type change struct {
	from spread
	// to holds the engines whose work is another one.
	to spread
}

func (s spread) change() change {
	return change{from: s, to: spread{view: s.view, engines: map[string]float64{}}}
}

// move spreads a model's demand over other holders; over none, it is lost.
func (c change) move(model *Model, holders []string) {
	for name, work := range c.from.shares[model.Name] {
		c.add(name, -work)
	}
	if len(holders) == 0 {
		return
	}
	for _, name := range holders {
		c.add(name, 0)
	}
	work := model.Work / steps
	for range steps {
		least := c.to.least(holders, work)
		c.add(least, c.to.view.Engines[least].strain(work))
	}
}

func (c change) add(engine string, work float64) {
	if _, known := c.to.engines[engine]; !known {
		c.to.engines[engine] = c.from.engines[engine]
	}
	c.to.engines[engine] += work
}

// fall is by how much the pain falls.
func (c change) fall() float64 {
	total := 0.0
	for name, work := range c.to.engines {
		total += painOf(c.from.engines[name]) - painOf(work)
	}
	return total
}

const (
	// fullWork is the work at which an engine's waits begin to grow without
	// bound, in engines kept busy.
	fullWork = 0.8
	// lostWeight is the pain of one engine's work that is not served in time.
	lostWeight = 5.6
)
