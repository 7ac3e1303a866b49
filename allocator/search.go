package allocator

import (
	"maps"
	"slices"
	"time"
)

// search looks at all engines that can take a copy of a model.
func (p *planner) search(model *Model, pressing bool, worth func(engine string, victims []string) float64) (option, bool) {
	best, found, fitting := option{}, false, 0
	for _, name := range p.candidates(model) {
		if fitting >= mostEngines {
			break
		}
		engine := p.view.Engines[name]
		victims, fits := p.victims(engine, model, pressing)
		if !fits {
			continue
		}
		fitting++
		penalty := loadPenalty
		if pressing {
			penalty = waitPenalty
		}
		gain := worth(name, victims) - penalty*p.timeTo(engine, model, victims).Seconds()
		if !found || gain > best.gain {
			best, found = option{engine: name, model: model, victims: victims, gain: gain}, true
		}
	}
	return best, found
}

// candidates lists the engines that could take a copy of a model: those that
// keep one first, then those with the least to do.
func (p *planner) candidates(model *Model) []string {
	var kept, others []string
	for _, name := range p.leastFirst() {
		engine := p.view.Engines[name]
		if !engine.Free || engine.Leaving || p.taken[name] || engine.Intended != "" || engine.Copies[model.Name] != nil {
			continue
		}
		switch {
		case !engine.stored(model.Name):
			kept = append(kept, name)
		case p.view.StoreLoads > 0:
			others = append(others, name)
		}
	}
	return append(kept, others...)
}

// leastFirst lists all engines, those with the least to do first.
func (p *planner) leastFirst() []string {
	if p.byWork == nil {
		on := p.spread()
		p.byWork = slices.Clone(p.engines)
		slices.SortStableFunc(p.byWork, func(a, b string) int { return compare(on.engines[a], on.engines[b]) })
	}
	return p.byWork
}

// runTime is how long the requests of a copy that makes way run on: as long as a
// long answer.
const runTime = 4 * time.Second

// timeTo is how long it takes until an engine serves a model.
func (p *planner) timeTo(engine *Engine, model *Model, victims []string) time.Duration {
	total := engine.LoadTime(model)
	for _, victim := range victims {
		if engine.Copies[victim].InFlight > 0 {
			return total + runTime
		}
	}
	return total
}

// victims returns the models that must make way on an engine, those that are
// asked for least first, and false where that can't be.
func (p *planner) victims(engine *Engine, model *Model, pressing bool) ([]string, bool) {
	room := engine.free(p.view.Models)
	var chosen []string
	for _, name := range p.byUse(engine) {
		if room >= model.MemoryBytes {
			break
		}
		held := engine.Copies[name]
		if held.Dropping {
			return nil, false
		}
		if !p.mayGo(engine, name, pressing) {
			continue
		}
		chosen = append(chosen, name)
		room += held.memory(p.view.Models[name])
	}
	return chosen, room >= model.MemoryBytes
}

// byUse lists what an engine holds, the least asked for per copy first.
func (p *planner) byUse(engine *Engine) []string {
	if names, known := p.uses[engine.Name]; known {
		return names
	}
	names := slices.Sorted(maps.Keys(engine.Copies))
	slices.SortStableFunc(names, func(a, b string) int {
		return compare(p.perCopy(a), p.perCopy(b))
	})
	if p.uses == nil {
		p.uses = make(map[string][]string, len(p.engines))
	}
	p.uses[engine.Name] = names
	return names
}

func (p *planner) perCopy(name string) float64 {
	model := p.view.Models[name]
	if model == nil {
		return 0
	}
	return max(model.Work, model.Lasting) / float64(max(1, len(p.holders[name])))
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

// mayGo says whether a copy may make way. The last copy goes only where
// requests wait for what takes its place, nobody has asked for it for a while,
// and a copy on the engine's disk brings it back within seconds.
func (p *planner) mayGo(engine *Engine, name string, pressing bool) bool {
	held, model := engine.Copies[name], p.view.Models[name]
	if model == nil || engine.Loading == name || p.view.Now.Sub(held.Since) < settleTime {
		return false
	}
	if p.servedElsewhere(name, engine.Name) {
		return true
	}
	quiet := !model.wanted() && p.view.Now.Sub(model.AskedAt) >= quietTime
	return pressing && quiet && !engine.stored(name)
}

// servedElsewhere says whether another engine serves a model now. A copy that is
// still to come does not count.
func (p *planner) servedElsewhere(model, engine string) bool {
	return slices.ContainsFunc(p.holders[model], func(name string) bool {
		return name != engine && p.view.Engines[name].serves(model)
	})
}
