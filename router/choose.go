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
}

// Choose returns the upstream for a request. It compares a few drawn
// candidates, never the whole fleet. It returns *NoUpstreamError where no live
// upstream holds what is asked for, *PausedError where all that are live asked
// for a pause and *SaturatedError where some of them are at their limits.
func (r *Router) Choose(now time.Time, request *Request) (Choice, error) {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	candidates := r.table.candidates(request)
	s := search{now: now, request: request, cost: math.MaxInt64}
	s.random = mix(r.settings.Seed ^ mix(request.Seed))
	s.patient = request.patient(now)
	if len(candidates) <= sampled {
		for _, u := range candidates {
			r.look(&s, u)
		}
	} else {
		r.draw(&s, candidates)
	}
	if s.best == nil {
		return Choice{}, r.refuse(&s)
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
	if u.about.AvailabilityZone != r.settings.AvailabilityZone {
		cost += r.settings.CrossZone
	}
	if u.misses(s.request) {
		cost += contradicted
	}
	if cost < s.cost {
		s.best, s.cost, s.wait, s.cached = u, cost, prediction.FirstToken, cached
	}
}

// notePause takes in the end of a candidate's pause.
func (s *search) notePause(u *upstream) {
	until := u.pausedUntil(s.now)
	if !until.IsZero() && (s.pausedUntil.IsZero() || until.Before(s.pausedUntil)) {
		s.pausedUntil = until
	}
}

func (r *Router) refuse(s *search) error {
	if s.full > 0 {
		return &SaturatedError{
			Service: s.request.Service,
			Holds:   s.request.Holds,
			Retry:   s.now.Add(saturatedRetry),
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
