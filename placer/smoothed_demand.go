package placer

import (
	"maps"
	"math"
	"time"
)

// SmoothedDemand is the demand for one model or adapter, averaged over time.
type SmoothedDemand struct {
	// Fast and Slow are arrivals per second, averaged over a short and a long
	// window. Slow jumps to Fast if the difference is significant, so that it
	// rises quickly and falls slowly.
	Fast float64
	Slow float64
	// Seconds is the mean duration of a request at its upstream.
	Seconds float64
}

// Averaging of demand.
const (
	fastWindow = 8 * time.Second
	slowWindow = 3 * time.Minute
	// initialSeconds is the duration of a request before the first measurement.
	initialSeconds = 3.0
	// typicalPrefillRate and typicalDecodeRate are in tokens per second of one
	// request, for requests whose duration was not measured.
	typicalPrefillRate = 8000.0
	typicalDecodeRate  = 30.0
	// secondsWeight is the weight of new requests in the mean duration, for
	// each plan that has some.
	secondsWeight = 0.05
	// jumpDeviations is how many standard deviations of bursty arrivals are not
	// significant, burstiness the ratio of their variance to that of Poisson
	// arrivals.
	jumpDeviations = 2.5
	burstiness     = 3.0
)

// concurrency returns the demand in concurrent requests.
func (d SmoothedDemand) concurrency() float64 { return d.Slow * d.Seconds }

// jumped reports whether the fast average is significantly above the slow one.
func (d SmoothedDemand) jumped() bool {
	deviation := math.Sqrt(burstiness * max(d.Slow, 1/slowWindow.Seconds()) / (2 * fastWindow.Seconds()))
	return d.Fast > d.Slow+jumpDeviations*deviation
}

// readDemand updates the averages from the counts of the entries.
func (s *State) readDemand(input *Input) {
	added := map[string]Count{}
	entryTotals := map[string]EntryTotals{}
	for entry, demand := range input.Demands {
		totals := make(map[string]Count, len(demand.Counts))
		before, known := s.EntryTotals[entry]
		known = known && before.Since.Equal(demand.Since)
		for name, classes := range demand.Counts {
			totals[name] = total(classes)
			if known {
				added[name] = added[name].Add(totals[name].minus(before.Totals[name]))
			}
		}
		entryTotals[entry] = EntryTotals{Since: demand.Since, Totals: totals}
	}
	elapsed := input.Now.Sub(s.PlannedAt).Seconds()
	if !s.PlannedAt.IsZero() && elapsed > 0 {
		s.smooth(added, elapsed, input.Now.Sub(s.Start).Seconds())
	}
	s.EntryTotals = entryTotals
}

// smooth adds the counts of the last interval to the averages. At the start of
// a state the averages are the mean of all counts so far.
func (s *State) smooth(added map[string]Count, elapsed, age float64) {
	demands := maps.Clone(s.Demand)
	if demands == nil {
		demands = map[string]SmoothedDemand{}
	}
	fast := smoothingWeight(elapsed, min(age, fastWindow.Seconds()))
	slow := smoothingWeight(elapsed, min(age, slowWindow.Seconds()))
	for name := range added {
		if _, known := demands[name]; !known {
			demands[name] = SmoothedDemand{Seconds: initialSeconds}
		}
	}
	for name, demand := range demands {
		count := added[name]
		rate := float64(count.Arrivals) / elapsed
		demand.Fast += fast * (rate - demand.Fast)
		demand.Slow += slow * (rate - demand.Slow)
		if demand.jumped() {
			demand.Slow = demand.Fast
		}
		if count.Ended > 0 {
			demand.Seconds += secondsWeight * (count.meanSeconds() - demand.Seconds)
		}
		demands[name] = demand
	}
	s.Demand = demands
}

// meanSeconds returns the mean duration of ended requests. If it was not
// measured it is estimated from the tokens.
func (c Count) meanSeconds() float64 {
	ended := float64(c.Ended)
	if c.Busy > 0 {
		return c.Busy.Seconds() / ended
	}
	return (float64(c.PromptTokens)/typicalPrefillRate + float64(c.AnswerTokens)/typicalDecodeRate) / ended
}

func smoothingWeight(elapsed, window float64) float64 {
	if window <= elapsed {
		return 1
	}
	return 1 - math.Exp(-elapsed/window)
}

// minus returns what was added to an earlier count.
func (c Count) minus(before Count) Count {
	return Count{
		Arrivals:     c.Arrivals - before.Arrivals,
		Ended:        c.Ended - before.Ended,
		Busy:         c.Busy - before.Busy,
		PromptTokens: c.PromptTokens - before.PromptTokens,
		AnswerTokens: c.AnswerTokens - before.AnswerTokens,
		Refused:      c.Refused - before.Refused,
		Missed:       c.Missed - before.Missed,
	}
}
