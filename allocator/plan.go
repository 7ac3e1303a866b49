package allocator

import (
	"maps"
	"slices"
	"time"
)

const (
	// leastGain is the least fall of the pain for which a copy is moved. Half
	// an engine's work that moves to an idle engine gains a quarter.
	leastGain = 0.1
	// quietTime is how long a model must not have been asked for before its
	// last copy may make way for one that requests wait for, and only where a
	// copy stays on a disk.
	quietTime = 10 * time.Second
	// settleTime is how long a copy stays before it may make way, so that
	// copies don't change places with every wave of demand.
	settleTime = 4 * time.Second
	// loadPenalty is the gain that a second of loading time must be worth.
	loadPenalty = 0.05
	// waitPenalty is the same where requests wait already.
	waitPenalty = 0.3
	// leastWork is the demand from which on further copies are thought of, in
	// engines kept busy: below it, one copy does.
	leastWork = 0.2
	// victimWeight is what it costs that a copy which is in use makes way: its
	// runs end first, and nothing is served there meanwhile.
	victimWeight = 1.0
	// leastPressure is the work of a holder from which on a model is thought of
	// as pressed.
	leastPressure = 0.4
	// mostModels and mostEngines bound what one change is chosen among, so that a
	// plan for a large fleet stays short. Models that fit nowhere and engines that
	// can't make room don't count.
	mostModels  = 8
	mostEngines = 16
	// fillsAtOnce bounds the first copies that one plan looks for, and the second
	// ones.
	fillsAtOnce = 4
	// movesAtOnce bounds the changes that one plan begins.
	movesAtOnce = 3
)

// Plan returns the moves to begin now, the most urgent first.
func Plan(view *View) []Move {
	p := planner{
		view:    view,
		engines: slices.Sorted(maps.Keys(view.Engines)),
		models:  slices.Sorted(maps.Keys(view.Models)),
	}
	p.holders = view.holders(p.engines)
	p.finishDrops()
	p.loadIntended()
	p.serveWanted()
	p.relieveCrowded()
	p.follow()
	p.fill()
	p.spreadOut()
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
	balanced *spread
	byWork   []string
	uses     map[string][]string
	moves    []Move
	// taken are engines that a move of this plan concerns.
	taken map[string]bool
}

// spread returns how the demand falls on the holders.
func (p *planner) spread() spread {
	if p.balanced == nil {
		balanced := p.view.balance(p.holders)
		p.balanced = &balanced
	}
	return *p.balanced
}

func (p *planner) take(engine string, move Move) {
	if p.taken == nil {
		p.taken = map[string]bool{}
	}
	p.taken[engine] = true
	p.moves = append(p.moves, move)
}

// finishDrops unloads what gets no more requests.
func (p *planner) finishDrops() {
	for _, name := range p.engines {
		engine := p.view.Engines[name]
		if !engine.Free || engine.Leaving {
			continue
		}
		for _, model := range slices.Sorted(maps.Keys(engine.Copies)) {
			held := engine.Copies[model]
			if held.Dropping && p.drained(held) && !p.taken[name] {
				p.take(name, Unload{Engine: name, Model: model})
			}
		}
	}
}

// drainTime is how long the runs of a copy that makes way are waited for. An
// engine that is ordered to unload before waits for them itself, and takes no
// other order meanwhile.
const drainTime = 4 * time.Second

// drained says whether a copy that gets no more requests can be unloaded.
func (p *planner) drained(held *Copy) bool {
	if p.view.Now.Before(held.Dropped) {
		return false
	}
	return held.InFlight == 0 || p.view.Now.Sub(held.Dropped) >= drainTime
}

// loadIntended loads what others have made way for.
func (p *planner) loadIntended() {
	for _, name := range p.engines {
		engine := p.view.Engines[name]
		model := p.view.Models[engine.Intended]
		if model == nil || !engine.Free || engine.Leaving || p.taken[name] || engine.dropping() {
			continue
		}
		if engine.Copies[model.Name] == nil && engine.free(p.view.Models) >= model.MemoryBytes {
			p.load(name, model.Name, p.why(model, "room was made", 0))
		}
	}
}

// load begins a load where the weight store has no say or room for it.
func (p *planner) load(engine, model string, why Why) {
	fromStore := p.view.Engines[engine].stored(model)
	if fromStore && p.view.StoreLoads <= 0 {
		return
	}
	if fromStore {
		p.view.StoreLoads--
	}
	p.take(engine, Load{Engine: engine, Model: model, FromStore: fromStore, Why: why})
}

// serveWanted loads models that requests wait for and that nobody holds, those
// that have been waited for longest first.
func (p *planner) serveWanted() {
	var wanted []*Model
	for _, name := range p.models {
		if model := p.view.Models[name]; model.wanted() && len(p.holders[name]) == 0 {
			wanted = append(wanted, model)
		}
	}
	slices.SortStableFunc(wanted, func(a, b *Model) int { return a.WantedSince.Compare(b.WantedSince) })
	for _, model := range wanted {
		if option, found := p.best(model); found && option.gain > 0 {
			p.begin(option, "wanted")
		}
	}
}

// wantedGain is the worth of the first copy of a model that requests wait for,
// beside its work: more than the longest load costs. wantedRise is what it gains
// with each second of waiting. A model that is asked for rarely waits a little
// rather than take the place of one that is pressed, and not for long.
const (
	wantedGain = 4.0
	wantedRise = 1.0
)

// option is a way to add a copy of a model.
type option struct {
	engine string
	model  *Model
	// victims must make way first; nil where there is room.
	victims []string
	gain    float64
}

// follow adds copies of models whose holders have too much to do.
func (p *planner) follow() {
	for range movesAtOnce {
		var chosen option
		compared := 0
		for _, model := range p.pressed(p.spread()) {
			candidate, fits := p.relief(model)
			if !fits {
				continue
			}
			if compared == 0 || candidate.gain > chosen.gain {
				chosen = candidate
			}
			if compared++; compared >= mostModels {
				break
			}
		}
		if compared == 0 || chosen.gain < leastGain {
			return
		}
		p.begin(chosen, "demand")
	}
}

// pressed lists the models whose holders have most to do, the most pressed
// first.
func (p *planner) pressed(on spread) []*Model {
	pressure := map[*Model]float64{}
	var models []*Model
	for _, name := range p.models {
		model := p.view.Models[name]
		if on.demand(name) < leastWork || len(p.holders[name]) == 0 {
			continue
		}
		for _, holder := range p.holders[name] {
			pressure[model] = max(pressure[model], on.engines[holder])
		}
		if pressure[model] >= leastPressure {
			models = append(models, model)
		}
	}
	slices.SortStableFunc(models, func(a, b *Model) int { return compare(pressure[b], pressure[a]) })
	return models
}

// relief is the best way to add a copy of a model that has some.
func (p *planner) relief(model *Model) (option, bool) {
	return p.search(model, false, func(engine string, victims []string) float64 {
		return p.fall(model, engine, victims) - p.disturbance(victims)
	})
}

// disturbance is what it costs that copies make way.
func (p *planner) disturbance(victims []string) float64 {
	total := 0.0
	for _, victim := range victims {
		total += victimWeight * p.perCopy(victim)
	}
	return total
}

// fall is by how much the pain falls where a model gets another holder and
// victims lose theirs.
func (p *planner) fall(model *Model, engine string, victims []string) float64 {
	changed := p.spread().change()
	for _, victim := range victims {
		if other := p.view.Models[victim]; other != nil {
			changed.move(other, without(p.holders[victim], engine))
		}
	}
	changed.move(model, append(slices.Clone(p.holders[model.Name]), engine))
	return changed.fall()
}

// best is the best place for the first copy of a model. Without one, all its work
// is lost.
func (p *planner) best(model *Model) (option, bool) {
	gain := wantedGain + wantedRise*p.view.Now.Sub(model.WantedSince).Seconds() + lostWeight*model.Work
	return p.search(model, true, func(engine string, victims []string) float64 {
		return gain + p.fall(model, engine, victims) - p.disturbance(victims) - p.lastCopies(engine, victims)
	})
}

// lastCopies counts the victims that would have no copy left.
func (p *planner) lastCopies(engine string, victims []string) float64 {
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
	why := p.why(chosen.model, reason, chosen.gain)
	p.balanced, p.byWork, p.uses = nil, nil, nil
	for _, victim := range chosen.victims {
		p.take(chosen.engine, Drop{Engine: chosen.engine, Model: victim, For: name, Why: why})
		p.holders[victim] = without(p.holders[victim], chosen.engine)
	}
	p.holders[name] = append(p.holders[name], chosen.engine)
	if len(chosen.victims) == 0 {
		p.load(chosen.engine, name, why)
	}
}

func (p *planner) why(model *Model, reason string, gain float64) Why {
	return Why{Reason: reason, Work: model.Work, Holders: len(p.holders[model.Name]), Gain: gain}
}

func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(one string) bool { return one == name })
}
