package mover

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/router"
	"burdocklink/surveyor"
)

// fakeLimits are rate limits by engine.
type fakeLimits struct {
	perSecond map[string]float64
	charged   map[string]int
}

func (l *fakeLimits) ObserveAnswer(_, _ time.Time, upstream, _ string, limit router.RateLimit) {
	delete(l.perSecond, upstream)
	if limit.Announced {
		l.perSecond[upstream] = limit.PerSecond
	}
}

func (l *fakeLimits) Charge(_ time.Time, upstream, incarnation string) router.RateLimit {
	l.charged[upstream]++
	return l.Limit(upstream, incarnation)
}

func (l *fakeLimits) Limit(upstream, _ string) router.RateLimit {
	perSecond, named := l.perSecond[upstream]
	return router.RateLimit{Announced: named, PerSecond: perSecond}
}

func TestControlCallsLeaveMostOfARateLimitToCallers(t *testing.T) {
	h := newHarness(t, map[string][]string{"e0": {"m"}, "e1": {"n"}})
	h.group.setLeading(firstTerm, true)
	limits := &fakeLimits{perSecond: map[string]float64{"e0": 1}, charged: map[string]int{}}
	h.mover.settings.Limits = limits
	h.advance(20 * time.Second)
	assert.Assert(t, limits.charged["e0"] <= 6, "%d calls in 20 s at 1 a second", limits.charged["e0"])
	assert.Assert(t, limits.charged["e0"] >= 4, "%d calls in 20 s", limits.charged["e0"])
	assert.Assert(t, limits.charged["e1"] > 10, "%d calls to the other", limits.charged["e1"])
	capacity := h.mover.capacity(h.mover.engines["e0"])
	assert.Assert(t, capacity > 0 && capacity < 0.2, "%f", capacity)
	assert.Equal(t, h.mover.capacity(h.mover.engines["e1"]), 0.0)
}

func TestRateLimitInAReportIsApplied(t *testing.T) {
	h := newHarness(t, map[string][]string{"e0": {"m"}})
	h.group.setLeading(firstTerm, true)
	limits := &fakeLimits{perSecond: map[string]float64{}, charged: map[string]int{}}
	h.mover.settings.Limits = limits
	report := &h.engines.engines["e0"].report
	report.Limit, report.LimitKnown = router.RateLimit{Announced: true, PerSecond: 3}, true
	h.advance(2 * time.Second)
	assert.DeepEqual(t, limits.perSecond, map[string]float64{"e0": 3})
	report.Limit, report.LimitKnown = router.RateLimit{}, false
	h.advance(4 * time.Second)
	assert.DeepEqual(t, limits.perSecond, map[string]float64{"e0": 3})
	report.LimitKnown = true
	h.advance(4 * time.Second)
	assert.Equal(t, len(limits.perSecond), 0)
}

func TestReportsLeaveRoomForOrdersUnderALimit(t *testing.T) {
	h := newHarness(t, map[string][]string{"e0": {"m"}})
	limits := &fakeLimits{perSecond: map[string]float64{"e0": 1}, charged: map[string]int{}}
	h.mover.settings.Limits = limits
	h.group.setLeading(firstTerm, true)
	for range 20 {
		h.mover.recordWaiting(surveyor.HeldName("s", "n", ""), "", h.now)
		h.advance(time.Second)
	}
	assert.Assert(t, len(h.engines.sentOrders()) > 0, "no order in 20 s")
	assert.Assert(t, limits.charged["e0"] <= 6, "%d calls in 20 s at 1 a second", limits.charged["e0"])
}
