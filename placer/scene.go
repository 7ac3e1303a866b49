package placer

import "maps"

// Rules of the forecast.
const (
	// ease is the utilization up to which all requests meet their targets.
	ease = 0.7
	// strain is how fast misses grow with the square of what is above ease.
	strain = 1.0
	// rounds of spreading the loads over the holders.
	rounds = 6
	// leastWeight keeps a little of a load on each holder.
	leastWeight = 0.05
)

// scene is one imagined placement with its loads: who would hold what.
type scene struct {
	slots []float64
	loads map[string]float64
	// holders are indexes of engines by model or adapter.
	holders map[string][]int
}

// without returns the scene in which an engine does not hold some names.
func (s scene) without(at int, names []string) scene {
	next := s
	next.holders = maps.Clone(s.holders)
	for _, name := range names {
		var kept []int
		for _, holder := range s.holders[name] {
			if holder != at {
				kept = append(kept, holder)
			}
		}
		next.holders[name] = kept
	}
	return next
}

// including returns the scene in which an engine holds some more names.
func (s scene) including(at int, names []string) scene {
	next := s.without(at, names)
	for _, name := range names {
		next.holders[name] = append(next.holders[name], at)
	}
	return next
}

// forecast is how the loads of a scene spread.
type forecast struct {
	// used is in requests at once by engine.
	used []float64
	// missed is the part of the demand that misses its target, in requests at
	// once.
	missed float64
	// missedBy is by model or adapter.
	missedBy map[string]float64
}

// forecast spreads each load over its holders by what they have left.
func (s scene) forecast(order []string) forecast {
	used := make([]float64, len(s.slots))
	parts := make([][]float64, len(order))
	for i, name := range order {
		holders := s.holders[name]
		parts[i] = make([]float64, len(holders))
		for j, holder := range holders {
			parts[i][j] = s.loads[name] / float64(len(holders))
			used[holder] += parts[i][j]
		}
	}
	for range rounds {
		for i, name := range order {
			s.spread(name, parts[i], used)
		}
	}
	return s.count(order, parts, used)
}

// spread moves one load towards its holders with the most room.
func (s scene) spread(name string, parts, used []float64) {
	holders := s.holders[name]
	if len(holders) < 2 {
		return
	}
	sum := 0.0
	weights := make([]float64, len(holders))
	for j, holder := range holders {
		left := s.slots[holder] - (used[holder] - parts[j])
		weights[j] = max(left, leastWeight*s.slots[holder])
		sum += weights[j]
	}
	for j, holder := range holders {
		next := s.loads[name] * weights[j] / sum
		used[holder] += next - parts[j]
		parts[j] = next
	}
}

func (s scene) count(order []string, parts [][]float64, used []float64) forecast {
	f := forecast{used: used, missedBy: map[string]float64{}}
	for i, name := range order {
		missed := 0.0
		if len(s.holders[name]) == 0 {
			missed = s.loads[name]
		}
		for j, holder := range s.holders[name] {
			missed += parts[i][j] * missShare(used[holder]/s.slots[holder])
		}
		f.missedBy[name] = missed
		f.missed += missed
	}
	return f
}

// missShare is the share of requests that miss their target on an engine of a
// utilization.
func missShare(utilization float64) float64 {
	if utilization <= ease {
		return 0
	}
	full := strain * (1 - ease) * (1 - ease)
	if utilization <= 1 {
		return strain * (utilization - ease) * (utilization - ease)
	}
	return 1 - (1-full)/utilization
}
