package placer

import (
	"cmp"
	"slices"
	"time"
)

// Rules of growth.
const (
	// payback is how far ahead the gain of a move is counted.
	payback = 3 * time.Minute
	// watch is how long demand is watched before any move for it.
	watch = 10 * time.Second
	// hottest is how many names, and roomiestEngines how many engines for each,
	// are compared for a move. Those without a place or room don't count.
	hottest         = 4
	roomiestEngines = 4
	// loadingStretch is by how much an engine slows down while it loads.
	loadingStretch = 1.15
	// worth is how many times its cost a move must win.
	worth = 2.0
	// leastWon is the least number of requests that a move must win, and
	// leastShare the least share of all requests for what it moves.
	leastWon   = 10.0
	leastShare = 0.1
)

// candidate is one imagined move for demand.
type candidate struct {
	at   int
	name string
	// won is in requests over the payback time, less the cost.
	won float64
	// room is true where memory has to be freed first.
	room bool
}

// grow plans the one move for demand that wins the most, if it pays.
func (f *fleet) grow() {
	if f.loaded || f.input.Now.Sub(f.state.Began) < watch {
		return
	}
	before := f.scene()
	order := f.names()
	now := before.forecast(order)
	best := candidate{}
	compared := 0
	for _, name := range f.hot(now) {
		places := f.places(name, now)
		if len(places) == 0 {
			continue
		}
		if compared++; compared > hottest {
			break
		}
		for _, at := range places {
			if c, ok := f.weigh(before, now, order, name, at); ok && c.won > best.won {
				best = c
			}
		}
	}
	if best.name == "" {
		return
	}
	e := f.engines[best.at]
	if best.room {
		f.makeRoom(e, best.name, ReasonDemand)
		return
	}
	if f.load(e, best.name, ReasonDemand) {
		f.rest(best.name)
	}
}

// scene returns the placement that is on its way. A model that is coming is
// imagined with all its adapters, as they follow it.
func (f *fleet) scene() scene {
	s := scene{loads: map[string]float64{}, holders: map[string][]int{}}
	for at, e := range f.engines {
		s.slots = append(s.slots, e.slots)
		for name := range e.held {
			s.holders[name] = append(s.holders[name], at)
		}
		for name := range e.coming {
			s.holders[name] = append(s.holders[name], at)
			for _, child := range f.children[name] {
				if !e.held[child] && !e.coming[child] {
					s.holders[child] = append(s.holders[child], at)
				}
			}
		}
	}
	for name, load := range f.state.Loads {
		s.loads[name] = load.standing()
	}
	return s
}

// hot returns the names with the most predicted misses. Adapters count for
// their model too, since a copy of it brings them along.
func (f *fleet) hot(now forecast) []string {
	missed := map[string]float64{}
	for name, m := range now.missedBy {
		missed[name] += m
		if base, adapter := f.base(name); adapter {
			missed[base] += m
		}
	}
	var hot []string
	for _, name := range f.names() {
		if missed[name] > 0 {
			hot = append(hot, name)
		}
	}
	slices.SortStableFunc(hot, func(a, b string) int { return cmp.Compare(missed[b], missed[a]) })
	return hot
}

// places returns the engines that could take a name, the least used first.
func (f *fleet) places(name string, now forecast) []int {
	base, adapter := f.base(name)
	var places []int
	for at, e := range f.engines {
		if e.busy || e.held[name] || e.coming[name] || !f.suits(e, name) || f.reserved(e, name) {
			continue
		}
		if adapter && !e.held[base] {
			continue
		}
		places = append(places, at)
	}
	slices.SortStableFunc(places, func(a, b int) int {
		return cmp.Compare(now.used[a]/f.engines[a].slots, now.used[b]/f.engines[b].slots)
	})
	var roomy []int
	for _, at := range places {
		if len(roomy) < roomiestEngines && f.hasRoom(f.engines[at], name) {
			roomy = append(roomy, at)
		}
	}
	return roomy
}

// hasRoom says whether an engine has room for a name or can make it.
func (f *fleet) hasRoom(e *engine, name string) bool {
	if e.free >= f.bytes(name) {
		return true
	}
	_, can := f.victims(e, name)
	return can
}

// weigh compares what a copy wins with what it costs. It returns false where
// the move is not possible or does not pay.
func (f *fleet) weigh(before scene, now forecast, order []string, name string, at int) (candidate, bool) {
	e := f.engines[at]
	c := candidate{at: at, name: name, room: e.free < f.bytes(name)}
	after := before
	took := f.bundleTime(name)
	if c.room {
		victims, ok := f.victims(e, name)
		if !ok {
			return c, false
		}
		after = after.without(at, victims)
		took += time.Duration(len(victims)) * f.state.unloadTime()
	}
	after = after.including(at, append([]string{name}, f.children[name]...))
	gain := now.missed - after.forecast(order).missed
	seconds := f.meanSeconds()
	gained := gain / seconds * (payback - took).Seconds()
	cost := f.slowdown(now, at) / seconds * took.Seconds()
	c.won = gained - cost
	least := max(leastWon, leastShare*f.familyDemand(name)/seconds*payback.Seconds())
	return c, gained >= worth*cost && gained >= least
}

// bundleTime is how long a name and the adapters that follow it take to load.
func (f *fleet) bundleTime(name string) time.Duration {
	_, adapter := f.base(name)
	took := f.state.loadTime(adapter)
	for _, child := range f.children[name] {
		if f.state.Loads[child].Fast > 0 {
			took += f.state.loadTime(true)
		}
	}
	return took
}

// slowdown is how many requests at once miss more while the engine loads.
func (f *fleet) slowdown(now forecast, at int) float64 {
	utilization := now.used[at] / f.engines[at].slots
	return now.used[at] * (missShare(utilization*loadingStretch) - missShare(utilization))
}

// meanSeconds is the mean time of a request.
func (f *fleet) meanSeconds() float64 {
	arrivals, seconds := 0.0, 0.0
	for _, load := range f.state.Loads {
		arrivals += load.Fast
		seconds += load.Fast * load.Seconds
	}
	if seconds <= 0 {
		return firstSeconds
	}
	return seconds / arrivals
}
