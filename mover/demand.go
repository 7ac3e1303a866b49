package mover

import (
	"math"
	"time"

	"burdocklink/allocator"
	"burdocklink/placer"
	"burdocklink/surveyor"
)

const (
	// rateTime is how long demand is averaged over. Demand moves to other
	// models within seconds; a shorter time would follow single requests.
	rateTime = 1600 * time.Millisecond
	// lastingTime is the longer time that decides what makes way: a model that
	// is asked for rarely must not look idle between two requests.
	lastingTime = 8 * time.Second
	// prefillRate and mostDecodeRate are in tokens per second of a whole engine
	// with a full batch, from the service's sheet: what reads prompts, and what
	// writes answers. streamRate is what one answer gets at most, which binds
	// where an engine batches few.
	prefillRate    = 25000.0
	mostDecodeRate = 4700.0
	streamRate     = 120.0
	// costWeight is the share of a new reading in the mean cost of a class.
	costWeight = 0.2
	// defaultCost is the cost of a request of a class that has not ended any,
	// in seconds of a whole engine.
	defaultCost = 0.08
)

// asked is what was asked for by one model or adapter.
type asked struct {
	// rate is requests per second by class; lasting follows it more slowly.
	rate    map[string]float64
	lasting map[string]float64
	// at is when it was last asked for.
	at time.Time
}

// meter turns what entries were asked for into rates.
type meter struct {
	// names are by the router's name.
	names map[string]*asked
	// costs are by class, in seconds of a whole engine.
	costs map[string]float64
	// slots are how many requests the engines of each service batch at once.
	slots map[string]int
	at    time.Time
}

func newMeter() *meter {
	return &meter{names: map[string]*asked{}, costs: map[string]float64{}}
}

// observe takes in what all entries were asked for since the call before.
func (m *meter) observe(now time.Time, fresh map[string]map[string]placer.Count) {
	passed := now.Sub(m.at)
	if m.at.IsZero() {
		passed = rateTime
	}
	m.at = now
	for name, classes := range fresh {
		for class, count := range classes {
			m.learn(name, class, count)
			if count.Arrivals > 0 {
				m.find(name, class).at = now
			}
		}
	}
	for name, one := range m.names {
		for class := range one.rate {
			rate := float64(fresh[name][class].Arrivals) / passed.Seconds()
			one.rate[class] = follow(one.rate[class], rate, passed, rateTime)
			one.lasting[class] = follow(one.lasting[class], rate, passed, lastingTime)
		}
	}
}

// follow moves a mean towards a new value.
func follow(mean, fresh float64, passed, over time.Duration) float64 {
	keep := math.Exp(-passed.Seconds() / over.Seconds())
	return keep*mean + (1-keep)*fresh
}

func (m *meter) find(name, class string) *asked {
	one := m.names[name]
	if one == nil {
		one = &asked{rate: map[string]float64{}, lasting: map[string]float64{}}
		m.names[name] = one
	}
	if _, known := one.rate[class]; !known {
		one.rate[class] = 0
	}
	return one
}

// learn corrects the cost of a class by requests for a model or adapter that have
// ended.
func (m *meter) learn(name, class string, count placer.Count) {
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
		return min(mostDecodeRate, streamRate*float64(slots))
	}
	return mostDecodeRate
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

// apply sets the work and the times of a service's models.
func (m *meter) apply(service string, models map[string]*allocator.Model) {
	for name, one := range m.names {
		of, model, _, ok := surveyor.ParseHeldName(name)
		target := models[model]
		if !ok || of != service || target == nil {
			continue
		}
		if one.at.After(target.RequestedAt) {
			target.RequestedAt = one.at
		}
		for class, rate := range one.rate {
			cost, known := m.costs[class]
			if !known {
				cost = defaultCost
			}
			target.Demand += rate * cost
			target.SlowDemand += one.lasting[class] * cost
		}
	}
}

// adapterAsked returns when an adapter was last asked for.
func (m *meter) adapterAsked(service, model, adapter string) time.Time {
	if one := m.names[surveyor.HeldName(service, model, adapter)]; one != nil {
		return one.at
	}
	return time.Time{}
}

// copyWork is the work for which a copy stands while nothing was asked for yet,
// in engines kept busy.
const copyWork = 0.25

// assume takes the number of copies for the demand while there is none: who
// placed them expected it.
func assume(view *allocator.View) {
	for _, model := range view.Models {
		if model.Demand > 0 {
			return
		}
	}
	for _, engine := range view.Engines {
		for name := range engine.Copies {
			if model := view.Models[name]; model != nil {
				model.Demand += copyWork
			}
		}
	}
}
