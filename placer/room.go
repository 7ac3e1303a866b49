package placer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// continueRooms goes on with the engines on which memory is being freed: the
// next unload, or the load itself once there is room.
func (f *fleet) continueRooms() {
	rooms := map[string]Room{}
	for _, e := range f.engines {
		room, ok := f.state.Rooms[e.about.Name]
		if !ok || !room.Until.After(f.input.Now) || e.held[room.Name] || e.coming[room.Name] {
			continue
		}
		if f.copies[room.Name] > 0 && room.Reason != ReasonDemand {
			continue
		}
		e.coming[room.Name] = true
		rooms[e.about.Name] = room
	}
	f.state.Rooms = rooms
	for _, e := range f.engines {
		if room, ok := rooms[e.about.Name]; ok && !e.busy {
			f.continueRoom(e, room)
		}
	}
}

func (f *fleet) continueRoom(e *engine, room Room) {
	if e.free >= f.bytes(room.Name) {
		if f.load(e, room.Name, room.Reason) {
			f.rest(room.Name)
		}
		return
	}
	if len(room.Victims) == 0 || !f.unload(e, room.Victims[0]) {
		delete(f.state.Rooms, e.about.Name)
		delete(e.coming, room.Name)
		return
	}
	room.Victims = room.Victims[1:]
	f.state.Rooms[e.about.Name] = room
}

// makeRoom begins to free memory on an engine. It returns false if that is
// not possible without evicting a last copy.
func (f *fleet) makeRoom(e *engine, name string, reason Reason) bool {
	victims, ok := f.victims(e, name)
	if !ok || len(victims) == 0 || !f.unload(e, victims[0]) {
		return false
	}
	f.state.Rooms[e.about.Name] = Room{
		Name: name, Reason: reason, Victims: victims[1:],
		Until: f.input.Now.Add(roomTime),
	}
	e.coming[name] = true
	f.rest(victims...)
	return true
}

// makeRoomAnywhere frees memory on the engine where that costs the least
// demand.
func (f *fleet) makeRoomAnywhere(name string, reason Reason) {
	base, adapter := f.base(name)
	var best *engine
	least := 0.0
	for _, e := range f.engines {
		if e.busy || !f.suits(e, name) || (adapter && !e.held[base]) || f.reserved(e, name) {
			continue
		}
		victims, ok := f.victims(e, name)
		if !ok || len(victims) == 0 {
			continue
		}
		if cost := f.demandOf(victims); best == nil || cost < least {
			best, least = e, cost
		}
	}
	if best != nil {
		f.makeRoom(best, name, reason)
	}
}

func (f *fleet) demandOf(names []string) float64 {
	sum := 0.0
	for _, name := range names {
		sum += f.state.Loads[name].standing() / float64(max(1, f.copies[name]))
	}
	return sum
}

// victims returns what to unload from an engine so that a name fits, in the
// order of the unloads: adapters before their model. It returns false where
// that is not possible without evicting a last copy.
func (f *fleet) victims(e *engine, name string) ([]string, bool) {
	need := f.bytes(name) - e.free
	base, _ := f.base(name)
	var victims []string
	for _, family := range f.evictable(e) {
		if need <= 0 {
			break
		}
		if family.model == base || family.model == name {
			continue
		}
		victims = append(victims, family.names...)
		need -= family.bytes
	}
	return victims, need <= 0
}

// family is a model on an engine with its adapters there.
type family struct {
	model string
	names []string
	bytes int64
	// cost is the demand of its share, for each byte.
	cost float64
}

// evictable returns the families on an engine that may go: each name in them
// has another copy and does not rest. The cheapest comes first.
func (f *fleet) evictable(e *engine) []family {
	var families []family
	for _, model := range slices.Sorted(maps.Keys(e.held)) {
		if _, known := f.input.Catalog.Models[model]; !known {
			continue
		}
		names := append(f.on(e, model), model)
		if !f.mayGo(names) {
			continue
		}
		made := family{model: model, names: names}
		for _, name := range names {
			made.bytes += f.bytes(name)
		}
		made.cost = f.demandOf(names) / float64(max(1, made.bytes))
		families = append(families, made)
	}
	slices.SortStableFunc(families, func(a, b family) int { return cmp.Compare(a.cost, b.cost) })
	return families
}

func (f *fleet) mayGo(names []string) bool {
	for _, name := range names {
		if f.copies[name] < 2 || f.rests(name) {
			return false
		}
	}
	return true
}

// restTime is how long a name that was moved for demand is left alone.
const restTime = time.Minute

func (f *fleet) rest(names ...string) {
	rests := maps.Clone(f.state.Rests)
	if rests == nil {
		rests = map[string]time.Time{}
	}
	for _, name := range names {
		rests[name] = f.input.Now.Add(restTime)
	}
	f.state.Rests = rests
}

func (f *fleet) rests(name string) bool { return f.state.Rests[name].After(f.input.Now) }
