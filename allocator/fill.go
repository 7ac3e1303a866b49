package allocator

import (
	"math/rand/v2"
	"slices"
)

// addFirstCopies gives each model a first copy before anybody asks for it, where that
// hurts no other much. One plan looks for a few; the next ones begin elsewhere,
// so that models which fit nowhere keep no other from its turn.
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

// adapterWaitGain is the worth of a further copy of a model whose adapters find no
// place: more than the longest load costs, less than the work of a pressed copy.
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

// copyArriving is true while a copy of a model is on its way, or has come so lately that
// adapters can't have been brought to it.
func (p *planner) copyArriving(name string) bool {
	return slices.ContainsFunc(p.holders[name], func(holder string) bool {
		engine := p.view.Engines[holder]
		held := engine.Copies[name]
		return held == nil || engine.Loading == name || p.view.Now.Sub(held.Since) < minResidency
	})
}

// rotatedModels lists all models, in an order that begins elsewhere as time passes. The
// beginning is drawn, so that it does not follow the time between plans.
func (p *planner) rotatedModels() []string {
	if len(p.models) == 0 {
		return nil
	}
	random := rand.New(rand.NewPCG(uint64(p.view.Now.UnixNano()), 0))
	start := random.IntN(len(p.models))
	return append(slices.Clone(p.models[start:]), p.models[:start]...)
}

// addSecondCopies brings a model that only one engine keeps to a second one, before
// anybody needs it there: from the store it would take longest just when its
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
			if !p.allReplicated(victims) {
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
	// minCopies is how many engines should keep a copy of each model, in
	// memory or on disk.
	minCopies = 2
	// reservedStoreLoads is how many loads from the store are left for demand.
	reservedStoreLoads = 2
	// secondCopyGain is the worth of a second keeper: more than a load from the
	// store costs, and less than any harm to models that are in use.
	secondCopyGain = 0.5
)

// allReplicated says whether victims have copies enough for one to be lent.
func (p *planner) allReplicated(victims []string) bool {
	return !slices.ContainsFunc(victims, func(name string) bool { return len(p.holders[name]) < replicatedCopies })
}

// replicatedCopies is how many copies a model has that lends a place.
const replicatedCopies = 3

// copyCounts counts the engines that keep a copy of each model or will.
func (v *View) copyCounts() map[string]int {
	counts := make(map[string]int, len(v.Models))
	for _, engine := range v.Engines {
		if !engine.Leaving {
			engine.forEachCopy(func(model string) { counts[model]++ })
		}
	}
	return counts
}

// firstCopyGain is the worth of a first copy that nobody waits for yet.
const firstCopyGain = 0.3
