package allocator

import (
	"maps"
	"slices"
	"time"
)

const (
	// minGain is the least reduction in cost for which a copy is added. Moving
	// half an engine's demand to an idle engine gains 0.25.
	minGain = 0.1
	// minModelIdleTime is how long a model must not have been requested before
	// its last copy may be evicted for one that requests wait for, and only if
	// a copy remains on disk.
	minModelIdleTime = 10 * time.Second
	// minResidency is how long a copy stays before it may be evicted, so that
	// copies aren't swapped with every fluctuation in demand.
	minResidency = 4 * time.Second
	// loadTimePenalty is the gain that justifies one second of load time, up to
	// maxPenalisedTime: an overloaded model needs copies however slow the store is.
	loadTimePenalty  = 0.05
	maxPenalisedTime = 12 * time.Second
	// waitTimePenalty is the same if requests are waiting.
	waitTimePenalty = 0.3
	// minDemand is the demand, in fully utilised engines, below which one copy
	// is enough.
	minDemand = 0.2
	// victimCost is the cost of evicting a copy in use, per demand on it: its
	// requests finish first, and nothing is served in its place meanwhile.
	victimCost = 1.0
	// minHolderUtilisation is the utilisation of a holder from which on a model
	// counts as overloaded.
	minHolderUtilisation = 0.4
	// maxModels and maxEngines bound the candidates for one addition, so that
	// plans for large fleets stay fast. Models that fit nowhere and engines
	// that can't make room don't count.
	maxModels  = 8
	maxEngines = 16
	// maxCopySearches bounds the first copies that a plan looks for, and the
	// second copies.
	maxCopySearches = 4
	// A plan adds at most one copy for demand for each enginesPerAddition engines,
	// or minAdditions if that is more.
	minAdditions       = 6
	enginesPerAddition = 8
)

// Plan returns the moves to begin now, the most urgent first.
func Plan(view *View) []Move {
	moves, _ := PlanWithReview(view)
	return moves
}

// PlanWithReview returns the moves as Plan does, and what it found for the models
// with the most demand.
func PlanWithReview(view *View) ([]Move, []Review) {
	p := planner{
		view:    view,
		engines: slices.Sorted(maps.Keys(view.Engines)),
		models:  slices.Sorted(maps.Keys(view.Models)),
	}
	p.holders = view.holders(p.engines)
	p.unloadDrained()
	p.loadPlanned()
	p.addAwaited()
	p.addAwaitedSoftware()
	p.addAdapterRoom()
	p.relieveOverloaded()
	p.addFirstCopies()
	p.addSecondCopies()
	return p.moves, p.reviews
}

type planner struct {
	view *View
	// engines and models are sorted.
	engines []string
	models  []string
	holders map[string][]string
	// balanced is the current distribution, byUtilisation the engines by
	// ascending utilisation, and uses the models on each engine by ascending
	// demand per copy; nil after a change.
	balanced      *distribution
	byUtilisation []string
	uses          map[string][]string
	moves         []Move
	reviews       []Review
	// software is the version of the engines that a search considers; empty for all.
	software string
	// moved are the engines that a move of this plan concerns.
	moved map[string]bool
}

// distribution returns how the demand is distributed over the holders.
func (p *planner) distribution() distribution {
	if p.balanced == nil {
		balanced := p.view.balance(p.holders)
		p.balanced = &balanced
	}
	return *p.balanced
}

func (p *planner) addMove(engine string, move Move) {
	if p.moved == nil {
		p.moved = map[string]bool{}
	}
	p.moved[engine] = true
	p.moves = append(p.moves, move)
}

// unloadDrained unloads copies that have been drained.
func (p *planner) unloadDrained() {
	for _, name := range p.engines {
		engine := p.view.Engines[name]
		if !engine.AcceptsOrders || engine.Leaving {
			continue
		}
		for _, model := range slices.Sorted(maps.Keys(engine.Copies)) {
			held := engine.Copies[model]
			if held.Draining && p.drained(held) && !p.moved[name] {
				p.addMove(name, Unload{Engine: name, Model: model})
			}
		}
	}
}

// maxDrainTime is how long to wait for the in-flight requests of a draining
// copy. An engine that is ordered to unload earlier waits for them itself and
// accepts no other order meanwhile.
const maxDrainTime = 4 * time.Second

// drained reports whether a copy that gets no more requests can be unloaded.
func (p *planner) drained(held *Copy) bool {
	if p.view.Now.Before(held.DrainStart) {
		return false
	}
	return held.InFlight == 0 || p.view.Now.Sub(held.DrainStart) >= maxDrainTime
}

// loadPlanned loads models for which others have been unloaded.
func (p *planner) loadPlanned() {
	for _, name := range p.engines {
		engine := p.view.Engines[name]
		model := p.view.Models[engine.Planned]
		if model == nil || !engine.AcceptsOrders || engine.Leaving || p.moved[name] || engine.draining() {
			continue
		}
		if engine.Copies[model.Name] == nil && engine.freeMemory(p.view.Models) >= model.MemoryBytes {
			p.load(name, model.Name, p.rationale(model, "room was made", 0))
		}
	}
}

// load begins a load, unless it is from the weight store and the store's rate
// does not admit it.
func (p *planner) load(engine, model string, rationale Rationale) {
	fromStore := p.view.Engines[engine].loadsFromStore(model)
	if fromStore && p.view.StoreLoads <= 0 {
		return
	}
	if fromStore {
		p.view.StoreLoads--
	}
	p.addMove(engine, Load{Engine: engine, Model: model, FromStore: fromStore, Rationale: rationale})
}

// addAwaited loads models that requests wait for and no engine holds, the
// longest wait first.
func (p *planner) addAwaited() {
	var awaited []*Model
	for _, name := range p.models {
		if model := p.view.Models[name]; model.hasWaiters() && len(p.holders[name]) == 0 {
			awaited = append(awaited, model)
		}
	}
	slices.SortStableFunc(awaited, func(a, b *Model) int { return a.WaitingSince.Compare(b.WaitingSince) })
	for _, model := range awaited {
		if option, found := p.bestFirstCopy(model); found && option.gain > 0 {
			p.begin(option, "wanted")
		}
	}
}

// addAwaitedSoftware loads models at engines of a software version that streams wait for
// and no engine of it holds.
func (p *planner) addAwaitedSoftware() {
	defer func() { p.software = "" }()
	for _, name := range p.models {
		model := p.view.Models[name]
		for _, software := range slices.Sorted(maps.Keys(model.SoftwareWaitingSince)) {
			if p.heldAt(name, software, "") {
				continue
			}
			p.software = software
			awaited := *model
			awaited.WaitingSince = model.SoftwareWaitingSince[software]
			if option, found := p.bestFirstCopy(&awaited); found && option.gain > 0 {
				p.begin(option, "wanted by streams")
			}
		}
	}
}

// heldAt reports whether an engine of a software version, other than the one named, holds
// a model or soon will.
func (p *planner) heldAt(model, software, except string) bool {
	return slices.ContainsFunc(p.holders[model], func(name string) bool {
		return name != except && p.view.Engines[name].Software == software
	})
}

// awaitedGain is the gain of the first copy of a model that requests wait for,
// beside its demand: more than the longest load costs. awaitedGainPerSecond is
// added for each second of waiting. A rarely requested model thus waits a short
// time rather than displace an overloaded one.
const (
	awaitedGain          = 4.0
	awaitedGainPerSecond = 1.0
)

// option is a way to add a copy of a model.
type option struct {
	engine string
	model  *Model
	// victims must be evicted first; nil if there is room.
	victims []string
	gain    float64
}

// relieveOverloaded adds copies of models whose holders are overloaded.
func (p *planner) relieveOverloaded() {
	if p.view.Review {
		p.review(p.overloaded(p.distribution()))
	}
	for range max(minAdditions, len(p.engines)/enginesPerAddition) {
		var chosen option
		compared := 0
		for _, model := range p.overloaded(p.distribution()) {
			candidate, fits := p.bestFurtherCopy(model)
			if !fits {
				continue
			}
			if compared == 0 || candidate.gain > chosen.gain {
				chosen = candidate
			}
			if compared++; compared >= maxModels {
				break
			}
		}
		if compared == 0 || chosen.gain < minGain {
			return
		}
		p.begin(chosen, "demand")
	}
}

// overloaded lists the models with the most utilised holders, in descending
// order.
func (p *planner) overloaded(current distribution) []*Model {
	utilisation := map[*Model]float64{}
	var models []*Model
	for _, name := range p.models {
		model := p.view.Models[name]
		if current.modelUtilisation(name) < minDemand || len(p.holders[name]) == 0 {
			continue
		}
		for _, holder := range p.holders[name] {
			utilisation[model] = max(utilisation[model], current.utilisation[holder])
		}
		if utilisation[model] >= minHolderUtilisation {
			models = append(models, model)
		}
	}
	slices.SortStableFunc(models, func(a, b *Model) int { return compare(utilisation[b], utilisation[a]) })
	return models
}

// bestFurtherCopy returns the best way to add a copy of a model that has
// holders.
func (p *planner) bestFurtherCopy(model *Model) (option, bool) {
	return p.search(model, false, func(engine string, victims []string) float64 {
		wait := p.timeToServe(p.view.Engines[engine], model, victims).Seconds()
		waitShare := wait / (wait + copyLifetime.Seconds())
		return (1-waitShare)*p.saving(model, engine, victims) + waitShare*p.loss(engine, victims)
	})
}

// copyLifetime is how long a copy is expected to be of use once it serves. Until then
// it gains nothing, while its victims are missed from the start.
const copyLifetime = 16 * time.Second

// loss returns by how much the cost falls, a negative number, if victims lose a
// holder.
func (p *planner) loss(engine string, victims []string) float64 {
	rebalanced := p.distribution().rebalance()
	for _, victim := range victims {
		if other := p.view.Models[victim]; other != nil {
			rebalanced.reassign(other, without(p.holders[victim], engine))
		}
	}
	return rebalanced.saving()
}

// evictionCost returns the cost of evicting copies.
func (p *planner) evictionCost(victims []string) float64 {
	total := 0.0
	for _, victim := range victims {
		total += victimCost * p.demandPerCopy(victim)
	}
	return total
}

// saving returns by how much the cost falls if a model gets another holder and
// victims lose theirs.
func (p *planner) saving(model *Model, engine string, victims []string) float64 {
	rebalanced := p.distribution().rebalance()
	for _, victim := range victims {
		if other := p.view.Models[victim]; other != nil {
			rebalanced.reassign(other, without(p.holders[victim], engine))
		}
	}
	rebalanced.reassign(model, append(slices.Clone(p.holders[model.Name]), engine))
	return rebalanced.saving()
}

// bestFirstCopy returns the best way to add the first copy of a model. Without
// one, all its demand is lost.
func (p *planner) bestFirstCopy(model *Model) (option, bool) {
	gain := awaitedGain + awaitedGainPerSecond*p.view.Now.Sub(model.WaitingSince).Seconds() + overloadCost*model.Demand
	return p.search(model, true, func(engine string, victims []string) float64 {
		return gain + p.saving(model, engine, victims) - p.evictionCost(victims) - p.lastCopyCount(engine, victims)
	})
}

// lastCopyCount returns how many victims would have no copy left.
func (p *planner) lastCopyCount(engine string, victims []string) float64 {
	count := 0.0
	for _, victim := range victims {
		if len(without(p.holders[victim], engine)) == 0 {
			count++
		}
	}
	return count
}

// begin begins an option by draining its victims, or by the load if there are
// none.
func (p *planner) begin(chosen option, reason string) {
	name := chosen.model.Name
	rationale := p.rationale(chosen.model, reason, chosen.gain)
	p.balanced, p.byUtilisation, p.uses = nil, nil, nil
	for _, victim := range chosen.victims {
		p.addMove(chosen.engine, Drain{Engine: chosen.engine, Model: victim, For: name, Rationale: rationale})
		p.holders[victim] = without(p.holders[victim], chosen.engine)
	}
	p.holders[name] = append(p.holders[name], chosen.engine)
	if len(chosen.victims) == 0 {
		p.load(chosen.engine, name, rationale)
	}
}

func (p *planner) rationale(model *Model, reason string, gain float64) Rationale {
	return Rationale{Reason: reason, Demand: model.Demand, Holders: len(p.holders[model.Name]), Gain: gain}
}

func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(other string) bool { return other == name })
}
