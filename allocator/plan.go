package allocator

import (
	"maps"
	"slices"
	"time"
)

const (
	// minGain is the least fall of the pain for which a copy is moved. Half
	// an engine's work that moves to an idle engine gains a quarter.
	minGain = 0.1
	// minModelIdleTime is how long a model must not have been asked for before its
	// last copy may make way for one that requests wait for, and only where a
	// copy stays on a disk.
	minModelIdleTime = 10 * time.Second
	// minResidency is how long a copy stays before it may make way, so that
	// copies don't change places with every wave of demand.
	minResidency = 4 * time.Second
	// loadTimePenalty is the gain that a second of loading time must be worth.
	loadTimePenalty = 0.05
	// waitTimePenalty is the same where requests wait already.
	waitTimePenalty = 0.3
	// minDemand is the demand from which on further copies are thought of, in
	// engines kept busy: below it, one copy does.
	minDemand = 0.2
	// victimCost is what it costs that a copy which is in use makes way: its
	// runs end first, and nothing is served there meanwhile.
	victimCost = 1.0
	// minHolderUtilisation is the work of a holder from which on a model is thought of
	// as pressed.
	minHolderUtilisation = 0.4
	// maxModels and mostEngines bound what one change is chosen among, so that a
	// plan for a large fleet stays short. Models that fit nowhere and engines that
	// can't make room don't count.
	maxModels  = 8
	maxEngines = 16
	// maxCopySearches bounds the first copies that one plan looks for, and the second
	// ones.
	maxCopySearches = 4
	// maxAdditions bounds the changes that one plan begins.
	maxAdditions = 3
)

// Plan returns the moves to begin now, the most urgent first.
func Plan(view *View) []Move {
	p := planner{
		view:    view,
		engines: slices.Sorted(maps.Keys(view.Engines)),
		models:  slices.Sorted(maps.Keys(view.Models)),
	}
	p.holders = view.holders(p.engines)
	p.unloadDrained()
	p.loadPlanned()
	p.addAwaited()
	p.addAdapterRoom()
	p.relieveOverloaded()
	p.addFirstCopies()
	p.addSecondCopies()
	return p.moves
}

type planner struct {
	view *View
	// engines and models are all names, in ascending order.
	engines []string
	models  []string
	holders map[string][]string
	// balanced is the demand spread over the holders, byWork the engines in the
	// order of their work, and uses what the engines hold in the order of its use;
	// nil after a change.
	balanced      *distribution
	byUtilisation []string
	uses          map[string][]string
	moves         []Move
	// moved are engines that a move of this plan concerns.
	moved map[string]bool
}

// distribution returns how the demand falls on the holders.
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

// unloadDrained unloads what gets no more requests.
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

// maxDrainTime is how long the runs of a copy that makes way are waited for. An
// engine that is ordered to unload before waits for them itself, and takes no
// other order meanwhile.
const maxDrainTime = 4 * time.Second

// drained says whether a copy that gets no more requests can be unloaded.
func (p *planner) drained(held *Copy) bool {
	if p.view.Now.Before(held.DrainedFrom) {
		return false
	}
	return held.InFlight == 0 || p.view.Now.Sub(held.DrainedFrom) >= maxDrainTime
}

// loadPlanned loads what others have made way for.
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

// load begins a load where the weight store has no say or room for it.
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

// addAwaited loads models that requests wait for and that nobody holds, those
// that have been waited for longest first.
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

// wantedGain is the worth of the first copy of a model that requests wait for,
// beside its work: more than the longest load costs. wantedRise is what it gains
// with each second of waiting. A model that is asked for rarely waits a little
// rather than take the place of one that is pressed, and not for long.
const (
	awaitedGain          = 4.0
	awaitedGainPerSecond = 1.0
)

// option is a way to add a copy of a model.
type option struct {
	engine string
	model  *Model
	// victims must make way first; nil where there is room.
	victims []string
	gain    float64
}

// relieveOverloaded adds copies of models whose holders have too much to do.
func (p *planner) relieveOverloaded() {
	for range maxAdditions {
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

// overloaded lists the models whose holders have most to do, the most pressed
// first.
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

// bestFurtherCopy is the best way to add a copy of a model that has some.
func (p *planner) bestFurtherCopy(model *Model) (option, bool) {
	return p.search(model, false, func(engine string, victims []string) float64 {
		return p.saving(model, engine, victims) - p.evictionCost(victims)
	})
}

// evictionCost is what it costs that copies make way.
func (p *planner) evictionCost(victims []string) float64 {
	total := 0.0
	for _, victim := range victims {
		total += victimCost * p.demandPerCopy(victim)
	}
	return total
}

// saving is by how much the pain falls where a model gets another holder and
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

// bestFirstCopy is the best place for the first copy of a model. Without one, all its work
// is lost.
func (p *planner) bestFirstCopy(model *Model) (option, bool) {
	gain := awaitedGain + awaitedGainPerSecond*p.view.Now.Sub(model.WaitingSince).Seconds() + overloadCost*model.Demand
	return p.search(model, true, func(engine string, victims []string) float64 {
		return gain + p.saving(model, engine, victims) - p.evictionCost(victims) - p.lastCopyCount(engine, victims)
	})
}

// lastCopyCount counts the victims that would have no copy left.
func (p *planner) lastCopyCount(engine string, victims []string) float64 {
	count := 0.0
	for _, victim := range victims {
		if len(without(p.holders[victim], engine)) == 0 {
			count++
		}
	}
	return count
}

// begin begins an option: with the drop of its victims, or with the load.
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
