package allocator

import (
	"maps"
	"slices"
)

// distribution is how the demand falls on engines when requests go where there is
// most room.
type distribution struct {
	view *View
	// utilisation is how busy each engine is kept.
	utilisation map[string]float64
	// shares are each model's parts of it, by model and engine.
	shares map[string]map[string]float64
}

// distributionSteps is in how many equal parts a model's demand is spread, each to the holder
// with the least work.
const distributionSteps = 8

// balance spreads the demand of each model over its holders.
func (v *View) balance(holders map[string][]string) distribution {
	d := distribution{
		view:        v,
		utilisation: make(map[string]float64, len(v.Engines)),
		shares:      make(map[string]map[string]float64, len(holders)),
	}
	for name, engine := range v.Engines {
		if !engine.Leaving {
			d.utilisation[name] = 0
		}
	}
	models := v.fewestHoldersFirst(holders)
	for range distributionSteps {
		for _, model := range models {
			demand := v.Models[model].Demand / distributionSteps
			least := d.leastUtilised(holders[model], demand)
			part := v.Engines[least].utilisation(demand)
			d.utilisation[least] += part
			if d.shares[model] == nil {
				d.shares[model] = map[string]float64{}
			}
			d.shares[model][least] += part
		}
	}
	return d
}

// leastUtilised returns the engine that is kept busy least with some more work.
func (d distribution) leastUtilised(names []string, demand float64) string {
	least, lowest := names[0], d.utilisation[names[0]]+d.view.Engines[names[0]].utilisation(demand)
	for _, name := range names[1:] {
		if utilisation := d.utilisation[name] + d.view.Engines[name].utilisation(demand); utilisation < lowest {
			least, lowest = name, utilisation
		}
	}
	return least
}

// modelUtilisation is how busy a model keeps all engines together.
func (d distribution) modelUtilisation(model string) float64 {
	total := 0.0
	for _, part := range d.shares[model] {
		total += part
	}
	return total
}

// fewestHoldersFirst lists the models that are asked for and held, those with the fewest
// holders first, since the others can give way to them.
func (v *View) fewestHoldersFirst(holders map[string][]string) []string {
	var models []string
	for _, name := range slices.Sorted(maps.Keys(holders)) {
		if len(holders[name]) > 0 && v.Models[name] != nil && v.Models[name].Demand > 0 {
			models = append(models, name)
		}
	}
	slices.SortStableFunc(models, func(a, b string) int { return len(holders[a]) - len(holders[b]) })
	return models
}

// cost is what the work on an engine costs its requests. Below fullWork it is
// the wait for a first token, which grows faster than the work. What comes beyond
// is not served in time, and each part of it costs the same.
func cost(utilisation float64) float64 {
	if utilisation <= saturation {
		return utilisation * utilisation
	}
	return saturation*saturation + overloadCost*(utilisation-saturation)
}

// rebalance is a spread in which the demand of a few models is spread anew. All
// others stay as they are, so that a plan for a large fleet stays short.
type rebalance struct {
	before distribution
	// after holds the engines whose work is another one.
	after distribution
}

func (d distribution) rebalance() rebalance {
	return rebalance{before: d, after: distribution{view: d.view, utilisation: map[string]float64{}}}
}

// reassign spreads a model's demand over other holders; over none, it is lost.
func (r rebalance) reassign(model *Model, holders []string) {
	for name, part := range r.before.shares[model.Name] {
		r.add(name, -part)
	}
	if len(holders) == 0 {
		return
	}
	for _, name := range holders {
		r.add(name, 0)
	}
	demand := model.Demand / distributionSteps
	for range distributionSteps {
		least := r.after.leastUtilised(holders, demand)
		r.add(least, r.after.view.Engines[least].utilisation(demand))
	}
}

func (r rebalance) add(engine string, utilisation float64) {
	if _, known := r.after.utilisation[engine]; !known {
		r.after.utilisation[engine] = r.before.utilisation[engine]
	}
	r.after.utilisation[engine] += utilisation
}

// saving is by how much the pain falls.
func (r rebalance) saving() float64 {
	total := 0.0
	for name, utilisation := range r.after.utilisation {
		total += cost(r.before.utilisation[name]) - cost(utilisation)
	}
	return total
}

const (
	// saturation is the work at which an engine's waits begin to grow without
	// bound, in engines kept busy.
	saturation = 0.8
	// overloadCost is the pain of one engine's work that is not served in time.
	overloadCost = 5.6
)
