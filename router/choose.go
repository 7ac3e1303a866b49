package router

import (
	"math"
	"slices"
	"time"

	"burdocklink/estimator"
)

// unreportedCost is added to the cost of an upstream whose last report does not list
// the model that the catalog places on it.
const unreportedCost = time.Hour

// search is the state of one call of Choose.
type search struct {
	now             time.Time
	request         *Request
	size            estimator.RequestSize
	random          uint64
	latencyTolerant bool
	best            *upstream
	cost            time.Duration
	firstToken      time.Duration
	// cachedTokens is the expected length of the prompt prefix cached by best.
	cachedTokens int
	// saturated counts the candidates at their concurrency limits.
	saturated int
	// pausedUntil is the earliest end of a candidate's pause; zero if none is paused.
	pausedUntil time.Time
	// rateLimited is the rate-limited candidate that has room first, at
	// rateLimitedUntil and at rateLimitedCost; nil if there is none. totalPerSecond is
	// the sum of the rate limits reached, and examined counts the candidates
	// considered.
	rateLimited      *rateLimiter
	rateLimitedUntil time.Time
	rateLimitedCost  time.Duration
	totalPerSecond   float64
	examined         int
}

// Choose returns the upstream for a request. It compares a few sampled candidates,
// never the whole fleet, and requests a reservation if a rate limit kept it from the
// cheapest one. It returns *NoUpstreamError if no live upstream holds the model,
// *OriginGoneError if none may continue the request's stream, *PausedError if all live ones are paused, *SaturatedError if some are at their
// concurrency limits and *RateLimitedError if only rate limits are in the way.
func (r *Router) Choose(now time.Time, request *Request) (Choice, error) {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	candidates := r.table.candidates(request)
	s := search{now: now, request: request, size: r.size(request), cost: math.MaxInt64}
	s.random = splitmix64(r.settings.Seed ^ splitmix64(request.Seed))
	s.latencyTolerant = request.latencyTolerant(now)
	if request.Model != "" {
		r.pack(&s, candidates)
	}
	if s.best == nil {
		r.compare(&s, candidates)
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
		Software:            s.best.info.Software,
		PredictedFirstToken: now.Add(s.firstToken),

		CachedTokens: s.cachedTokens,
	}, nil
}

// pack considers the first candidates that are loaded up to packedShare at most. All
// entries have the candidates in the same order, so that the last ones stay idle while
// the first ones have room. A model's copy on an idle engine can be replaced at once.
func (r *Router) pack(s *search, candidates []*upstream) {
	fitting := 0
	for _, u := range candidates[:min(len(candidates), thoroughCandidates)] {
		if u.comfortable(s.now) && r.consider(s, u) {
			fitting++
		}
		if fitting >= packedCandidates {
			return
		}
	}
}

// compare considers all candidates if they are few, and a sample of them otherwise.
func (r *Router) compare(s *search, candidates []*upstream) {
	few := !s.request.Origin.IsZero()
	if !few && len(candidates) > sampledCandidates && (!s.request.Thorough || len(candidates) > thoroughCandidates) {
		r.sample(s, candidates)
		return
	}
	for _, u := range candidates {
		r.consider(s, u)
	}
}

func (t *table) candidates(request *Request) []*upstream {
	if request.Model != "" {
		return t.holders[request.Model]
	}
	return t.services[request.Service]
}

// sample considers a few random candidates, and then the successors of the last one
// until one fits.
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

// consider compares one candidate with the best so far. It reports whether the candidate
// could take the request.
func (r *Router) consider(s *search, u *upstream) bool {
	if !s.request.Origin.admits(&u.info) {
		return false
	}
	s.examined++
	if slices.Contains(s.request.Avoid, u.info.Name) {
		s.recordPause(u)
		return false
	}
	prediction, cachedTokens, verdict := u.evaluate(s, s.size)
	if verdict == unusable {
		return false
	}
	if verdict == paused {
		s.recordPause(u)
		return false
	}
	if verdict == saturated {
		s.saturated++
		return false
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
		return false
	}
	if cost < s.cost {
		s.best, s.cost, s.firstToken, s.cachedTokens = u, cost, prediction.FirstToken, cachedTokens
	}
	return true
}

// zoneOf returns the availability zone that a request is sent from.
func (r *Router) zoneOf(request *Request) string {
	if request.AvailabilityZone != "" {
		return request.AvailabilityZone
	}
	return r.settings.AvailabilityZone
}

// recordRateLimited records a candidate that has reached its rate limit.
func (s *search) recordRateLimited(u *upstream, cost time.Duration) {
	rl := u.rateLimit.Load()
	_, availableAt := rl.check(s.now)
	s.totalPerSecond += rl.limit().PerSecond
	if s.rateLimited == nil || availableAt.Before(s.rateLimitedUntil) {
		s.rateLimited, s.rateLimitedUntil, s.rateLimitedCost = rl, availableAt, cost
	}
}

// recordPause records the end of a candidate's pause.
func (s *search) recordPause(u *upstream) {
	until := u.pausedUntil(s.now)
	if !until.IsZero() && (s.pausedUntil.IsZero() || until.Before(s.pausedUntil)) {
		s.pausedUntil = until
	}
}

// refuse returns the reason why none of the candidates takes the request.
func (r *Router) refuse(s *search, candidateCount int) error {
	if !r.table.runs(s.request.Service, s.request.Origin) {
		return &OriginGoneError{Service: s.request.Service, Origin: s.request.Origin}
	}
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

// latencyTolerant reports whether the request leaves room for urgent ones.
func (r *Request) latencyTolerant(now time.Time) bool {
	return r.FirstTokenBy.IsZero() || r.FirstTokenBy.After(now.Add(latencyTolerantAfter))
}

// nearDeadline reports whether the request is short of time, so that requests over
// their fair share leave room for it.
func (s *search) nearDeadline() bool {
	return !s.latencyTolerant && !s.request.OverFairShare && s.request.FirstTokenBy.Before(s.now.Add(nearDeadlineTime))
}

// Size returns the request's size for the estimator.
func (r *Request) Size() estimator.RequestSize {
	return estimator.RequestSize{PromptTokens: r.PromptTokens, AnswerTokens: r.AnswerTokens}
}
