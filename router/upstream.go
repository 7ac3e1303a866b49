package router

import (
	"slices"
	"sync"
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
	mutex   sync.Mutex
	engine  *estimator.Engine
	limit   *limiter.Limit
	circuit limiter.Circuit
	// hurryUntil is how long patient requests leave room for urgent ones.
	hurryUntil time.Time
	// contendedUntil is how long yielding requests leave room for others.
	contendedUntil time.Time
	// leaving is final for an incarnation.
	leaving bool
	// models and adapters are what the last report lists.
	models   []string
	adapters []string
}

func newUpstream(about cataloger.Upstream, entries int) *upstream {
	most := plainLimit
	if about.Slots > 0 {
		most = about.Slots + max(0, int(float64(about.Slots)*waitingShare))
	}
	return &upstream{about: about, measured: &measured{
		engine: estimator.New(about.Slots, entries),
		limit:  limiter.New(limiter.Settings{Least: leastLimit, Most: most}),
	}}
}

func (m *measured) observe(report estimator.Report) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.engine.Observe(report) {
		return
	}
	m.models = report.Models
	m.adapters = report.Adapters
	m.leaving = m.leaving || report.Leaving
}

// verdict says whether an upstream can take a request now.
type verdict int

const (
	fits verdict = iota
	full
	unusable
)

// judge predicts a request on the upstream.
func (m *measured) judge(s *search, work estimator.Work) (estimator.Prediction, verdict) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.leaving || !m.circuit.Allows(s.now) {
		return estimator.Prediction{}, unusable
	}
	prediction := m.engine.Predict(s.now, work)
	if m.limit.Allows(prediction.Load / m.share(s)) {
		return prediction, fits
	}
	if s.pressed() {
		m.contendedUntil = s.now.Add(contendedTime)
	}
	return prediction, full
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
	return !slices.Contains(m.models, request.Holds) && !slices.Contains(m.adapters, request.Holds)
}

func (m *measured) started(now time.Time, work estimator.Work, patient bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !patient {
		m.hurryUntil = now.Add(hurryTime)
	}
	m.engine.Started(now, work)
	m.circuit.Tried(now)
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
	if sample.Outcome == OutcomeUnreachable {
		m.circuit.Failed(sample.Ended)
		return
	}
	if sample.Outcome == OutcomeFinished || sample.Outcome == OutcomeRefused {
		m.circuit.Answered()
	}
	m.limit.Observe(load, sample.Gap(), sample.BetweenTokensTarget)
}
