package router

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"burdocklink/cataloger"
	"burdocklink/estimator"
	"burdocklink/limiter"
)

// upstream is one entry of a table. Tables share what was measured.
type upstream struct {
	about cataloger.Upstream
	*measured
}

// measured is what the router knows of one incarnation.
type measured struct {
	mutex sync.Mutex
	// cacheTokens is the memory for prompts and answers, zero where unknown.
	cacheTokens int
	engine      *estimator.Engine
	speed       *estimator.Speed
	limit       *limiter.Limit
	circuit     limiter.Circuit
	// peers is what each other entry has in flight.
	peers map[string]peerShare
	// changed is true where the own share changed since it was told, and
	// dispatched the prompts dispatched meanwhile, in tokens.
	changed    bool
	dispatched int
	prefixes   *prefixes
	// hurryUntil is how long patient requests leave room for urgent ones.
	hurryUntil time.Time
	// contendedUntil is how long yielding requests leave room for others.
	contendedUntil time.Time
	// reportedLeaving and answeredLeaving say that the upstream told that it
	// leaves, in a report or beside an answer. Both are final for an incarnation.
	reportedLeaving bool
	answeredLeaving bool
	pause           limiter.Pause
	// limited is nil where the upstream never named a limit of requests.
	limited atomic.Pointer[limited]
	// reportedModels and reportedAdapters are what the last report lists.
	reportedModels   []string
	reportedAdapters []string
	// models counts own requests in flight by model.
	models map[string]int
}

func newUpstream(about cataloger.Upstream, entries int, speed *estimator.Speed) *upstream {
	u := &upstream{about: about, measured: &measured{
		cacheTokens: about.CacheTokens,
		prefixes:    newPrefixes(),
		models:      map[string]int{},

		engine: estimator.New(about.Slots, entries),
		limit:  limiter.New(limiter.Settings{Min: leastLimit, Max: mostAtOnce(about)}),
		speed:  speed,
	}}
	u.engine.Learn(speed)
	return u
}

// resize takes in what an upstream can do where that was not known before.
func (m *measured) resize(about cataloger.Upstream) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.cacheTokens != about.CacheTokens {
		m.cacheTokens = about.CacheTokens
		m.limit = limiter.New(limiter.Settings{Min: leastLimit, Max: mostAtOnce(about)})
		m.engine.Resize(about.Slots)
	}
}

// mostAtOnce is the highest concurrency limit of an upstream.
func mostAtOnce(about cataloger.Upstream) int {
	if about.Slots <= 0 {
		return plainLimit
	}
	return about.Slots + max(0, int(float64(about.Slots)*waitingShare))
}

func (m *measured) observe(report estimator.Report) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.engine.Observe(report) {
		return
	}
	m.reportedModels = report.Models
	m.reportedAdapters = report.Adapters
	m.reportedLeaving = m.reportedLeaving || report.Leaving
}

// verdict says whether an upstream can take a request now.
type verdict int

const (
	fits verdict = iota
	full
	paused
	// rationed is said of an upstream that fits but for its limit of requests.
	rationed
	unusable
)

// judge predicts a request on the upstream.
func (m *measured) judge(s *search, work estimator.Work) (estimator.Prediction, int, verdict) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.leaving() || !m.circuit.Allows(s.now) {
		return estimator.Prediction{}, 0, unusable
	}
	if m.pause.Active(s.now) {
		return estimator.Prediction{}, 0, paused
	}
	if !m.pause.Allows(s.now) {
		return estimator.Prediction{}, 0, full
	}
	work.CachedTokens = m.prefixes.cached(s.request.Parts)
	prediction := m.engine.Predict(s.now, work)
	if m.limit.Allows(prediction.Load/m.share(s)) && m.roomFor(s.now, work) {
		if !m.permits(s.now) {
			return prediction, work.CachedTokens, rationed
		}
		return prediction, work.CachedTokens, fits
	}
	if s.pressed() {
		m.contendedUntil = s.now.Add(contendedTime)
	}
	return prediction, work.CachedTokens, full
}

// permits says whether the upstream's limit of requests leaves room for one now.
func (m *measured) permits(now time.Time) bool {
	known := m.limited.Load()
	if known == nil {
		return true
	}
	allowed, _ := known.look(now)
	return allowed
}

// memoryShare is the part of an engine's memory for prompts and answers that is
// given away: lengths are only guessed.
const memoryShare = 0.95

// roomFor says whether an engine of known memory takes a request without
// holding up or displacing those that run.
func (m *measured) roomFor(now time.Time, work estimator.Work) bool {
	if m.cacheTokens <= 0 {
		return true
	}
	reserved := m.engine.Reserved(now)
	if reserved > 0 && float64(reserved+work.Memory()) > memoryShare*float64(m.cacheTokens) {
		return false
	}
	return m.engine.Paces(now, work)
}

// share returns the part of the limit that is open to a request.
func (m *measured) share(s *search) float64 {
	if s.patient && s.now.Before(m.hurryUntil) {
		return patientShare
	}
	if s.request.Yields && s.now.Before(m.contendedUntil) {
		return yieldShare
	}
	return 1
}

// misses says whether the last report contradicts the catalog's placement.
func (m *measured) misses(request *Request) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if _, reported := m.engine.Report(); !reported || request.Holds == "" {
		return false
	}
	return !slices.Contains(m.reportedModels, request.Holds) && !slices.Contains(m.reportedAdapters, request.Holds)
}

// started counts a dispatch. It returns until when the request may be sent where
// it needs a permit, and zero where it needs none or there is none.
func (m *measured) started(now time.Time, request *Request, cached int) time.Time {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	work := request.Work()
	work.CachedTokens = cached
	m.prefixes.use(request.Parts, m.cacheTokens)
	patient := request.patient(now)
	if !patient {
		m.hurryUntil = now.Add(hurryTime)
	}
	m.engine.Started(now, work)
	m.changed = true
	m.models[request.Base]++
	m.dispatched += work.PromptTokens - work.CachedTokens
	m.circuit.Attempted(now)
	m.pause.Sent()
	if known := m.limited.Load(); known != nil {
		permit, _ := known.take(now)
		return permit.Until
	}
	return time.Time{}
}

func (m *measured) unreachable(now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.circuit.Failed(now)
}

func (m *measured) finished(sample *Sample, predicted time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !sample.FirstToken.IsZero() && !predicted.IsZero() {
		m.engine.Measured(sample.FirstToken.Sub(predicted))
	}
	load := m.engine.Load(sample.Ended)
	m.engine.Finished(sample.Ended, sample.Work, sample.Tokens)
	m.changed = true
	m.forget(sample.Model)
	if sample.Outcome == OutcomeUnreachable {
		m.circuit.Failed(sample.Ended)
		return
	}
	if sample.Outcome == OutcomeFinished || sample.Outcome == OutcomeRefused {
		m.circuit.Succeeded()
	}
	if sample.Outcome == OutcomeFinished && sample.Tokens >= tellingTokens {
		m.speed.Observe(sample.Gap())
	}
	m.limit.Observe(load, sample.Gap(), sample.BetweenTokensTarget)
}

// tellingTokens is how long an answer must be to show how fast its upstream writes.
const tellingTokens = 32

// forget counts the end of a request for a model.
func (m *measured) forget(model string) {
	m.models[model]--
	if m.models[model] <= 0 {
		delete(m.models, model)
	}
}
