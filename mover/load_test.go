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

func TestCallersAreNotToldTheTimeOfAnotherModelsLoad(t *testing.T) {
	loading := func(model string, left time.Duration) func(s *stage) {
		return func(s *stage) {
			one := s.mover.engines["e1"]
			one.sending, one.ordered, one.loadedAt = true, model, s.now.Add(left)
		}
	}
	intended := func(s *stage) { s.mover.engines["e2"].intended = "o" }
	both := func(s *stage) {
		intended(s)
		loading("o", time.Second)(s)
	}
	cases := map[string]struct {
		given func(s *stage)
		want  time.Duration
	}{
		"nothing under way":         {func(*stage) {}, roomTime + 8*time.Second},
		"its own load":              {loading("o", time.Second), time.Second + reportSoon},
		"another model's load":      {loading("n", time.Second), roomTime + 8*time.Second},
		"room is made for it":       {intended, roomTime + 8*time.Second},
		"the sooner one of several": {both, time.Second + reportSoon},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newStage(t, map[string][]string{"e1": {"m"}, "e2": {"m"}})
			s.control.lead(firstTerm, true)
			s.play(time.Second)
			s.mover.settings.StoreWindow = 0
			for _, one := range s.mover.engines {
				one.sending, one.ordered, one.loading, one.intended, one.loadedAt = false, "", "", "", time.Time{}
			}
			c.given(s)
			readyIn, known := s.mover.readyIn(Want{Service: "s", Model: "o"}, s.now)
			assert.Assert(t, known)
			assert.Equal(t, readyIn, c.want)
		})
	}
}

func TestAdaptersDoNotStarveWhereTheOnlyHolderIsFull(t *testing.T) {
	s := newStage(t, map[string][]string{"e1": {"m"}, "e2": {"n", "o"}, "e3": {"n", "o"}})
	s.yard.engines["e1"].report.Holds[0].Adapters = []string{"a1", "a2"}
	s.yard.engines["e2"].report.OnDisk = append(s.yard.engines["e2"].report.OnDisk, "m")
	s.control.lead(firstTerm, true)
	s.play(time.Second)
	for end := s.now.Add(20 * time.Second); s.now.Before(end); {
		// the two that are there are in use all the time
		for _, adapter := range []string{"a1", "a2"} {
			s.mover.engines["e1"].copies["m"].Adapters[adapter] = s.now
		}
		s.mover.handle(wantCalled{want: Want{Service: "s", Model: "m", Adapter: "a3"}, answer: make(chan Wanted, 1)}, s.now)
		s.settle()
		s.play(tick)
	}
	for _, one := range s.yard.given() {
		if one.engine != "e1" && one.order.Model == "m" && one.order.Adapter == "a3" {
			return
		}
	}
	t.Errorf("a3 was not loaded: %v", s.yard.given())
}
