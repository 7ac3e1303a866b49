package mover

import (
	"time"

	"burdocklink/allocator"
	"burdocklink/placer"
	"burdocklink/surveyor"
)

// usage is how often a model or adapter is requested.
type usage struct {
	// rates are by class.
	rates map[string]rates
	// requestedAt is the time of the last request.
	requestedAt time.Time
}

// meter turns the request counts of the entries into rates.
type meter struct {
	// usages are by held name.
	usages map[string]*usage
	// sizes are the mean sizes of requests by class.
	sizes map[string]requestSize
	// tokenTimes are the decode times per token of lightly loaded engines, in
	// seconds, by the held name of the model.
	tokenTimes map[string]float64
	// slowestTokenTime is that of the slowest model, in seconds; zero if none is known.
	slowestTokenTime float64
	// concurrency is how many requests run beside one for a model, by its held
	// name.
	concurrency map[string]float64
	// slots is how many requests an engine of each service batches.
	slots      map[string]int
	observedAt time.Time
}

func newMeter() *meter {
	return &meter{usages: map[string]*usage{}, sizes: map[string]requestSize{}, tokenTimes: map[string]float64{}}
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
			m.updateSize(class, count)
			m.updateTokenTime(name, count)
			if count.Arrivals > 0 {
				m.usage(name, class).requestedAt = now
			}
		}
	}
	m.updateSlowest()
	for name, u := range m.usages {
		for class, r := range u.rates {
			rate := firstArrivals(counts[name][class]) / elapsed.Seconds()
			u.rates[class] = r.update(rate, elapsed)
		}
	}
}

// firstArrivals returns how many of the arrivals are not returns of refused
// callers, each of which comes back once.
func firstArrivals(count placer.Count) float64 {
	if count.Arrivals == 0 {
		return 0
	}
	arrivals := float64(count.Arrivals)
	return arrivals * arrivals / (arrivals + float64(min(count.Refused, count.Arrivals)))
}

func (m *meter) usage(name, class string) *usage {
	u := m.usages[name]
	if u == nil {
		u = &usage{rates: map[string]rates{}}
		m.usages[name] = u
	}
	if _, known := u.rates[class]; !known {
		u.rates[class] = rates{}
	}
	return u
}

// addDemand adds the demand for a service's models and sets the times of their
// last requests.
func (m *meter) addDemand(service string, models map[string]*allocator.Model) {
	works := map[string]work{}
	for name, u := range m.usages {
		owner, model, _, ok := surveyor.ParseHeldName(name)
		target := models[model]
		if !ok || owner != service || target == nil {
			continue
		}
		if u.requestedAt.After(target.RequestedAt) {
			target.RequestedAt = u.requestedAt
		}
		for class, r := range u.rates {
			works[model] = works[model].add(r, m.cost(name, class))
		}
	}
	for model, w := range works {
		models[model].Demand, models[model].SlowDemand = w.predict(), w.slow
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
