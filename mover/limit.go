package mover

import (
	"time"

	"burdocklink/router"
)

// Spacing of this member's own calls to an engine that limits its requests.
const (
	// controlShare is the part of the limit that reports and orders take: what callers
	// ask for goes before them.
	controlShare = 0.25
	// maxCallSpacing is the longest time between two calls.
	maxCallSpacing = 4 * time.Second
)

// charge counts a call to an engine, and puts the next one off where the engine
// limits its requests.
func (m *Mover) charge(e *engine, now time.Time) {
	limit := m.settings.Limits.Charge(now, e.upstream.Name, e.upstream.Incarnation)
	if !limit.Named {
		e.orderFrom, e.reportFrom = time.Time{}, time.Time{}
		return
	}
	spacing := maxCallSpacing
	if rate := controlShare * limit.PerSecond; rate*maxCallSpacing.Seconds() > 1 {
		spacing = time.Duration(float64(time.Second) / rate)
	}
	// an order that waits goes before the next report
	e.orderFrom = now.Add(spacing)
	e.reportFrom = now.Add(spacing + spacing/2)
}

// capacity is the work that an engine takes under its limit of requests, in engines
// kept busy; zero where it names none.
func (m *Mover) capacity(e *engine) float64 {
	limit := m.settings.Limits.Limit(e.upstream.Name, e.upstream.Incarnation)
	if !limit.Named {
		return 0
	}
	return max(minCapacity, min(1, limit.PerSecond*m.meter.meanCost()))
}

// minCapacity keeps an engine that takes hardly any requests from counting as
// without limit, in engines kept busy.
const minCapacity = 0.01

// noLimits stands for engines that name no limits.
type noLimits struct{}

func (noLimits) HeedAnswer(time.Time, time.Time, string, string, router.RateLimit) {}

func (noLimits) Charge(time.Time, string, string) router.RateLimit { return router.RateLimit{} }

func (noLimits) Limit(string, string) router.RateLimit { return router.RateLimit{} }
