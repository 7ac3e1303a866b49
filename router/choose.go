package router

import (
	"math"
	"slices"
	"time"

	"burdocklink/estimator"
)

// unreportedCost is added to the cost of an upstream whose last report does not
// list what the catalog says it holds.
const unreportedCost = time.Hour

// search is the state of one choice.
type search struct {
	now             time.Time
	request         *Request
	random          uint64
	latencyTolerant bool
	best            *upstream
	cost            time.Duration
	firstToken      time.Duration
	// cachedTokens is the part of the prompt that the best one is believed to keep.
	cachedTokens int
	// saturated counts the candidates that were at their limits.
	saturated int
	// pausedUntil is the earliest end of a candidate's pause, zero where none
	// paused.
	pausedUntil time.Time
	// rateLimited is the candidate at whose limit of requests there is room first, at
	// rationedUntil and at a cost; nil where none is at it. perSecond is the sum of
	// the limits of all that are, and looked counts the candidates looked at.
	rateLimited      *rateLimiter
	rateLimitedUntil time.Time
	rateLimitedCost  time.Duration
	totalPerSecond   float64
	examined         int
}

// Choose returns the upstream for a request. It compares a few drawn
// candidates, never the whole fleet, and notes where it would have taken an upstream
// but for its limit of requests. It returns *NoUpstreamError where no live
// upstream holds what is asked for, *PausedError where all that are live asked
// for a pause, *SaturatedError where some of them are at their limits and
// *RationedError where those limits are of requests a second.
func (r *Router) Choose(now time.Time, request *Request) (Choice, error) {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	candidates := r.table.candidates(request)
	s := search{now: now, request: request, cost: math.MaxInt64}
	s.random = splitmix64(r.settings.Seed ^ splitmix64(request.Seed))
	s.latencyTolerant = request.latencyTolerant(now)
	if len(candidates) <= sampledCandidates || (request.Thorough && len(candidates) <= thoroughCandidates) {
		for _, u := range candidates {
			r.consider(&s, u)
		}
	} else {
		r.sample(&s, candidates)
	}
	if s.best == nil {
		return Choice{}, r.refuse(&s, len(candidates))
	}
	if s.rateLimited != nil && s.rateLimitedCost <= s.cost && s.rateLimited.recordOptional() {
		r.signalReservations()
	}
	return Choice{
		Upstream:            s.best.info.Name,
		Incarnation:         s.best.info.Incarnation,
		Address:             s.best.info.Address,
		PredictedFirstToken: now.Add(s.firstToken),

		CachedTokens: s.cachedTokens,
	}, nil
}

func (t *table) candidates(request *Request) []*upstream {
	if request.Model != "" {
		return t.holders[request.Model]
	}
	return t.services[request.Service]
}

// sample looks at a few random candidates, and walks on from the last one while
// none of them fits.
func (r *Router) sample(s *search, candidates []*upstream) {
	count := uint64(len(candidates))
	position := uint64(0)
	for range sampledCandidates {
		s.random = splitmix64(s.random)
		position = s.random % count
		r.consider(s, candidates[position])
	}
	for range min(fallbackCandidates, len(candidates)) {
		if s.best != nil {
			return
		}
		position = (position + 1) % count
		r.consider(s, candidates[position])
	}
}

// consider compares one candidate with the best so far.
func (r *Router) consider(s *search, u *upstream) {
	s.examined++
	if slices.Contains(s.request.Avoid, u.info.Name) {
		s.recordPause(u)
		return
	}
	prediction, cached, verdict := u.evaluate(s, s.request.Work())
	if verdict == unusable {
		return
	}
	if verdict == paused {
		s.recordPause(u)
		return
	}
	if verdict == saturated {
		s.saturated++
		return
	}
	cost := prediction.FirstToken
	if u.info.AvailabilityZone != r.zoneOf(s.request) {
		cost += r.settings.CrossZoneCost
	}
	if u.doesNotReport(s.request) {
		cost += unreportedCost
	}
	if verdict == rateLimited {
		s.recordRateLimited(u, cost)
		return
	}
	if cost < s.cost {
		s.best, s.cost, s.firstToken, s.cachedTokens = u, cost, prediction.FirstToken, cached
	}
}

// zoneOf returns the availability zone that a request is sent from.
func (r *Router) zoneOf(request *Request) string {
	if request.AvailabilityZone != "" {
		return request.AvailabilityZone
	}
	return r.settings.AvailabilityZone
}

// recordRateLimited takes in a candidate that is at its limit of requests.
func (s *search) recordRateLimited(u *upstream, cost time.Duration) {
	rl := u.rateLimit.Load()
	_, availableAt := rl.check(s.now)
	s.totalPerSecond += rl.limit().PerSecond
	if s.rateLimited == nil || availableAt.Before(s.rateLimitedUntil) {
		s.rateLimited, s.rateLimitedUntil, s.rateLimitedCost = rl, availableAt, cost
	}
}

// recordPause takes in the end of a candidate's pause.
func (s *search) recordPause(u *upstream) {
	until := u.pausedUntil(s.now)
	if !until.IsZero() && (s.pausedUntil.IsZero() || until.Before(s.pausedUntil)) {
		s.pausedUntil = until
	}
}

// refuse says why none of so many candidates takes the request.
func (r *Router) refuse(s *search, candidateCount int) error {
	if s.rateLimited != nil && s.rateLimited.recordWaiting(s.now, s.request.Seed) {
		r.signalReservations()
	}
	if s.saturated > 0 {
		return &SaturatedError{
			Service: s.request.Service,
			Model:   s.request.Model,
			RetryAt: s.now.Add(saturatedRetry),
		}
	}
	if s.rateLimited != nil {
		return &RateLimitedError{
			Service:   s.request.Service,
			Model:     s.request.Model,
			RetryAt:   s.rateLimitedUntil,
			PerSecond: s.totalPerSecond * float64(candidateCount) / float64(s.examined),
		}
	}
	if !s.pausedUntil.IsZero() {
		spread := time.Duration(s.random % uint64(callerRetrySpread))
		return &PausedError{
			Service: s.request.Service,
			Model:   s.request.Model,
			RetryAt: s.pausedUntil.Add(spread),
		}
	}
	return &NoUpstreamError{
		Service: s.request.Service,
		Model:   s.request.Model,
		RetryAt: s.now.Add(noUpstreamRetry),
	}
}

// splitmix64 is a step of the splitmix64 generator.
func splitmix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// latencyTolerant says whether the request leaves room for those that are in a hurry.
func (r *Request) latencyTolerant(now time.Time) bool {
	return r.FirstTokenBy.IsZero() || r.FirstTokenBy.After(now.Add(latencyTolerantAfter))
}

// nearDeadline says whether the request is short of time and may make others yield.
func (s *search) nearDeadline() bool {
	return !s.latencyTolerant && !s.request.OverFairShare && s.request.FirstTokenBy.Before(s.now.Add(nearDeadlineTime))
}

// Work is what the request asks of an upstream.
func (r *Request) Work() estimator.Work {
	return estimator.Work{PromptTokens: r.PromptTokens, AnswerTokens: r.AnswerTokens}
}
