package mover

import (
	"math"
	"time"
)

const (
	// rateWindow is the averaging time of demand. trendWindow is a longer one: the
	// difference shows how demand changes.
	rateWindow  = 1000 * time.Millisecond
	trendWindow = 2400 * time.Millisecond
	// leadTime is how far ahead demand is predicted: a copy serves only some time
	// after it has been decided on.
	leadTime = 2500 * time.Millisecond
	// maxRise is the highest prediction, as a multiple of the current demand.
	maxRise = 2.5
	// trendNoise is the variance of the difference between the two averages of
	// steady demand, as a multiple of its rate. Requests arrive in groups.
	trendNoise = 0.6
	// slowRateWindow is the longer averaging time on which evictions are
	// decided: a rarely requested model must not look idle between two
	// requests.
	slowRateWindow = 8 * time.Second
)

// rates are averages over rateWindow, trendWindow and slowRateWindow, in requests
// per second.
type rates struct{ fast, trend, slow float64 }

// update adds a sample of the rate over a time.
func (r rates) update(sample float64, elapsed time.Duration) rates {
	return rates{
		fast:  smooth(r.fast, sample, elapsed, rateWindow),
		trend: smooth(r.trend, sample, elapsed, trendWindow),
		slow:  smooth(r.slow, sample, elapsed, slowRateWindow),
	}
}

// smooth returns the exponentially weighted mean after a new sample.
func smooth(mean, sample float64, elapsed, window time.Duration) float64 {
	keep := math.Exp(-elapsed.Seconds() / window.Seconds())
	return keep*mean + (1-keep)*sample
}

// work is the demand for a model, in fully utilised engines.
type work struct {
	rates
	// variance is that of the difference between fast and trend if demand is steady.
	variance float64
}

// add adds the requests of a class, each of which has a cost.
func (w work) add(r rates, cost float64) work {
	w.fast += r.fast * cost
	w.trend += r.trend * cost
	w.slow += r.slow * cost
	w.variance += trendNoise * r.trend * cost * cost
	return w
}

// predict returns the demand after leadTime if it goes on changing as it does, less
// what may be chance.
func (w work) predict() float64 {
	change := w.fast - w.trend
	if change*change <= w.variance {
		return w.fast
	}
	change -= w.variance / change
	slope := change / (trendWindow - rateWindow).Seconds()
	ahead := w.fast + slope*(rateWindow+leadTime).Seconds()
	return max(0, min(ahead, maxRise*w.fast))
}
