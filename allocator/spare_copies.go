package allocator

import (
	"math/rand/v2"
	"slices"
)

// addFirstCopies gives models a copy before they are requested, where this does
// little harm to others. Each plan tries a few models from another starting
// point, so that models which fit nowhere don't keep others from their turn.
func (p *planner) addFirstCopies() {
	searches := 0
	for _, name := range p.rotatedModels() {
		model := p.view.Models[name]
		if len(p.holders[name]) > 0 {
			continue
		}
		if searches++; searches > maxCopySearches {
			return
		}
		option, found := p.search(model, false, func(engine string, victims []string) float64 {
			return firstCopyGain + p.saving(model, engine, victims)
		})
		if found && option.gain > 0 {
			p.begin(option, "first copy")
		}
	}
}

// adapterWaitGain is the gain of another copy of a model whose adapters have no
// room: more than the longest load costs, less than a copy for an overloaded
// model gains.
const adapterWaitGain = 1.0

// addAdapterRoom adds a copy of models whose holders have no room for adapters
// that requests wait for, one at a time.
func (p *planner) addAdapterRoom() {
	for _, name := range p.rotatedModels() {
		model := p.view.Models[name]
		if model.AdaptersWaitingSince.IsZero() || p.copyArriving(name) {
			continue
		}
		option, found := p.search(model, false, func(engine string, victims []string) float64 {
			return adapterWaitGain + p.saving(model, engine, victims) - p.evictionCost(victims)
		})
		if found && option.gain > 0 {
			p.begin(option, "adapters wait")
		}
	}
}

// copyArriving reports whether a copy of a model is being loaded, or is so new
// that adapters can't have been loaded beside it yet.
func (p *planner) copyArriving(name string) bool {
	return slices.ContainsFunc(p.holders[name], func(holder string) bool {
		engine := p.view.Engines[holder]
		held := engine.Copies[name]
		return held == nil || engine.Loading == name || p.view.Now.Sub(held.Since) < minResidency
	})
}

// rotatedModels lists all models from a starting point that changes over time.
// It is pseudo-random, so that it does not depend on the interval between
// plans.
func (p *planner) rotatedModels() []string {
	if len(p.models) == 0 {
		return nil
	}
	random := rand.New(rand.NewPCG(uint64(p.view.Now.UnixNano()), 0))
	start := random.IntN(len(p.models))
	return append(slices.Clone(p.models[start:]), p.models[:start]...)
}

// addSecondCopies loads a model that only one engine has cached on a second one
// before there is demand for it: a load from the store takes longest just when
// demand rises.
func (p *planner) addSecondCopies() {
	if len(p.moves) > 0 || p.view.StoreLoads <= reservedStoreLoads {
		return
	}
	counts := p.view.copyCounts()
	searches := 0
	for _, name := range p.rotatedModels() {
		if counts[name] >= minCopies {
			continue
		}
		if searches++; searches > maxCopySearches {
			return
		}
		model := p.view.Models[name]
		option, found := p.search(model, false, func(engine string, victims []string) float64 {
			if !p.haveSpareCopies(victims) {
				return -secondCopyGain
			}
			return secondCopyGain + p.saving(model, engine, victims) - p.evictionCost(victims)
		})
		if found && option.gain > 0 {
			p.begin(option, "second copy")
			return
		}
	}
}

const (
	// minCopies is how many engines should have a copy of each model, in memory
	// or on disk.
	minCopies = 2
	// reservedStoreLoads is how many loads from the store are left for demand.
	reservedStoreLoads = 2
	// secondCopyGain is the gain of a second cached copy: more than a load from
	// the store costs, and less than any harm to models in use.
	secondCopyGain = 0.5
)

// haveSpareCopies reports whether all victims have a copy to spare.
func (p *planner) haveSpareCopies(victims []string) bool {
	return !slices.ContainsFunc(victims, func(name string) bool { return len(p.holders[name]) < minCopiesToSpare })
}

// minCopiesToSpare is how many copies a model needs to spare one.
const minCopiesToSpare = 3

// copyCounts returns how many engines have or will have a copy of each model.
func (v *View) copyCounts() map[string]int {
	counts := make(map[string]int, len(v.Models))
	for _, engine := range v.Engines {
		if !engine.Leaving {
			engine.forEachCopy(func(model string) { counts[model]++ })
		}
	}
	return counts
}

// firstCopyGain is the gain of a first copy that no request waits for yet.
const firstCopyGain = 0.3
