package allocator

import (
	"math/rand/v2"
	"slices"
)

// fill gives each model a first copy before anybody asks for it, where that
// hurts no other much. One plan looks for a few; the next ones begin elsewhere,
// so that models which fit nowhere keep no other from its turn.
func (p *planner) fill() {
	looked := 0
	for _, name := range p.inTurn() {
		model := p.view.Models[name]
		if len(p.holders[name]) > 0 {
			continue
		}
		if looked++; looked > fillsAtOnce {
			return
		}
		option, found := p.search(model, false, func(engine string, victims []string) float64 {
			return firstGain + p.fall(model, engine, victims)
		})
		if found && option.gain > 0 {
			p.begin(option, "first copy")
		}
	}
}

// crowdedGain is the worth of a further copy of a model whose adapters find no
// place: more than the longest load costs, less than the work of a pressed copy.
const crowdedGain = 1.0

// relieveCrowded adds a copy of models whose holders have no room for adapters
// that requests wait for, one at a time.
func (p *planner) relieveCrowded() {
	for _, name := range p.inTurn() {
		model := p.view.Models[name]
		if model.CrowdedSince.IsZero() || p.coming(name) {
			continue
		}
		option, found := p.search(model, false, func(engine string, victims []string) float64 {
			return crowdedGain + p.fall(model, engine, victims) - p.disturbance(victims)
		})
		if found && option.gain > 0 {
			p.begin(option, "adapters wait")
		}
	}
}

// coming is true while a copy of a model is on its way, or has come so lately that
// adapters can't have been brought to it.
func (p *planner) coming(name string) bool {
	return slices.ContainsFunc(p.holders[name], func(holder string) bool {
		engine := p.view.Engines[holder]
		held := engine.Copies[name]
		return held == nil || engine.Loading == name || p.view.Now.Sub(held.Since) < settleTime
	})
}

// inTurn lists all models, in an order that begins elsewhere as time passes. The
// beginning is drawn, so that it does not follow the time between plans.
func (p *planner) inTurn() []string {
	if len(p.models) == 0 {
		return nil
	}
	drawn := rand.New(rand.NewPCG(uint64(p.view.Now.UnixNano()), 0))
	first := drawn.IntN(len(p.models))
	return append(slices.Clone(p.models[first:]), p.models[:first]...)
}

// spreadOut brings a model that only one engine keeps to a second one, before
// anybody needs it there: from the store it would take longest just when its
// demand rises.
func (p *planner) spreadOut() {
	if len(p.moves) > 0 || p.view.StoreLoads <= storeReserve {
		return
	}
	keepers := p.view.keepers()
	looked := 0
	for _, name := range p.inTurn() {
		if keepers[name] >= leastKeepers {
			continue
		}
		if looked++; looked > fillsAtOnce {
			return
		}
		model := p.view.Models[name]
		option, found := p.search(model, false, func(engine string, victims []string) float64 {
			if !p.ample(victims) {
				return -spreadGain
			}
			return spreadGain + p.fall(model, engine, victims) - p.disturbance(victims)
		})
		if found && option.gain > 0 {
			p.begin(option, "second copy")
			return
		}
	}
}

const (
	// leastKeepers is how many engines should keep a copy of each model, in
	// memory or on disk.
	leastKeepers = 2
	// storeReserve is how many loads from the store are left for demand.
	storeReserve = 2
	// spreadGain is the worth of a second keeper: more than a load from the
	// store costs, and less than any harm to models that are in use.
	spreadGain = 0.5
)

// ample says whether victims have copies enough for one to be lent.
func (p *planner) ample(victims []string) bool {
	return !slices.ContainsFunc(victims, func(name string) bool { return len(p.holders[name]) < ampleCopies })
}

// ampleCopies is how many copies a model has that lends a place.
const ampleCopies = 3

// keepers counts the engines that keep a copy of each model or will.
func (v *View) keepers() map[string]int {
	count := make(map[string]int, len(v.Models))
	for _, engine := range v.Engines {
		if !engine.Leaving {
			engine.eachKept(func(model string) { count[model]++ })
		}
	}
	return count
}

// firstGain is the worth of a first copy that nobody waits for yet.
const firstGain = 0.3
