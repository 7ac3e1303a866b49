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

// upstream is one entry of a table. Tables share the measurements.
type upstream struct {
	info cataloger.Upstream
	*measurements
}

// measurements is what the router knows about one incarnation.
type measurements struct {
	mutex sync.Mutex
	// cacheTokens is the size of the KV cache; zero if unknown.
	cacheTokens int
	engine      *estimator.Engine
	limit       *limiter.Limit
	circuit     limiter.Circuit
	// peerLoads maps other entries to their load.
	peerLoads map[string]peerLoad
	// ownLoadChanged is set if the own load has changed since it was last shared, and
	// dispatchedTokens counts the prompt tokens dispatched since then.
	ownLoadChanged   bool
	dispatchedTokens int
	prefixes         *prefixCache
	// urgentUntil is until when latency-tolerant requests leave room for urgent ones.
	urgentUntil time.Time
	// contendedUntil is until when requests over their fair share leave room for
	// others.
	contendedUntil time.Time
	// reportedLeaving and answeredLeaving are set if the upstream announced in a report
	// or an answer that it is leaving. Both are final for an incarnation.
	reportedLeaving bool
	answeredLeaving bool
	pause           limiter.Pause
	// rateLimit is nil if the upstream never announced a rate limit.
	rateLimit atomic.Pointer[rateLimiter]
	// reportedModels and reportedAdapters are those listed by the last report.
	reportedModels   []string
	reportedAdapters []string
	// inFlightByModel counts own requests in flight by base model.
	inFlightByModel map[string]int
}

func newUpstream(info cataloger.Upstream, entries int) *upstream {
	u := &upstream{info: info, measurements: &measurements{
		cacheTokens:     info.CacheTokens,
		prefixes:        newPrefixCache(),
		inFlightByModel: map[string]int{},

		engine: estimator.New(info.Slots, entries),
		limit:  limiter.New(limiter.Settings{Min: minConcurrency, Max: maxConcurrency(info)}),
	}}
	return u
}

// resize applies the capacity of an upstream if it was not known before.
func (m *measurements) resize(info cataloger.Upstream) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.cacheTokens != info.CacheTokens {
		m.cacheTokens = info.CacheTokens
		m.limit = limiter.New(limiter.Settings{Min: minConcurrency, Max: maxConcurrency(info)})
		m.engine.SetSlots(info.Slots)
	}
}

// maxConcurrency returns the highest concurrency limit of an upstream.
func maxConcurrency(info cataloger.Upstream) int {
	if info.Slots <= 0 {
		return maxConcurrencyWithoutSlots
	}
	return info.Slots + max(0, int(float64(info.Slots)*queuedPerSlot))
}

func (m *measurements) observe(report estimator.Report) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.engine.Observe(report) {
		return
	}
	m.reportedModels = report.Models
	m.reportedAdapters = report.Adapters
	m.reportedLeaving = m.reportedLeaving || report.Leaving
}

// verdict is whether an upstream can take a request now, and if not, why.
type verdict int

const (
	fits verdict = iota
	saturated
	paused
	// rateLimited means that the upstream would fit but for its rate limit.
	rateLimited
	unusable
)

// evaluate predicts a request's times on the upstream and returns whether it fits.
func (m *measurements) evaluate(s *search, size estimator.RequestSize) (estimator.Prediction, int, verdict) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.leaving() || !m.circuit.Allows(s.now) {
		return estimator.Prediction{}, 0, unusable
	}
	if m.pause.Active(s.now) {
		return estimator.Prediction{}, 0, paused
	}
	if !m.pause.Allows(s.now) {
		return estimator.Prediction{}, 0, saturated
	}
	size.CachedTokens = m.prefixes.cachedTokens(s.request.Prefixes)
	prediction := m.engine.Predict(s.now, size)
	if m.limit.Allows(prediction.Load/m.limitShare(s)) && m.hasRoom(s.now, size) {
		if !m.hasPermit(s.now) {
			return prediction, size.CachedTokens, rateLimited
		}
		return prediction, size.CachedTokens, fits
	}
	if s.nearDeadline() {
		m.contendedUntil = s.now.Add(contendedTime)
	}
	return prediction, size.CachedTokens, saturated
}

// comfortable reports whether the upstream is loaded up to packedShare at most.
func (m *measurements) comfortable(now time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.engine.Load(now)+1 <= packedShare*m.limit.Current()
}

// hasPermit reports whether the upstream's rate limit leaves room for a request now.
func (m *measurements) hasPermit(now time.Time) bool {
	rl := m.rateLimit.Load()
	if rl == nil {
		return true
	}
	allowed, _ := rl.check(now)
	return allowed
}

// memoryShare is the fraction of an engine's KV cache that is handed out, because
// lengths are only estimated.
const memoryShare = 0.95

// hasRoom reports whether an engine with a KV cache of known size can take a request
// without delaying or evicting running ones.
func (m *measurements) hasRoom(now time.Time, size estimator.RequestSize) bool {
	if m.cacheTokens <= 0 {
		return true
	}
	reserved := m.engine.ReservedTokens(now)
	if reserved > 0 && float64(reserved+size.KVCacheTokens()) > memoryShare*float64(m.cacheTokens) {
		return false
	}
	return m.engine.AllowsPrompt(now, size)
}

// limitShare returns the fraction of the concurrency limit that is open to a request.
func (m *measurements) limitShare(s *search) float64 {
	if s.latencyTolerant && s.now.Before(m.urgentUntil) {
		return latencyTolerantShare
	}
	if s.request.OverFairShare && s.now.Before(m.contendedUntil) {
		return overFairShareLimit
	}
	if s.request.Thorough && s.request.Model == "" {
		return pipelinedShare
	}
	return 1
}

// doesNotReport reports whether the last report contradicts the catalog's placement.
func (m *measurements) doesNotReport(request *Request) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if _, reported := m.engine.Report(); !reported || request.Model == "" {
		return false
	}
	return !slices.Contains(m.reportedModels, request.Model) && !slices.Contains(m.reportedAdapters, request.Model)
}

// started records a dispatch. It returns when the permit expires; zero if there is no
// permit or none is needed.
func (m *measurements) started(now time.Time, request *Request, size estimator.RequestSize, cachedTokens int) time.Time {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	size.CachedTokens = cachedTokens
	m.prefixes.record(request.Prefixes, m.cacheTokens)
	latencyTolerant := request.latencyTolerant(now)
	if !latencyTolerant {
		m.urgentUntil = now.Add(urgentTime)
	}
	m.engine.Started(now, size)
	m.ownLoadChanged = true
	m.inFlightByModel[request.BaseModel]++
	m.dispatchedTokens += size.PromptTokens - size.CachedTokens
	m.circuit.Attempted(now)
	m.pause.Sent()
	if rl := m.rateLimit.Load(); rl != nil {
		permit, _ := rl.take(now)
		return permit.Until
	}
	return time.Time{}
}

func (m *measurements) unreachable(now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.circuit.Failed(now)
}

func (m *measurements) finished(sample *Sample, predicted time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !sample.FirstToken.IsZero() && !predicted.IsZero() {
		m.engine.ObserveLateness(sample.FirstToken.Sub(predicted))
	}
	load := m.engine.Load(sample.Ended)
	m.engine.Finished(sample.Ended, sample.Size, sample.AnswerTokens)
	m.ownLoadChanged = true
	m.releaseModel(sample.BaseModel)
	if sample.Outcome == OutcomeUnreachable {
		m.circuit.Failed(sample.Ended)
		return
	}
	if sample.Outcome == OutcomeFinished || sample.Outcome == OutcomeRefused {
		m.circuit.Succeeded()
	}
	m.limit.Observe(load, sample.TimeBetweenTokens(), sample.BetweenTokensTarget)
}

// releaseModel counts down the requests in flight for a model.
func (m *measurements) releaseModel(model string) {
	m.inFlightByModel[model]--
	if m.inFlightByModel[model] <= 0 {
		delete(m.inFlightByModel, model)
	}
}
