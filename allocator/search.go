package allocator

import (
	"maps"
	"slices"
	"time"
)

// search looks at all engines that can take a copy of a model.
func (p *planner) search(model *Model, waiting bool, value func(engine string, victims []string) float64) (option, bool) {
	best, found, fits := option{}, false, 0
	for _, name := range p.candidates(model) {
		if fits >= maxEngines {
			break
		}
		engine := p.view.Engines[name]
		victims, possible := p.victims(engine, model, waiting)
		if !possible {
			continue
		}
		fits++
		penalty := loadTimePenalty
		if waiting {
			penalty = waitTimePenalty
		}
		gain := value(name, victims) - penalty*p.timeToServe(engine, model, victims).Seconds()
		if !found || gain > best.gain {
			best, found = option{engine: name, model: model, victims: victims, gain: gain}, true
		}
	}
	return best, found
}

// candidates lists the engines that could take a copy of a model: those that
// keep one first, then those with the least to do.
func (p *planner) candidates(model *Model) []string {
	var cached, others []string
	for _, name := range p.leastUtilisedFirst() {
		engine := p.view.Engines[name]
		if !engine.AcceptsOrders || engine.Leaving || p.moved[name] || engine.Planned != "" || engine.Copies[model.Name] != nil {
			continue
		}
		switch {
		case !engine.loadsFromStore(model.Name):
			cached = append(cached, name)
		case p.view.StoreLoads > 0:
			others = append(others, name)
		}
	}
	return append(cached, others...)
}

// leastUtilisedFirst lists all engines, those with the least to do first.
func (p *planner) leastUtilisedFirst() []string {
	if p.byUtilisation == nil {
		current := p.distribution()
		p.byUtilisation = slices.Clone(p.engines)
		slices.SortStableFunc(p.byUtilisation, func(a, b string) int { return compare(current.utilisation[a], current.utilisation[b]) })
	}
	return p.byUtilisation
}

// drainEstimate is how long the requests of a copy that makes way run on: as long as a
// long answer.
const drainEstimate = 4 * time.Second

// timeToServe is how long it takes until an engine serves a model.
func (p *planner) timeToServe(engine *Engine, model *Model, victims []string) time.Duration {
	total := engine.LoadTime(model)
	for _, victim := range victims {
		if engine.Copies[victim].InFlight > 0 {
			return total + drainEstimate
		}
	}
	return total
}

// victims returns the models that must make way on an engine, those that are
// asked for least first, and false where that can't be.
func (p *planner) victims(engine *Engine, model *Model, waiting bool) ([]string, bool) {
	free := engine.freeMemory(p.view.Models)
	var chosen []string
	for _, name := range p.leastUsedFirst(engine) {
		if free >= model.MemoryBytes {
			break
		}
		held := engine.Copies[name]
		if held.Draining {
			return nil, false
		}
		if !p.evictable(engine, name, waiting) {
			continue
		}
		chosen = append(chosen, name)
		free += held.memory(p.view.Models[name])
	}
	return chosen, free >= model.MemoryBytes
}

// leastUsedFirst lists what an engine holds, the least asked for per copy first.
func (p *planner) leastUsedFirst(engine *Engine) []string {
	if names, known := p.uses[engine.Name]; known {
		return names
	}
	names := slices.Sorted(maps.Keys(engine.Copies))
	slices.SortStableFunc(names, func(a, b string) int {
		return compare(p.demandPerCopy(a), p.demandPerCopy(b))
	})
	if p.uses == nil {
		p.uses = make(map[string][]string, len(p.engines))
	}
	p.uses[engine.Name] = names
	return names
}

func (p *planner) demandPerCopy(name string) float64 {
	model := p.view.Models[name]
	if model == nil {
		return 0
	}
	return max(model.Demand, model.SlowDemand) / float64(max(1, len(p.holders[name])))
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// evictable says whether a copy may make way. The last copy goes only where
// requests wait for what takes its place, nobody has asked for it for a while,
// and a copy on the engine's disk brings it back within seconds.
func (p *planner) evictable(engine *Engine, name string, waiting bool) bool {
	held, model := engine.Copies[name], p.view.Models[name]
	if model == nil || engine.Loading == name || p.view.Now.Sub(held.Since) < minResidency {
		return false
	}
	if p.servedElsewhere(name, engine.Name) {
		return true
	}
	idle := !model.hasWaiters() && p.view.Now.Sub(model.RequestedAt) >= minModelIdleTime
	return waiting && idle && !engine.loadsFromStore(name)
}

// servedElsewhere says whether another engine serves a model now. A copy that is
// still to come does not count.
func (p *planner) servedElsewhere(model, engine string) bool {
	return slices.ContainsFunc(p.holders[model], func(name string) bool {
		return name != engine && p.view.Engines[name].serves(model)
	})
}
