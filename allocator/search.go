package allocator

import (
	"maps"
	"slices"
	"time"
)

// search returns the option with the highest gain among the engines that can
// take a copy of a model.
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
		gain := value(name, victims) - timePenalty(p.timeToServe(engine, model, victims), waiting)
		if !found || gain > best.gain {
			best, found = option{engine: name, model: model, victims: victims, gain: gain}, true
		}
	}
	return best, found
}

// timePenalty returns the gain that justifies a time to serve.
func timePenalty(wait time.Duration, waiting bool) float64 {
	if waiting {
		return waitTimePenalty * wait.Seconds()
	}
	return loadTimePenalty * min(wait, maxPenalisedTime).Seconds()
}

// candidates lists the engines that could take a copy of a model: those with a
// cached copy first, then by ascending utilisation.
func (p *planner) candidates(model *Model) []string {
	var cached, others []string
	for _, name := range p.leastUtilisedFirst() {
		engine := p.view.Engines[name]
		if !engine.AcceptsOrders || engine.Leaving || p.moved[name] || engine.Planned != "" || engine.Copies[model.Name] != nil {
			continue
		}
		if p.software != "" && !engine.RestoresFor(model, p.software, p.view.Models) {
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

// leastUtilisedFirst lists all engines by ascending utilisation.
func (p *planner) leastUtilisedFirst() []string {
	if p.byUtilisation == nil {
		current := p.distribution()
		p.byUtilisation = slices.Clone(p.engines)
		slices.SortStableFunc(p.byUtilisation, func(a, b string) int { return compare(current.utilisation[a], current.utilisation[b]) })
	}
	return p.byUtilisation
}

const (
	// drainEstimate is how long the in-flight requests of a busy copy go on after it
	// gets no more, and drainBusy the number of them from which on that holds.
	drainEstimate = 4 * time.Second
	drainBusy     = 16
	// evictionTime is how long an idle copy takes to be evicted.
	evictionTime = 900 * time.Millisecond
)

// timeToServe returns how long it takes until an engine serves a model.
func (p *planner) timeToServe(engine *Engine, model *Model, victims []string) time.Duration {
	total := engine.LoadTime(model)
	if len(victims) == 0 {
		return total
	}
	inFlight := 0
	for _, victim := range victims {
		inFlight = max(inFlight, engine.Copies[victim].InFlight)
	}
	return total + evictionTime + drainEstimate*time.Duration(min(inFlight, drainBusy))/drainBusy
}

// victims returns the models to evict from an engine, those with the least
// demand per copy first. It returns false if evictions can't make enough room.
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

// leastUsedFirst lists what an engine holds by ascending demand per copy.
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

// evictable reports whether a copy may be evicted. A last copy may be evicted
// only for a model that requests wait for, if it has not been requested for a
// while and a copy on the engine's disk restores it within seconds.
func (p *planner) evictable(engine *Engine, name string, waiting bool) bool {
	held, model := engine.Copies[name], p.view.Models[name]
	if model == nil || engine.Loading == name || p.view.Now.Sub(held.Since) < minResidency {
		return false
	}
	if _, awaited := model.SoftwareWaitingSince[engine.Software]; awaited && !p.heldAt(name, engine.Software, engine.Name) {
		return false
	}
	if p.servedElsewhere(name, engine.Name) {
		return true
	}
	idle := !model.hasWaiters() && p.view.Now.Sub(model.RequestedAt) >= minModelIdleTime
	return waiting && idle && !engine.loadsFromStore(name)
}

// servedElsewhere reports whether another engine serves a model now. A copy
// that is still loading does not count.
func (p *planner) servedElsewhere(model, engine string) bool {
	return slices.ContainsFunc(p.holders[model], func(name string) bool {
		return name != engine && p.view.Engines[name].serves(model)
	})
}
