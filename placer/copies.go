package placer

import (
	"cmp"
	"slices"
	"time"
)

// Rules for adding copies.
const (
	// paybackTime is the time within which a move must pay off.
	paybackTime = 3 * time.Minute
	// minWatchTime is how long demand is observed before any move for it.
	minWatchTime = 10 * time.Second
	// maxNames bounds the names, and maxEngines the engines for each name, that
	// are compared for a move. Names that fit nowhere and engines that can't
	// make room don't count.
	maxNames   = 4
	maxEngines = 4
	// loadingSlowdown is the factor by which an engine is slower while it
	// loads.
	loadingSlowdown = 1.15
	// minGainRatio is the least ratio of gain to cost of a move.
	minGainRatio = 2.0
	// minGain is the least number of requests that a move must gain,
	// minGainShare the least fraction of the requests for the loaded name and
	// its adapters.
	minGain      = 10.0
	minGainShare = 0.1
)

// candidate is a possible move for demand.
type candidate struct {
	engine int
	name   string
	// gain is in requests over paybackTime, less the cost.
	gain float64
	// evicts is set if memory must be freed first.
	evicts bool
}

// addForDemand plans the one move for demand with the highest gain, if it pays
// off.
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

// scenario returns the placement after all pending moves. An incoming model
// includes all its adapters, since they are loaded after it.
func (f *fleet) scenario() scenario {
	s := scenario{demand: map[string]float64{}, holders: map[string][]int{}}
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
	for name, demand := range f.state.Demand {
		s.demand[name] = demand.concurrency()
	}
	return s
}

// missedNames returns the names with predicted misses, most misses first.
// Misses of adapters count for their model too, since a copy of it brings them
// along.
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

// candidateEngines returns the engines that could load a name, least utilised
// first.
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

// hasRoom reports whether an engine has or can make room for a name.
func (f *fleet) hasRoom(e *engine, name string) bool {
	if e.free >= f.memory(name) {
		return true
	}
	_, possible := f.victims(e, name)
	return possible
}

// evaluate compares the gain of a copy with its cost. It returns false if the
// move is impossible or does not pay off.
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

// loadTimeWithAdapters returns how long a name and its adapters in demand take
// to load.
func (f *fleet) loadTimeWithAdapters(name string) time.Duration {
	_, adapter := f.baseModel(name)
	duration := f.state.loadTime(adapter)
	for _, adapterName := range f.adaptersOf[name] {
		if f.state.Demand[adapterName].Fast > 0 {
			duration += f.state.loadTime(true)
		}
	}
	return duration
}

// missesWhileLoading returns the additional misses while the engine loads, in
// concurrent requests.
func (f *fleet) missesWhileLoading(predicted forecast, i int) float64 {
	utilisation := predicted.inFlight[i] / f.engines[i].slots
	return predicted.inFlight[i] * (missShare(utilisation*loadingSlowdown) - missShare(utilisation))
}

// meanRequestSeconds returns the mean duration of a request.
func (f *fleet) meanRequestSeconds() float64 {
	arrivals, seconds := 0.0, 0.0
	for _, demand := range f.state.Demand {
		arrivals += demand.Fast
		seconds += demand.Fast * demand.Seconds
	}
	if seconds <= 0 {
		return initialSeconds
	}
	return seconds / arrivals
}
