package mover

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/router"
)

// newLoadedHarness returns a harness with many engines and many waiters for
// their adapters.
func newLoadedHarness(t *testing.T, engines, waiters int) *harness {
	t.Helper()
	holds := map[string][]string{}
	for i := range engines {
		holds[fmt.Sprintf("e%03d", i)] = []string{"m"}
	}
	s := newHarness(t, holds)
	s.group.setLeading(firstTerm, true)
	s.advance(2 * time.Second)
	// no order is given during backoff, so that all keep waiting
	for _, e := range s.mover.engines {
		e.backoffUntil = s.now.Add(time.Hour)
	}
	for i := range waiters {
		call := wantReceived{want: Want{Service: "s", Model: "m", Adapter: fmt.Sprint("a", i)}, answer: make(chan WantResult, 1)}
		s.mover.handle(call, s.now)
	}
	return s
}

func TestWaitingEntriesDoNotSlowDownTheReportsOfEngines(t *testing.T) {
	allocations := func(waiters int) float64 {
		s := newLoadedHarness(t, 140, waiters)
		upstream := s.mover.engines["e000"].upstream
		report, err := s.engines.Report(t.Context(), upstream)
		assert.NilError(t, err)
		return testing.AllocsPerRun(20, func() {
			s.mover.handle(reportRead{term: firstTerm, engine: upstream, askedAt: s.now, report: report}, s.now)
		})
	}
	few, many := allocations(0), allocations(400)
	assert.Assert(t, many <= few+5, "%.0f allocations for a report with 400 waiting, %.0f with none", many, few)
}

func TestFinishedOrderDoesNotBuildAViewForEachWaiter(t *testing.T) {
	allocations := func(entries int) float64 {
		s := newLoadedHarness(t, 1, 0)
		for range entries {
			call := wantReceived{want: Want{Service: "s", Model: "m", Adapter: "a"}, answer: make(chan WantResult, 1)}
			s.mover.handle(call, s.now)
		}
		e := s.mover.engines["e000"]
		e.backoffUntil, e.busy = time.Time{}, false
		// no adapter has room
		e.copies["m"].Adapters = map[string]time.Time{}
		for i := range s.mover.engineSpec("s").AdapterSlots {
			e.copies["m"].Adapters[fmt.Sprint("used-", i)] = s.now
		}
		return testing.AllocsPerRun(20, func() { s.mover.loadNextAdapter("e000", s.now) })
	}
	few, many := allocations(1), allocations(70)
	assert.Assert(t, many <= few+5, "%.0f allocations with 70 entries, %.0f with one", many, few)
}

func TestAdapterOrdersDoNotSumAllLoadsAgain(t *testing.T) {
	s := newHarness(t, map[string][]string{"e1": {"m"}, "e2": {"m"}, "e3": {"n"}})
	sums := 0
	s.mover.settings.Loads = func() map[string]router.Load {
		sums++
		return nil
	}
	s.group.setLeading(firstTerm, true)
	s.advance(time.Second)
	before := sums
	for i := range 10 {
		call := wantReceived{want: Want{Service: "s", Model: "m", Adapter: fmt.Sprint("a", i)}, answer: make(chan WantResult, 1)}
		s.mover.handle(call, s.now)
		s.drainEvents()
	}
	s.advance(time.Second)
	most := int(time.Second/loadsInterval) + 1
	assert.Assert(t, sums-before <= most, "%d sums of all loads in a second", sums-before)
}

func TestReadyTimeIgnoresLoadsOfOtherModels(t *testing.T) {
	loading := func(model string, left time.Duration) func(s *harness) {
		return func(s *harness) {
			e := s.mover.engines["e1"]
			e.sending, e.orderedModel, e.loadedAt = true, model, s.now.Add(left)
		}
	}
	intended := func(s *harness) { s.mover.engines["e2"].planned = "o" }
	both := func(s *harness) {
		intended(s)
		loading("o", time.Second)(s)
	}
	cases := map[string]struct {
		given func(s *harness)
		want  time.Duration
	}{
		"nothing under way":         {func(*harness) {}, evictionEstimate + 8*time.Second},
		"its own load":              {loading("o", time.Second), time.Second + busyReportInterval},
		"another model's load":      {loading("n", time.Second), evictionEstimate + 8*time.Second},
		"room is made for it":       {intended, evictionEstimate + 8*time.Second},
		"the sooner one of several": {both, time.Second + busyReportInterval},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newHarness(t, map[string][]string{"e1": {"m"}, "e2": {"m"}})
			s.group.setLeading(firstTerm, true)
			s.advance(time.Second)
			s.mover.settings.StoreWindow = 0
			for _, e := range s.mover.engines {
				e.sending, e.orderedModel, e.loading, e.planned, e.loadedAt = false, "", "", "", time.Time{}
			}
			c.given(s)
			readyIn, known := s.mover.readyIn(Want{Service: "s", Model: "o"}, s.now)
			assert.Assert(t, known)
			assert.Equal(t, readyIn, c.want)
		})
	}
}

func TestAdaptersDoNotStarveWhereTheOnlyHolderIsFull(t *testing.T) {
	s := newHarness(t, map[string][]string{"e1": {"m"}, "e2": {"n", "o"}, "e3": {"n", "o"}})
	s.engines.engines["e1"].report.Holds[0].Adapters = []string{"a1", "a2"}
	s.engines.engines["e2"].report.OnDisk = append(s.engines.engines["e2"].report.OnDisk, "m")
	s.group.setLeading(firstTerm, true)
	s.advance(time.Second)
	for end := s.now.Add(20 * time.Second); s.now.Before(end); {
		// both loaded adapters are in use all the time
		for _, adapter := range []string{"a1", "a2"} {
			s.mover.engines["e1"].copies["m"].Adapters[adapter] = s.now
		}
		s.mover.handle(wantReceived{want: Want{Service: "s", Model: "m", Adapter: "a3"}, answer: make(chan WantResult, 1)}, s.now)
		s.drainEvents()
		s.advance(roundInterval)
	}
	for _, sent := range s.engines.sentOrders() {
		if sent.engine != "e1" && sent.order.Model == "m" && sent.order.Adapter == "a3" {
			return
		}
	}
	t.Errorf("a3 was not loaded: %v", s.engines.sentOrders())
}

func TestAnEngineThatLeavesOrPausesIsGivenNothing(t *testing.T) {
	cases := map[string]struct {
		notice func(now time.Time) router.Notice
		err    error
		orders bool
	}{
		"neither":            {func(time.Time) router.Notice { return router.Notice{} }, nil, true},
		"it leaves":          {func(time.Time) router.Notice { return router.Notice{Leaving: true} }, nil, false},
		"it leaves, refused": {func(time.Time) router.Notice { return router.Notice{Leaving: true} }, &noAnswerError{}, false},
		"it pauses": {func(now time.Time) router.Notice {
			return router.Notice{PausedUntil: now.Add(time.Hour)}
		}, &noAnswerError{}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newHarness(t, map[string][]string{"e1": {"m"}})
			s.group.setLeading(firstTerm, true)
			s.advance(time.Second)
			upstream := s.mover.engines["e1"].upstream
			report := s.engines.engines["e1"].report
			report.Notice = c.notice(s.now)
			s.mover.handle(reportRead{term: firstTerm, engine: upstream, askedAt: s.now, report: report, err: c.err}, s.now)
			before := len(s.engines.sentOrders())
			for range 20 {
				s.mover.handle(wantReceived{want: Want{Service: "s", Model: "m", Adapter: "a1"}, answer: make(chan WantResult, 1)}, s.now)
				s.drainEvents()
				s.advance(roundInterval)
			}
			assert.Equal(t, len(s.engines.sentOrders()) > before, c.orders)
			announced, _ := s.mover.Held(0)
			assert.Equal(t, len(announced[0].Holds) > 0, !report.Notice.Leaving, "entry nodes hear that it is leaving")
		})
	}
}
