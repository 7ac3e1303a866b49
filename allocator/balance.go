package allocator

import (
	"maps"
	"math"
	"slices"
)

// distribution is the demand spread over engines by routing that prefers the
// least utilised.
type distribution struct {
	view *View
	// utilisation is by engine.
	utilisation map[string]float64
	// shares are each model's parts of the utilisation, by model and engine.
	shares map[string]map[string]float64
}

const (
	// minParts and maxParts bound the number of equal parts of a model's demand, each of
	// which goes to the least utilised holder.
	minParts = 8
	maxParts = 128
	// maxPart is the largest part, in fully utilised engines. With larger ones a model in
	// great demand reaches no more holders than it has parts, and more copies seem useless.
	maxPart = 0.5
)

// parts returns the number of parts of a demand.
func parts(demand float64) int {
	return max(minParts, int(math.Ceil(min(demand/maxPart, maxParts))))
}

// balance distributes the demand of each model over its holders.
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
	for round := range maxParts {
		distributed := true
		for _, model := range models {
			count := parts(v.Models[model].Demand)
			if round >= count {
				continue
			}
			distributed = false
			demand := v.Models[model].Demand / float64(count)
			least := d.leastUtilised(holders[model], demand)
			part := v.Engines[least].utilisation(demand)
			d.utilisation[least] += part
			if d.shares[model] == nil {
				d.shares[model] = map[string]float64{}
			}
			d.shares[model][least] += part
		}
		if distributed {
			break
		}
	}
	return d
}

// leastUtilised returns the engine with the lowest utilisation after taking
// more demand.
func (d distribution) leastUtilised(names []string, demand float64) string {
	least, lowest := names[0], d.utilisation[names[0]]+d.view.Engines[names[0]].utilisation(demand)
	for _, name := range names[1:] {
		if utilisation := d.utilisation[name] + d.view.Engines[name].utilisation(demand); utilisation < lowest {
			least, lowest = name, utilisation
		}
	}
	return least
}

// modelUtilisation returns the total utilisation of all engines by a model.
func (d distribution) modelUtilisation(model string) float64 {
	total := 0.0
	for _, part := range d.shares[model] {
		total += part
	}
	return total
}

// fewestHoldersFirst lists the models with demand and holders. Models with few
// holders come first, since the others have more engines to choose from.
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

// cost returns the expected demand that an engine does not serve in time, weighted by
// overloadCost, and the latency cost of the rest. Demand is only predicted, so the
// cost rises smoothly around saturation: otherwise a copy on any engine that is
// slightly overloaded would gain nothing.
func cost(utilisation float64) float64 {
	excess := (utilisation - saturation) / saturationSpread
	unserved := saturationSpread * math.Log1p(math.Exp(min(excess, maxExponent)))
	if excess > maxExponent {
		unserved = utilisation - saturation
	}
	return overloadCost*unserved + latencyCost*math.Pow(min(utilisation, saturation), 2)
}

// rebalance redistributes the demand of a few models. All others keep their
// shares, so that plans for large fleets stay fast.
type rebalance struct {
	before distribution
	// after holds only the engines whose utilisation changes.
	after distribution
}

func (d distribution) rebalance() rebalance {
	return rebalance{before: d, after: distribution{view: d.view, utilisation: map[string]float64{}}}
}

// reassign distributes a model's demand over other holders; without any, it is
// lost.
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
	count := parts(model.Demand)
	demand := model.Demand / float64(count)
	for range count {
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

// saving returns by how much the cost falls.
func (r rebalance) saving() float64 {
	total := 0.0
	for name, utilisation := range r.after.utilisation {
		total += cost(r.before.utilisation[name]) - cost(utilisation)
	}
	return total
}

const (
	// saturation is the utilisation above which requests are not served in time, and
	// saturationSpread how uncertain it is.
	saturation       = 0.9
	saturationSpread = 0.2
	// overloadCost is the cost of one engine's worth of demand that is not served in
	// time.
	overloadCost = 5.6
	// latencyCost is the cost of a fully utilised engine's longer waits.
	latencyCost = 0.5
	// maxExponent keeps the exponential finite.
	maxExponent = 30.0
)
