package mover

import (
	"math"
	"time"

	"burdocklink/allocator"
	"burdocklink/placer"
	"burdocklink/surveyor"
)

const (
	// rateWindow is the averaging time of demand. Demand moves to other models
	// within seconds; a shorter window would follow single requests.
	rateWindow = 1600 * time.Millisecond
	// slowRateWindow is the longer averaging time on which evictions are
	// decided: a rarely requested model must not look idle between two
	// requests.
	slowRateWindow = 8 * time.Second
	// prefillRate and maxDecodeRate are in tokens per second of an engine with
	// a full batch, as specified for the service. streamRate is the maximum for
	// one answer, which is the limit on engines with few batch slots.
	prefillRate   = 25000.0
	maxDecodeRate = 4700.0
	streamRate    = 120.0
	// costWeight is the weight of a new sample in the mean cost of a class.
	costWeight = 0.2
	// defaultCost is the cost of a request of a class without finished
	// requests, in seconds of a fully utilised engine.
	defaultCost = 0.08
)

// usage is how often a model or adapter is requested.
type usage struct {
	// rate and slowRate are in requests per second, by class.
	rate     map[string]float64
	slowRate map[string]float64
	// requestedAt is the time of the last request.
	requestedAt time.Time
}

// meter turns the request counts of the entries into rates.
type meter struct {
	// usages are by held name.
	usages map[string]*usage
	// costs are by class, in seconds of a fully utilised engine.
	costs map[string]float64
	// slots is how many requests an engine of each service batches.
	slots      map[string]int
	observedAt time.Time
}

func newMeter() *meter {
	return &meter{usages: map[string]*usage{}, costs: map[string]float64{}}
}

// observe adds the requests that all entries counted since the last call.
func (m *meter) observe(now time.Time, counts map[string]map[string]placer.Count) {
	elapsed := now.Sub(m.observedAt)
	if m.observedAt.IsZero() {
		elapsed = rateWindow
	}
	m.observedAt = now
	for name, classes := range counts {
		for class, count := range classes {
			m.updateCost(name, class, count)
			if count.Arrivals > 0 {
				m.usage(name, class).requestedAt = now
			}
		}
	}
	for name, u := range m.usages {
		for class := range u.rate {
			rate := float64(counts[name][class].Arrivals) / elapsed.Seconds()
			u.rate[class] = smooth(u.rate[class], rate, elapsed, rateWindow)
			u.slowRate[class] = smooth(u.slowRate[class], rate, elapsed, slowRateWindow)
		}
	}
}

// smooth returns the exponentially weighted mean after a new sample.
func smooth(mean, sample float64, elapsed, window time.Duration) float64 {
	keep := math.Exp(-elapsed.Seconds() / window.Seconds())
	return keep*mean + (1-keep)*sample
}

func (m *meter) usage(name, class string) *usage {
	u := m.usages[name]
	if u == nil {
		u = &usage{rate: map[string]float64{}, slowRate: map[string]float64{}}
		m.usages[name] = u
	}
	if _, known := u.rate[class]; !known {
		u.rate[class] = 0
	}
	return u
}

// updateCost updates the cost of a class from finished requests for a model or
// adapter.
func (m *meter) updateCost(name, class string, count placer.Count) {
	if count.Ended == 0 {
		return
	}
	ended := float64(count.Ended)
	cost := float64(count.PromptTokens)/ended/prefillRate + float64(count.AnswerTokens)/ended/m.decodeRate(name)
	if before, known := m.costs[class]; known {
		cost = before + costWeight*(cost-before)
	}
	m.costs[class] = cost
}

// decodeRate returns the tokens per second that an engine with a full batch
// generates for a model.
func (m *meter) decodeRate(name string) float64 {
	service, _, _, ok := surveyor.ParseHeldName(name)
	if slots := m.slots[service]; ok && slots > 0 {
		return min(maxDecodeRate, streamRate*float64(slots))
	}
	return maxDecodeRate
}

// meanCost returns the mean cost of all classes, in seconds of a fully utilised
// engine.
func (m *meter) meanCost() float64 {
	if len(m.costs) == 0 {
		return defaultCost
	}
	total := 0.0
	for _, cost := range m.costs {
		total += cost
	}
	return total / float64(len(m.costs))
}

// addDemand adds the demand for a service's models and sets the times of their
// last requests.
func (m *meter) addDemand(service string, models map[string]*allocator.Model) {
	for name, u := range m.usages {
		owner, model, _, ok := surveyor.ParseHeldName(name)
		target := models[model]
		if !ok || owner != service || target == nil {
			continue
		}
		if u.requestedAt.After(target.RequestedAt) {
			target.RequestedAt = u.requestedAt
		}
		for class, rate := range u.rate {
			cost, known := m.costs[class]
			if !known {
				cost = defaultCost
			}
			target.Demand += rate * cost
			target.SlowDemand += u.slowRate[class] * cost
		}
	}
}

// adapterRequestedAt returns when an adapter was last requested.
func (m *meter) adapterRequestedAt(service, model, adapter string) time.Time {
	if u := m.usages[surveyor.HeldName(service, model, adapter)]; u != nil {
		return u.requestedAt
	}
	return time.Time{}
}

// assumedDemand is the demand assumed for each copy before the first request,
// in fully utilised engines.
const assumedDemand = 0.25

// assumeDemand derives the demand from the number of copies while there is
// none: whoever placed them expected it.
func assumeDemand(view *allocator.View) {
	for _, model := range view.Models {
		if model.Demand > 0 {
			return
		}
	}
	for _, engine := range view.Engines {
		for name := range engine.Copies {
			if model := view.Models[name]; model != nil {
				model.Demand += assumedDemand
			}
		}
	}
}
