package placer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// continueEvictions continues the evictions in progress: with the next unload,
// or with the load once there is room.
func (f *fleet) continueEvictions() {
	evictions := map[string]Eviction{}
	for _, e := range f.engines {
		eviction, ok := f.state.Evictions[e.upstream.Name]
		if !ok || !eviction.Deadline.After(f.input.Now) || e.held[eviction.Name] || e.incoming[eviction.Name] {
			continue
		}
		if f.copies[eviction.Name] > 0 && eviction.Reason != ReasonDemand {
			continue
		}
		e.incoming[eviction.Name] = true
		evictions[e.upstream.Name] = eviction
	}
	f.state.Evictions = evictions
	for _, e := range f.engines {
		if eviction, ok := evictions[e.upstream.Name]; ok && !e.busy {
			f.continueEviction(e, eviction)
		}
	}
}

func (f *fleet) continueEviction(e *engine, eviction Eviction) {
	if e.free >= f.memory(eviction.Name) {
		if f.load(e, eviction.Name, eviction.Reason) {
			f.coolDown(eviction.Name)
		}
		return
	}
	if len(eviction.Victims) == 0 || !f.unload(e, eviction.Victims[0]) {
		delete(f.state.Evictions, e.upstream.Name)
		delete(e.incoming, eviction.Name)
		return
	}
	eviction.Victims = eviction.Victims[1:]
	f.state.Evictions[e.upstream.Name] = eviction
}

// startEviction begins to evict copies from an engine. It returns false if that
// is not possible without a last copy.
func (f *fleet) startEviction(e *engine, name string, reason Reason) bool {
	victims, ok := f.victims(e, name)
	if !ok || len(victims) == 0 || !f.unload(e, victims[0]) {
		return false
	}
	f.state.Evictions[e.upstream.Name] = Eviction{
		Name: name, Reason: reason, Victims: victims[1:],
		Deadline: f.input.Now.Add(evictionTimeout),
	}
	e.incoming[name] = true
	f.coolDown(victims...)
	return true
}

// startCheapestEviction evicts copies from the engine where these have the
// least demand.
func (f *fleet) startCheapestEviction(name string, reason Reason) {
	base, adapter := f.baseModel(name)
	var best *engine
	lowest := 0.0
	for _, e := range f.engines {
		if e.busy || !f.compatible(e, name) || (adapter && !e.held[base]) || f.reservedForOther(e, name) {
			continue
		}
		victims, ok := f.victims(e, name)
		if !ok || len(victims) == 0 {
			continue
		}
		if cost := f.demandPerCopy(victims); best == nil || cost < lowest {
			best, lowest = e, cost
		}
	}
	if best != nil {
		f.startEviction(best, name, reason)
	}
}

func (f *fleet) demandPerCopy(names []string) float64 {
	sum := 0.0
	for _, name := range names {
		sum += f.state.Demand[name].concurrency() / float64(max(1, f.copies[name]))
	}
	return sum
}

// victims returns what to unload from an engine so that a name fits, in this
// order: adapters before their model. It returns false if that is not possible
// without evicting a last copy.
func (f *fleet) victims(e *engine, name string) ([]string, bool) {
	need := f.memory(name) - e.free
	base, _ := f.baseModel(name)
	var victims []string
	for _, group := range f.evictable(e) {
		if need <= 0 {
			break
		}
		if group.model == base || group.model == name {
			continue
		}
		victims = append(victims, group.names...)
		need -= group.memory
	}
	return victims, need <= 0
}

// modelGroup is a model on an engine with its adapters there.
type modelGroup struct {
	model  string
	names  []string
	memory int64
	// cost is its demand per byte.
	cost float64
}

// evictable returns the groups on an engine that may be evicted, by ascending
// cost: each name in them has another copy and is not cooling down.
func (f *fleet) evictable(e *engine) []modelGroup {
	var groups []modelGroup
	for _, model := range slices.Sorted(maps.Keys(e.held)) {
		if _, known := f.input.Catalog.Models[model]; !known {
			continue
		}
		names := append(f.adaptersOn(e, model), model)
		if !f.canEvict(names) {
			continue
		}
		group := modelGroup{model: model, names: names}
		for _, name := range names {
			group.memory += f.memory(name)
		}
		group.cost = f.demandPerCopy(names) / float64(max(1, group.memory))
		groups = append(groups, group)
	}
	slices.SortStableFunc(groups, func(a, b modelGroup) int { return cmp.Compare(a.cost, b.cost) })
	return groups
}

func (f *fleet) canEvict(names []string) bool {
	for _, name := range names {
		if f.copies[name] < 2 || f.coolingDown(name) {
			return false
		}
	}
	return true
}

// cooldown is how long a name that was moved for demand is not moved again.
const cooldown = time.Minute

func (f *fleet) coolDown(names ...string) {
	cooldowns := maps.Clone(f.state.Cooldowns)
	if cooldowns == nil {
		cooldowns = map[string]time.Time{}
	}
	for _, name := range names {
		cooldowns[name] = f.input.Now.Add(cooldown)
	}
	f.state.Cooldowns = cooldowns
}

func (f *fleet) coolingDown(name string) bool { return f.state.Cooldowns[name].After(f.input.Now) }
