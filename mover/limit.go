package mover

import (
	"time"

	"burdocklink/router"
)

// Spacing of this member's own calls to an engine that limits its requests.
const (
	// ownShare is the part of the limit that reports and orders take: what callers
	// ask for goes before them.
	ownShare = 0.25
	// longestSpace is the longest time between two calls.
	longestSpace = 4 * time.Second
)

// charge counts a call to an engine, and puts the next one off where the engine
// limits its requests.
func (m *Mover) charge(one *engine, now time.Time) {
	limit := m.settings.Limits.Charge(now, one.upstream.Name, one.upstream.Incarnation)
	if !limit.Named {
		one.spacedUntil, one.reportFrom = time.Time{}, time.Time{}
		return
	}
	space := longestSpace
	if own := ownShare * limit.PerSecond; own*longestSpace.Seconds() > 1 {
		space = time.Duration(float64(time.Second) / own)
	}
	// an order that waits goes before the next report
	one.spacedUntil = now.Add(space)
	one.reportFrom = now.Add(space + space/2)
}

// capacity is the work that an engine takes under its limit of requests, in engines
// kept busy; zero where it names none.
func (m *Mover) capacity(one *engine) float64 {
	limit := m.settings.Limits.Limit(one.upstream.Name, one.upstream.Incarnation)
	if !limit.Named {
		return 0
	}
	return max(leastCapacity, min(1, limit.PerSecond*m.meter.meanCost()))
}

// leastCapacity keeps an engine that takes hardly any requests from counting as
// without limit, in engines kept busy.
const leastCapacity = 0.01

// noLimits stands for engines that name no limits.
type noLimits struct{}

func (noLimits) ObserveAnswer(time.Time, time.Time, string, string, router.RateLimit) {}

func (noLimits) Charge(time.Time, string, string) router.RateLimit { return router.RateLimit{} }

func (noLimits) Limit(string, string) router.RateLimit { return router.RateLimit{} }
