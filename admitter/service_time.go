package admitter

import (
	"math"
	"time"
)

const (
	// serviceTimeWeight is the weight of a new measurement in the mean.
	serviceTimeWeight = 0.1
	// maxServiceShare is the part of a target that a service time may take in the order of
	// the queue, so that fresh requests are not overdue on arrival where upstreams are slow.
	maxServiceShare = 0.5
)

// serviceTime is how long upstreams take from a grant to the first token or, for requests
// without one, to the whole answer.
type serviceTime struct {
	// mean and deviation, the mean absolute deviation, are in seconds.
	mean      float64
	deviation float64
	known     bool
}

// observe adds a measurement.
func (s *serviceTime) observe(took time.Duration) {
	seconds := took.Seconds()
	if !s.known {
		s.mean, s.known = seconds, true
		return
	}
	s.deviation += serviceTimeWeight * (math.Abs(seconds-s.mean) - s.deviation)
	s.mean += serviceTimeWeight * (seconds - s.mean)
}

// expected returns a time within which most requests are served.
func (s *serviceTime) expected() time.Duration {
	return time.Duration((s.mean + s.deviation) * float64(time.Second))
}

// maxServiceTimes bounds the models and services that are measured.
const maxServiceTimes = 4096

// serviceTimes maps each model, or the service of requests without a model, to its service
// time.
type serviceTimes map[string]*serviceTime

// observe records a dispatch that was served.
func (s serviceTimes) observe(d *completedDispatch) {
	first := d.firstToken
	if first.IsZero() {
		first = d.result.Ended
	}
	if took := first.Sub(d.grant.Started); took > 0 {
		s.get(drainRateKey(&d.grant.request)).observe(took)
	}
}

func (s serviceTimes) get(key string) *serviceTime {
	known := s[key]
	if known == nil {
		if len(s) >= maxServiceTimes {
			clear(s)
		}
		known = &serviceTime{}
		s[key] = known
	}
	return known
}

// expected returns how long before its target a request must be granted to meet it; zero if
// that is not known.
func (s serviceTimes) expected(t *Ticket) time.Duration {
	known := s[drainRateKey(&t.request)]
	if known == nil || t.target.Equal(farFuture) {
		return 0
	}
	target := t.target.Sub(t.request.Arrived)
	return min(known.expected(), time.Duration(maxServiceShare*float64(target)))
}
