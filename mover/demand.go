package mover

import (
	"math"
	"time"

	"burdocklink/allocator"
	"burdocklink/placer"
	"burdocklink/surveyor"
)

const (
	// rateWindow is how long demand is averaged over. Demand moves to other
	// models within seconds; a shorter time would follow single requests.
	rateWindow = 1600 * time.Millisecond
	// slowRateWindow is the longer time that decides what makes way: a model that
	// is asked for rarely must not look idle between two requests.
	slowRateWindow = 8 * time.Second
	// prefillRate and mostDecodeRate are in tokens per second of a whole engine
	// with a full batch, from the service's sheet: what reads prompts, and what
	// writes answers. streamRate is what one answer gets at most, which binds
	// where an engine batches few.
	prefillRate   = 25000.0
	maxDecodeRate = 4700.0
	streamRate    = 120.0
	// costWeight is the share of a new reading in the mean cost of a class.
	costWeight = 0.2
	// defaultCost is the cost of a request of a class that has not ended any,
	// in seconds of a whole engine.
	defaultCost = 0.08
)

// usage is what was asked for by one model or adapter.
type usage struct {
	// rate is requests per second by class; lasting follows it more slowly.
	rate     map[string]float64
	slowRate map[string]float64
	// requestedAt is when it was last asked for.
	requestedAt time.Time
}

// meter turns what entries were asked for into rates.
type meter struct {
	// usages are by the router's name.
	usages map[string]*usage
	// costs are by class, in seconds of a whole engine.
	costs map[string]float64
	// slots are how many requests the engines of each service batch at once.
	slots      map[string]int
	observedAt time.Time
}

func newMeter() *meter {
	return &meter{usages: map[string]*usage{}, costs: map[string]float64{}}
}

// observe takes in what all entries were asked for since the call before.
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

// smooth moves a mean towards a new value.
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

// updateCost corrects the cost of a class by requests for a model or adapter that have
// ended.
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

// decodeRate is how many tokens a second a whole engine that holds a model writes.
func (m *meter) decodeRate(name string) float64 {
	service, _, _, ok := surveyor.ParseHeldName(name)
	if slots := m.slots[service]; ok && slots > 0 {
		return min(maxDecodeRate, streamRate*float64(slots))
	}
	return maxDecodeRate
}

// meanCost is the mean cost of the classes, in seconds of a whole engine.
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

// addDemand sets the work and the times of a service's models.
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

// adapterRequestedAt returns when an adapter was last asked for.
func (m *meter) adapterRequestedAt(service, model, adapter string) time.Time {
	if u := m.usages[surveyor.HeldName(service, model, adapter)]; u != nil {
		return u.requestedAt
	}
	return time.Time{}
}

// assumedDemand is the work for which a copy stands while nothing was asked for yet,
// in engines kept busy.
const assumedDemand = 0.25

// assumeDemand takes the number of copies for the demand while there is none: who
// placed them expected it.
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
