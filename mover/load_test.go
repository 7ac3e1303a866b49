package mover

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/router"
)

// newCrowd is a stage of many engines whose adapters are waited for by many.
func newCrowd(t *testing.T, engines, waiters int) *stage {
	t.Helper()
	holds := map[string][]string{}
	for at := range engines {
		holds[fmt.Sprintf("e%03d", at)] = []string{"m"}
	}
	s := newStage(t, holds)
	s.control.lead(firstTerm, true)
	s.play(2 * time.Second)
	// no order is given while engines rest, so that all go on waiting
	for _, one := range s.mover.engines {
		one.restUntil = s.now.Add(time.Hour)
	}
	for at := range waiters {
		call := wantCalled{want: Want{Service: "s", Model: "m", Adapter: fmt.Sprint("a", at)}, answer: make(chan Wanted, 1)}
		s.mover.handle(call, s.now)
	}
	return s
}

func TestWaitingEntriesDoNotSlowDownTheReportsOfEngines(t *testing.T) {
	allocations := func(waiters int) float64 {
		s := newCrowd(t, 140, waiters)
		upstream := s.mover.engines["e000"].upstream
		report, err := s.yard.Report(t.Context(), upstream)
		assert.NilError(t, err)
		return testing.AllocsPerRun(20, func() {
			s.mover.handle(reportRead{term: firstTerm, engine: upstream, askedAt: s.now, report: report}, s.now)
		})
	}
	few, many := allocations(0), allocations(400)
	assert.Assert(t, many <= few+5, "%.0f allocations for a report with 400 waiting, %.0f with none", many, few)
}

func TestOrdersForAdaptersDoNotAddUpAllLoadsAnew(t *testing.T) {
	s := newStage(t, map[string][]string{"e1": {"m"}, "e2": {"m"}, "e3": {"n"}})
	sums := 0
	s.mover.settings.Loads = func() map[string]router.Load {
		sums++
		return nil
	}
	s.control.lead(firstTerm, true)
	s.play(time.Second)
	before := sums
	for at := range 10 {
		call := wantCalled{want: Want{Service: "s", Model: "m", Adapter: fmt.Sprint("a", at)}, answer: make(chan Wanted, 1)}
		s.mover.handle(call, s.now)
		s.settle()
	}
	s.play(time.Second)
	most := int(time.Second/loadsEvery) + 1
	assert.Assert(t, sums-before <= most, "%d sums of all loads in a second", sums-before)
}
