package router

import (
	"math"
	"slices"
	"time"

	"burdocklink/estimator"
)

// contradicted is added to the cost of an upstream whose last report does not
// list what the catalog says it holds.
const contradicted = time.Hour

// search is the state of one choice.
type search struct {
	now     time.Time
	request *Request
	random  uint64
	patient bool
	best    *upstream
	cost    time.Duration
	wait    time.Duration
	// cached is the part of the prompt that the best one is believed to keep.
	cached int
	// full counts the candidates that were at their limits.
	full int
	// pausedUntil is the earliest end of a candidate's pause, zero where none
	// paused.
	pausedUntil time.Time
	// rationed is the candidate at whose limit of requests there is room first, at
	// rationedUntil and at a cost; nil where none is at it. perSecond is the sum of
	// the limits of all that are, and looked counts the candidates looked at.
	rationed      *limited
	rationedUntil time.Time
	rationedCost  time.Duration
	perSecond     float64
	looked        int
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
	s.random = mix(r.settings.Seed ^ mix(request.Seed))
	s.patient = request.patient(now)
	if len(candidates) <= sampled || (request.Thorough && len(candidates) <= thoroughly) {
		for _, u := range candidates {
			r.look(&s, u)
		}
	} else {
		r.draw(&s, candidates)
	}
	if s.best == nil {
		return Choice{}, r.refuse(&s, len(candidates))
	}
	if s.rationed != nil && s.rationedCost <= s.cost && s.rationed.wantSpare() {
		r.wake()
	}
	return Choice{
		Upstream:    s.best.about.Name,
		Incarnation: s.best.about.Incarnation,
		Address:     s.best.about.Address,
		Predicted:   now.Add(s.wait),

		CachedTokens: s.cached,
	}, nil
}

func (t *table) candidates(request *Request) []*upstream {
	if request.Holds != "" {
		return t.holders[request.Holds]
	}
	return t.services[request.Service]
}

// draw looks at a few random candidates, and walks on from the last one while
// none of them fits.
func (r *Router) draw(s *search, candidates []*upstream) {
	count := uint64(len(candidates))
	at := uint64(0)
	for range sampled {
		s.random = mix(s.random)
		at = s.random % count
		r.look(s, candidates[at])
	}
	for range min(walked, len(candidates)) {
		if s.best != nil {
			return
		}
		at = (at + 1) % count
		r.look(s, candidates[at])
	}
}

// look compares one candidate with the best so far.
func (r *Router) look(s *search, u *upstream) {
	s.looked++
	if slices.Contains(s.request.Avoid, u.about.Name) {
		s.notePause(u)
		return
	}
	prediction, cached, verdict := u.judge(s, s.request.Work())
	if verdict == unusable {
		return
	}
	if verdict == paused {
		s.notePause(u)
		return
	}
	if verdict == full {
		s.full++
		return
	}
	cost := prediction.FirstToken
	if u.about.AvailabilityZone != r.zoneOf(s.request) {
		cost += r.settings.CrossZone
	}
	if u.misses(s.request) {
		cost += contradicted
	}
	if verdict == rationed {
		s.noteRationed(u, cost)
		return
	}
	if cost < s.cost {
		s.best, s.cost, s.wait, s.cached = u, cost, prediction.FirstToken, cached
	}
}

// zoneOf returns the availability zone that a request is sent from.
func (r *Router) zoneOf(request *Request) string {
	if request.AvailabilityZone != "" {
		return request.AvailabilityZone
	}
	return r.settings.AvailabilityZone
}

// noteRationed takes in a candidate that is at its limit of requests.
func (s *search) noteRationed(u *upstream, cost time.Duration) {
	known := u.limited.Load()
	_, due := known.look(s.now)
	s.perSecond += known.limit().PerSecond
	if s.rationed == nil || due.Before(s.rationedUntil) {
		s.rationed, s.rationedUntil, s.rationedCost = known, due, cost
	}
}

// notePause takes in the end of a candidate's pause.
func (s *search) notePause(u *upstream) {
	until := u.pausedUntil(s.now)
	if !until.IsZero() && (s.pausedUntil.IsZero() || until.Before(s.pausedUntil)) {
		s.pausedUntil = until
	}
}

// refuse says why none of so many candidates takes the request.
func (r *Router) refuse(s *search, candidates int) error {
	if s.rationed != nil && s.rationed.want(s.now, s.request.Seed) {
		r.wake()
	}
	if s.full > 0 {
		return &SaturatedError{
			Service: s.request.Service,
			Holds:   s.request.Holds,
			Retry:   s.now.Add(saturatedRetry),
		}
	}
	if s.rationed != nil {
		return &RationedError{
			Service:   s.request.Service,
			Holds:     s.request.Holds,
			Retry:     s.rationedUntil,
			PerSecond: s.perSecond * float64(candidates) / float64(s.looked),
		}
	}
	if !s.pausedUntil.IsZero() {
		spread := time.Duration(s.random % uint64(callerSpread))
		return &PausedError{
			Service: s.request.Service,
			Holds:   s.request.Holds,
			Retry:   s.pausedUntil.Add(spread),
		}
	}
	return &NoUpstreamError{
		Service: s.request.Service,
		Holds:   s.request.Holds,
		Retry:   s.now.Add(noUpstreamRetry),
	}
}

// mix is a step of the splitmix64 generator.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// patient says whether the request leaves room for those that are in a hurry.
func (r *Request) patient(now time.Time) bool {
	return r.FirstTokenBy.IsZero() || r.FirstTokenBy.After(now.Add(patience))
}

// pressed says whether the request is short of time and may make others yield.
func (s *search) pressed() bool {
	return !s.patient && !s.request.Yields && s.request.FirstTokenBy.Before(s.now.Add(pressedTime))
}

// Work is what the request asks of an upstream.
func (r *Request) Work() estimator.Work {
	return estimator.Work{PromptTokens: r.PromptTokens, AnswerTokens: r.AnswerTokens}
}
