package mover

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/router"
	"burdocklink/surveyor"
)

// namedLimits are limits of engines by name.
type namedLimits struct {
	perSecond map[string]float64
	charged   map[string]int
}

func (l *namedLimits) ObserveAnswer(_, _ time.Time, upstream, _ string, limit router.RateLimit) {
	delete(l.perSecond, upstream)
	if limit.Named {
		l.perSecond[upstream] = limit.PerSecond
	}
}

func (l *namedLimits) Charge(_ time.Time, upstream, incarnation string) router.RateLimit {
	l.charged[upstream]++
	return l.Limit(upstream, incarnation)
}

func (l *namedLimits) Limit(upstream, _ string) router.RateLimit {
	perSecond, named := l.perSecond[upstream]
	return router.RateLimit{Named: named, PerSecond: perSecond}
}

func TestOwnCallsLeaveMostOfALimitToCallers(t *testing.T) {
	s := newStage(t, map[string][]string{"e0": {"m"}, "e1": {"n"}})
	s.control.lead(firstTerm, true)
	limits := &namedLimits{perSecond: map[string]float64{"e0": 1}, charged: map[string]int{}}
	s.mover.settings.Limits = limits
	s.play(20 * time.Second)
	assert.Assert(t, limits.charged["e0"] <= 6, "%d calls in 20 s at 1 a second", limits.charged["e0"])
	assert.Assert(t, limits.charged["e0"] >= 4, "%d calls in 20 s", limits.charged["e0"])
	assert.Assert(t, limits.charged["e1"] > 10, "%d calls to the other", limits.charged["e1"])
	capacity := s.mover.capacity(s.mover.engines["e0"])
	assert.Assert(t, capacity > 0 && capacity < 0.2, "%f", capacity)
	assert.Equal(t, s.mover.capacity(s.mover.engines["e1"]), 0.0)
}

func TestALimitBesideAReportIsHeard(t *testing.T) {
	s := newStage(t, map[string][]string{"e0": {"m"}})
	s.control.lead(firstTerm, true)
	limits := &namedLimits{perSecond: map[string]float64{}, charged: map[string]int{}}
	s.mover.settings.Limits = limits
	report := &s.yard.engines["e0"].report
	report.Limit, report.LimitTold = router.RateLimit{Named: true, PerSecond: 3}, true
	s.play(2 * time.Second)
	assert.DeepEqual(t, limits.perSecond, map[string]float64{"e0": 3})
	report.Limit, report.LimitTold = router.RateLimit{}, false
	s.play(4 * time.Second)
	assert.DeepEqual(t, limits.perSecond, map[string]float64{"e0": 3})
	report.LimitTold = true
	s.play(4 * time.Second)
	assert.Equal(t, len(limits.perSecond), 0)
}

func TestReportsLeaveRoomForOrdersUnderALimit(t *testing.T) {
	s := newStage(t, map[string][]string{"e0": {"m"}})
	limits := &namedLimits{perSecond: map[string]float64{"e0": 1}, charged: map[string]int{}}
	s.mover.settings.Limits = limits
	s.control.lead(firstTerm, true)
	for range 20 {
		s.mover.noteWanted(surveyor.HeldName("s", "n", ""), s.now)
		s.play(time.Second)
	}
	assert.Assert(t, len(s.yard.given()) > 0, "no order in 20 s")
	assert.Assert(t, limits.charged["e0"] <= 6, "%d calls in 20 s at 1 a second", limits.charged["e0"])
}
