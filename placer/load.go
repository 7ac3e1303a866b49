package placer

import (
	"maps"
	"math"
	"time"
)

// Load is the smoothed demand for one model or adapter.
type Load struct {
	// Fast and Slow are arrivals per second, averaged over a short and a long
	// time. Slow jumps up to Fast where that is more than chance, so that it
	// rises quickly and falls slowly.
	Fast float64
	Slow float64
	// Seconds is the mean time of a request at its upstream.
	Seconds float64
}

// Averaging times of demand.
const (
	fastTime = 8 * time.Second
	slowTime = 3 * time.Minute
	// firstSeconds is the time of a request before any was measured.
	firstSeconds = 3.0
	// usualPrefillRate and usualDecodeRate are in tokens per second for one
	// request, where its time was not measured.
	usualPrefillRate = 8000.0
	usualDecodeRate  = 30.0
	// secondsWeight is the share of new requests in the mean time, for each
	// plan that saw some.
	secondsWeight = 0.05
	// chance is how many standard deviations of bursty arrivals still count
	// as chance, and burstiness their variance against that of even ones.
	chance     = 2.5
	burstiness = 3.0
)

// standing is the demand in requests at once.
func (l Load) standing() float64 { return l.Slow * l.Seconds }

// jumps says whether the fast average is above the slow one by more than
// chance.
func (l Load) jumps() bool {
	deviation := math.Sqrt(burstiness * max(l.Slow, 1/slowTime.Seconds()) / (2 * fastTime.Seconds()))
	return l.Fast > l.Slow+chance*deviation
}

// read turns the entries' readings into loads.
func (s *State) read(input *Input) {
	arrived := map[string]Count{}
	readings := map[string]Reading{}
	for entry, demand := range input.Demands {
		totals := make(map[string]Count, len(demand.Counts))
		before, known := s.Readings[entry]
		known = known && before.Since.Equal(demand.Since)
		for name, classes := range demand.Counts {
			totals[name] = total(classes)
			if known {
				arrived[name] = arrived[name].Add(totals[name].since(before.Totals[name]))
			}
		}
		readings[entry] = Reading{Since: demand.Since, Totals: totals}
	}
	passed := input.Now.Sub(s.At).Seconds()
	if !s.At.IsZero() && passed > 0 {
		s.smooth(arrived, passed, input.Now.Sub(s.Began).Seconds())
	}
	s.Readings = readings
}

// smooth averages what arrived in the last seconds. In the first seconds of a
// state the averages follow the mean of all it has seen.
func (s *State) smooth(arrived map[string]Count, passed, age float64) {
	loads := maps.Clone(s.Loads)
	if loads == nil {
		loads = map[string]Load{}
	}
	fast := weight(passed, min(age, fastTime.Seconds()))
	slow := weight(passed, min(age, slowTime.Seconds()))
	for name := range arrived {
		if _, known := loads[name]; !known {
			loads[name] = Load{Seconds: firstSeconds}
		}
	}
	for name, load := range loads {
		count := arrived[name]
		rate := float64(count.Arrivals) / passed
		load.Fast += fast * (rate - load.Fast)
		load.Slow += slow * (rate - load.Slow)
		if load.jumps() {
			load.Slow = load.Fast
		}
		if count.Ended > 0 {
			load.Seconds += secondsWeight * (count.meanSeconds() - load.Seconds)
		}
		loads[name] = load
	}
	s.Loads = loads
}

// meanSeconds is the mean time of a request that has ended. Where the time was
// not measured it follows from the tokens.
func (c Count) meanSeconds() float64 {
	ended := float64(c.Ended)
	if c.Busy > 0 {
		return c.Busy.Seconds() / ended
	}
	return (float64(c.PromptTokens)/usualPrefillRate + float64(c.AnswerTokens)/usualDecodeRate) / ended
}

func weight(passed, over float64) float64 {
	if over <= passed {
		return 1
	}
	return 1 - math.Exp(-passed/over)
}

// since returns what was added to an earlier count.
func (c Count) since(before Count) Count {
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
