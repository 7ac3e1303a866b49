package placer

import (
	"cmp"
	"slices"
	"time"
)

// Rules of growth.
const (
	// paybackTime is how far ahead the gain of a move is counted.
	paybackTime = 3 * time.Minute
	// minWatchTime is how long demand is watched before any move for it.
	minWatchTime = 10 * time.Second
	// maxNames is how many names, and roomiestEngines how many engines for each,
	// are compared for a move. Those without a place or room don't count.
	maxNames   = 4
	maxEngines = 4
	// loadingSlowdown is by how much an engine slows down while it loads.
	loadingSlowdown = 1.15
	// minGainRatio is how many times its cost a move must win.
	minGainRatio = 2.0
	// minGain is the least number of requests that a move must win, and
	// leastShare the least share of all requests for what it moves.
	minGain      = 10.0
	minGainShare = 0.1
)

// candidate is one imagined move for demand.
type candidate struct {
	engine int
	name   string
	// gain is in requests over the payback time, less the cost.
	gain float64
	// evicts is true where memory has to be freed first.
	evicts bool
}

// addForDemand plans the one move for demand that wins the most, if it pays.
func (f *fleet) addForDemand() {
	if f.loadPlanned || f.input.Now.Sub(f.state.Start) < minWatchTime {
		return
	}
	current := f.scenario()
	order := f.names()
	predicted := current.forecast(order)
	best := candidate{}
	compared := 0
	for _, name := range f.missedNames(predicted) {
		engines := f.candidateEngines(name, predicted)
		if len(engines) == 0 {
			continue
		}
		if compared++; compared > maxNames {
			break
		}
		for _, i := range engines {
			if c, ok := f.evaluate(current, predicted, order, name, i); ok && c.gain > best.gain {
				best = c
			}
		}
	}
	if best.name == "" {
		return
	}
	e := f.engines[best.engine]
	if best.evicts {
		f.startEviction(e, best.name, ReasonDemand)
		return
	}
	if f.load(e, best.name, ReasonDemand) {
		f.coolDown(best.name)
	}
}

// scenario returns the placement that is on its way. A model that is coming is
// imagined with all its adapters, as they follow it.
func (f *fleet) scenario() scenario {
	s := scenario{loads: map[string]float64{}, holders: map[string][]int{}}
	for i, e := range f.engines {
		s.slots = append(s.slots, e.slots)
		for name := range e.held {
			s.holders[name] = append(s.holders[name], i)
		}
		for name := range e.incoming {
			s.holders[name] = append(s.holders[name], i)
			for _, adapter := range f.adaptersOf[name] {
				if !e.held[adapter] && !e.incoming[adapter] {
					s.holders[adapter] = append(s.holders[adapter], i)
				}
			}
		}
	}
	for name, load := range f.state.Loads {
		s.loads[name] = load.concurrency()
	}
	return s
}

// missedNames returns the names with the most predicted misses. Adapters count for
// their model too, since a copy of it brings them along.
func (f *fleet) missedNames(predicted forecast) []string {
	missed := map[string]float64{}
	for name, m := range predicted.missedBy {
		missed[name] += m
		if base, adapter := f.baseModel(name); adapter {
			missed[base] += m
		}
	}
	var names []string
	for _, name := range f.names() {
		if missed[name] > 0 {
			names = append(names, name)
		}
	}
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(missed[b], missed[a]) })
	return names
}

// candidateEngines returns the engines that could take a name, the least used first.
func (f *fleet) candidateEngines(name string, predicted forecast) []int {
	base, adapter := f.baseModel(name)
	var engines []int
	for i, e := range f.engines {
		if e.busy || e.held[name] || e.incoming[name] || !f.compatible(e, name) || f.reservedForOther(e, name) {
			continue
		}
		if adapter && !e.held[base] {
			continue
		}
		engines = append(engines, i)
	}
	slices.SortStableFunc(engines, func(a, b int) int {
		return cmp.Compare(predicted.inFlight[a]/f.engines[a].slots, predicted.inFlight[b]/f.engines[b].slots)
	})
	var withRoom []int
	for _, i := range engines {
		if len(withRoom) < maxEngines && f.hasRoom(f.engines[i], name) {
			withRoom = append(withRoom, i)
		}
	}
	return withRoom
}

// hasRoom says whether an engine has room for a name or can make it.
func (f *fleet) hasRoom(e *engine, name string) bool {
	if e.free >= f.memory(name) {
		return true
	}
	_, possible := f.victims(e, name)
	return possible
}

// evaluate compares what a copy wins with what it costs. It returns false where
// the move is not possible or does not pay.
func (f *fleet) evaluate(current scenario, predicted forecast, order []string, name string, i int) (candidate, bool) {
	e := f.engines[i]
	c := candidate{engine: i, name: name, evicts: e.free < f.memory(name)}
	after := current
	duration := f.loadTimeWithAdapters(name)
	if c.evicts {
		victims, ok := f.victims(e, name)
		if !ok {
			return c, false
		}
		after = after.without(i, victims)
		duration += time.Duration(len(victims)) * f.state.unloadTime()
	}
	after = after.with(i, append([]string{name}, f.adaptersOf[name]...))
	reduction := predicted.missed - after.forecast(order).missed
	seconds := f.meanRequestSeconds()
	gained := reduction / seconds * (paybackTime - duration).Seconds()
	cost := f.missesWhileLoading(predicted, i) / seconds * duration.Seconds()
	c.gain = gained - cost
	required := max(minGain, minGainShare*f.demandWithAdapters(name)/seconds*paybackTime.Seconds())
	return c, gained >= minGainRatio*cost && gained >= required
}

// loadTimeWithAdapters is how long a name and the adapters that follow it take to load.
func (f *fleet) loadTimeWithAdapters(name string) time.Duration {
	_, adapter := f.baseModel(name)
	duration := f.state.loadTime(adapter)
	for _, adapterName := range f.adaptersOf[name] {
		if f.state.Loads[adapterName].Fast > 0 {
			duration += f.state.loadTime(true)
		}
	}
	return duration
}

// missesWhileLoading is how many requests at once miss more while the engine loads.
func (f *fleet) missesWhileLoading(predicted forecast, i int) float64 {
	utilisation := predicted.inFlight[i] / f.engines[i].slots
	return predicted.inFlight[i] * (missShare(utilisation*loadingSlowdown) - missShare(utilisation))
}

// meanRequestSeconds is the mean time of a request.
func (f *fleet) meanRequestSeconds() float64 {
	arrivals, seconds := 0.0, 0.0
	for _, load := range f.state.Loads {
		arrivals += load.Fast
		seconds += load.Fast * load.Seconds
	}
	if seconds <= 0 {
		return initialSeconds
	}
	return seconds / arrivals
}
