package placer

import "maps"

// Rules of the forecast.
const (
	// missFreeUtilisation is the utilisation up to which all requests meet their
	// targets.
	missFreeUtilisation = 0.7
	// missGrowth is the growth of misses with the square of the utilisation
	// above missFreeUtilisation.
	missGrowth = 1.0
	// spreadRounds is the number of iterations in which demand is spread over
	// holders.
	spreadRounds = 6
	// minWeight keeps a small part of the demand for a name on each holder.
	minWeight = 0.05
)

// scenario is a possible placement, with the demand for it.
type scenario struct {
	slots []float64
	// demand is in concurrent requests by model or adapter.
	demand map[string]float64
	// holders are engine indexes by model or adapter.
	holders map[string][]int
}

// without returns the scenario in which an engine does not hold some names.
func (s scenario) without(engine int, names []string) scenario {
	next := s
	next.holders = maps.Clone(s.holders)
	for _, name := range names {
		var kept []int
		for _, holder := range s.holders[name] {
			if holder != engine {
				kept = append(kept, holder)
			}
		}
		next.holders[name] = kept
	}
	return next
}

// with returns the scenario in which an engine holds additional names.
func (s scenario) with(engine int, names []string) scenario {
	next := s.without(engine, names)
	for _, name := range names {
		next.holders[name] = append(next.holders[name], engine)
	}
	return next
}

// forecast is the predicted distribution of a scenario's demand over engines.
type forecast struct {
	// inFlight is in concurrent requests by engine.
	inFlight []float64
	// missed is the part of the demand that misses its target, in concurrent
	// requests.
	missed float64
	// missedBy is by model or adapter.
	missedBy map[string]float64
}

// forecast distributes the demand for each name over its holders by their free
// slots.
func (s scenario) forecast(order []string) forecast {
	inFlight := make([]float64, len(s.slots))
	parts := make([][]float64, len(order))
	for i, name := range order {
		holders := s.holders[name]
		parts[i] = make([]float64, len(holders))
		for j, holder := range holders {
			parts[i][j] = s.demand[name] / float64(len(holders))
			inFlight[holder] += parts[i][j]
		}
	}
	for range spreadRounds {
		for i, name := range order {
			s.rebalance(name, parts[i], inFlight)
		}
	}
	return s.summarize(order, parts, inFlight)
}

// rebalance shifts the demand for a name towards its holders with the most free
// slots.
func (s scenario) rebalance(name string, parts, inFlight []float64) {
	holders := s.holders[name]
	if len(holders) < 2 {
		return
	}
	sum := 0.0
	weights := make([]float64, len(holders))
	for j, holder := range holders {
		free := s.slots[holder] - (inFlight[holder] - parts[j])
		weights[j] = max(free, minWeight*s.slots[holder])
		sum += weights[j]
	}
	for j, holder := range holders {
		next := s.demand[name] * weights[j] / sum
		inFlight[holder] += next - parts[j]
		parts[j] = next
	}
}

func (s scenario) summarize(order []string, parts [][]float64, inFlight []float64) forecast {
	f := forecast{inFlight: inFlight, missedBy: map[string]float64{}}
	for i, name := range order {
		missed := 0.0
		if len(s.holders[name]) == 0 {
			missed = s.demand[name]
		}
		for j, holder := range s.holders[name] {
			missed += parts[i][j] * missShare(inFlight[holder]/s.slots[holder])
		}
		f.missedBy[name] = missed
		f.missed += missed
	}
	return f
}

// missShare returns the share of requests that miss their target at a
// utilisation.
func missShare(utilisation float64) float64 {
	if utilisation <= missFreeUtilisation {
		return 0
	}
	full := missGrowth * (1 - missFreeUtilisation) * (1 - missFreeUtilisation)
	if utilisation <= 1 {
		return missGrowth * (utilisation - missFreeUtilisation) * (utilisation - missFreeUtilisation)
	}
	return 1 - (1-full)/utilisation
}
