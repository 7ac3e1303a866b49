package allocator

import (
	"cmp"
	"slices"
)

// Review is what a plan found for a model whose holders are overloaded.
type Review struct {
	Model   string
	Demand  float64
	Holders int
	// Utilisation is that of the most utilised holder.
	Utilisation float64
	// Options counts the engines that could take a copy, and BestGain is the gain of
	// the best of them, zero if there are none.
	Options  int
	BestGain float64
	// Blocked counts the other engines without a copy by the reason why they could
	// not.
	Blocked map[Obstacle]int
}

// Obstacle is why an engine can't take a copy of a model.
type Obstacle string

const (
	// ObstacleBusy engines take no order now.
	ObstacleBusy Obstacle = "busy"
	// ObstaclePlanned engines make room for another model.
	ObstaclePlanned Obstacle = "planned"
	// ObstacleStore means that the store's rate admits no load.
	ObstacleStore Obstacle = "store"
	// ObstacleFull engines hold only copies that may not be evicted.
	ObstacleFull Obstacle = "full"
)

// maxReviews bounds the reviews of a plan.
const maxReviews = 4

// review records what a plan found for the models with the most demand.
func (p *planner) review(models []*Model) {
	byDemand := slices.Clone(models)
	slices.SortStableFunc(byDemand, func(a, b *Model) int { return cmp.Compare(b.Demand, a.Demand) })
	for _, model := range byDemand[:min(maxReviews, len(byDemand))] {
		r := Review{Model: model.Name, Demand: model.Demand, Holders: len(p.holders[model.Name]), Blocked: map[Obstacle]int{}}
		for _, holder := range p.holders[model.Name] {
			r.Utilisation = max(r.Utilisation, p.distribution().utilisation[holder])
		}
		p.countOptions(&r, model)
		if best, found := p.bestFurtherCopy(model); found {
			r.BestGain = best.gain
		}
		p.reviews = append(p.reviews, r)
	}
}

// countOptions counts the engines that could take a copy of a model, and the others
// without one by what is in the way.
func (p *planner) countOptions(r *Review, model *Model) {
	for _, name := range p.engines {
		engine := p.view.Engines[name]
		if engine.Leaving || engine.Copies[model.Name] != nil || engine.Planned == model.Name {
			continue
		}
		if obstacle := p.obstacle(engine, model); obstacle != "" {
			r.Blocked[obstacle]++
			continue
		}
		r.Options++
	}
}

// obstacle returns why an engine can't take a copy of a model; empty if it can.
func (p *planner) obstacle(engine *Engine, model *Model) Obstacle {
	switch {
	case !engine.AcceptsOrders || p.moved[engine.Name]:
		return ObstacleBusy
	case engine.Planned != "":
		return ObstaclePlanned
	case engine.loadsFromStore(model.Name) && p.view.StoreLoads <= 0:
		return ObstacleStore
	}
	if _, possible := p.victims(engine, model, false); !possible {
		return ObstacleFull
	}
	return ""
}
