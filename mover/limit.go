package mover

import (
	"time"

	"burdocklink/router"
)

// Spacing of the leader's own calls to an engine with a rate limit.
const (
	// controlShare is the share of the rate limit for reports and orders;
	// callers' requests have priority.
	controlShare = 0.25
	// maxCallSpacing is the longest time between two calls.
	maxCallSpacing = 4 * time.Second
)

// charge counts a call to an engine and delays the next ones if the engine has
// a rate limit.
func (m *Mover) charge(e *engine, now time.Time) {
	limit := m.settings.Limits.Charge(now, e.upstream.Name, e.upstream.Incarnation)
	if !limit.Announced {
		e.orderFrom, e.reportFrom = time.Time{}, time.Time{}
		return
	}
	spacing := maxCallSpacing
	if rate := controlShare * limit.PerSecond; rate*maxCallSpacing.Seconds() > 1 {
		spacing = time.Duration(float64(time.Second) / rate)
	}
	// a waiting order precedes the next report
	e.orderFrom = now.Add(spacing)
	e.reportFrom = now.Add(spacing + spacing/2)
}

// capacity returns the demand that an engine accepts under its rate limit, in
// fully utilised engines; zero if it has no limit.
func (m *Mover) capacity(e *engine) float64 {
	limit := m.settings.Limits.Limit(e.upstream.Name, e.upstream.Incarnation)
	if !limit.Announced {
		return 0
	}
	return max(minCapacity, min(1, limit.PerSecond*m.meter.meanCost()))
}

// minCapacity is in fully utilised engines. It keeps an engine with a very low
// rate limit from counting as unlimited.
const minCapacity = 0.01

// noLimits is used when no rate limits are known.
type noLimits struct{}

func (noLimits) ObserveAnswer(time.Time, time.Time, string, string, router.RateLimit) {}

func (noLimits) Charge(time.Time, string, string) router.RateLimit { return router.RateLimit{} }

func (noLimits) Limit(string, string) router.RateLimit { return router.RateLimit{} }
