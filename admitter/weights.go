package admitter

import (
	"math"
	"time"
)

// Parameters of fair shares between organisations.
const (
	// weightedDecayTime is the time constant by which the recorded work of organisations
	// decays. It is below the length of a burst.
	weightedDecayTime = 4 * time.Second
	// shareMargin is the multiple of its part of the work above which an organisation
	// yields. It keeps organisations in balance from taking turns.
	shareMargin = 1.5
	// shareRequests is the number of mean requests that an organisation may be above its
	// part, so that one with little traffic is not judged by chance.
	shareRequests = 4
	// maxOrganisations bounds the organisations that are tracked per service.
	maxOrganisations = 4096
)

// weightedUsage is the recent work of one organisation.
type weightedUsage struct {
	weight float64
	// work and requests are as of the time at.
	work     float64
	requests float64
	at       time.Time
}

func (u *weightedUsage) decay(now time.Time) {
	if elapsed := now.Sub(u.at); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / weightedDecayTime.Seconds())
		u.work *= factor
		u.requests *= factor
		u.at = now
	}
}

// weightedShares divides the room of a service among organisations by their weights.
type weightedShares struct{ organisations map[string]*weightedUsage }

func newWeightedShares() *weightedShares {
	return &weightedShares{organisations: map[string]*weightedUsage{}}
}

// add records the work of an admitted request.
func (s *weightedShares) add(now time.Time, organisation string, weight, work float64) {
	usage := s.organisations[organisation]
	if usage == nil {
		if len(s.organisations) >= maxOrganisations {
			s.prune(now)
		}
		usage = &weightedUsage{at: now}
		s.organisations[organisation] = usage
	}
	usage.decay(now)
	usage.weight = weight
	usage.work += work
	usage.requests++
}

// minActiveRequests is the least number of recent requests of an active organisation.
const minActiveRequests = 0.05

// prune drops organisations that are not active.
func (s *weightedShares) prune(now time.Time) {
	for name, usage := range s.organisations {
		if usage.decay(now); usage.requests < minActiveRequests {
			delete(s.organisations, name)
		}
	}
}

// over reports whether an organisation has used more than its fair share of the work,
// measured by what the others used: the level of one that dominates would be its own.
func (s *weightedShares) over(now time.Time, organisation string) bool {
	own := s.organisations[organisation]
	if own == nil {
		return false
	}
	work, weight, requests := 0.0, 0.0, 0.0
	for name, usage := range s.organisations {
		usage.decay(now)
		if name != organisation && usage.requests >= minActiveRequests {
			work += usage.work
			weight += usage.weight
			requests += usage.requests
		}
	}
	if weight <= 0 {
		return false
	}
	mean := (work + own.work) / (requests + own.requests)
	return own.work > shareMargin*own.weight*work/weight+shareRequests*mean
}

// fairShares are the shares of subscribers, and those of organisations by service.
type fairShares struct {
	subscribers *shares
	services    map[string]*weightedShares
}

func newFairShares() fairShares {
	return fairShares{subscribers: newShares(maxTracked), services: map[string]*weightedShares{}}
}

// over reports whether the sender of a request has used more than its fair share.
func (f *fairShares) over(now time.Time, request *Request) bool {
	if request.Weight <= 0 {
		return f.subscribers.overFairShare(now, request.Subscriber)
	}
	service := f.services[request.Route.Service]
	return service != nil && service.over(now, request.Subscriber)
}

// add records an admitted request.
func (f *fairShares) add(now time.Time, request *Request) {
	if request.Weight <= 0 {
		f.subscribers.add(now, request.Subscriber, cost(request))
		return
	}
	service := f.services[request.Route.Service]
	if service == nil {
		service = newWeightedShares()
		f.services[request.Route.Service] = service
	}
	service.add(now, request.Subscriber, request.Weight, cost(request))
}
