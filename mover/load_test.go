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
	h := newHarness(t, holds)
	h.group.setLeading(firstTerm, true)
	h.advance(2 * time.Second)
	// no order is given during backoff, so that all keep waiting
	for _, e := range h.mover.engines {
		e.backoffUntil = h.now.Add(time.Hour)
	}
	for i := range waiters {
		call := wantReceived{want: Want{Service: "s", Model: "m", Adapter: fmt.Sprint("a", i)}, answer: make(chan WantResult, 1)}
		h.mover.handle(call, h.now)
	}
	return h
}

func TestWaitingEntriesDoNotSlowDownTheReportsOfEngines(t *testing.T) {
	allocations := func(waiters int) float64 {
		h := newLoadedHarness(t, 140, waiters)
		upstream := h.mover.engines["e000"].upstream
		report, err := h.engines.Report(t.Context(), upstream)
		assert.NilError(t, err)
		return testing.AllocsPerRun(20, func() {
			h.mover.handle(reportRead{term: firstTerm, engine: upstream, requestedAt: h.now, report: report}, h.now)
		})
	}
	few, many := allocations(0), allocations(400)
	assert.Assert(t, many <= few+5, "%.0f allocations for a report with 400 waiting, %.0f with none", many, few)
}

func TestFinishedOrderDoesNotBuildAViewForEachWaiter(t *testing.T) {
	allocations := func(entries int) float64 {
		h := newLoadedHarness(t, 1, 0)
		for range entries {
			call := wantReceived{want: Want{Service: "s", Model: "m", Adapter: "a"}, answer: make(chan WantResult, 1)}
			h.mover.handle(call, h.now)
		}
		e := h.mover.engines["e000"]
		e.backoffUntil, e.busy = time.Time{}, false
		// no adapter has room
		e.copies["m"].Adapters = map[string]time.Time{}
		for i := range h.mover.engineSpec("s").AdapterSlots {
			e.copies["m"].Adapters[fmt.Sprint("used-", i)] = h.now
		}
		return testing.AllocsPerRun(20, func() { h.mover.loadNextAdapter("e000", h.now) })
	}
	few, many := allocations(1), allocations(70)
	assert.Assert(t, many <= few+5, "%.0f allocations with 70 entries, %.0f with one", many, few)
}

func TestAdapterOrdersDoNotSumAllLoadsAgain(t *testing.T) {
	h := newHarness(t, map[string][]string{"e1": {"m"}, "e2": {"m"}, "e3": {"n"}})
	sums := 0
	h.mover.settings.Loads = func() map[string]router.Load {
		sums++
		return nil
	}
	h.group.setLeading(firstTerm, true)
	h.advance(time.Second)
	before := sums
	for i := range 10 {
		call := wantReceived{want: Want{Service: "s", Model: "m", Adapter: fmt.Sprint("a", i)}, answer: make(chan WantResult, 1)}
		h.mover.handle(call, h.now)
		h.drainEvents()
	}
	h.advance(time.Second)
	most := int(time.Second/loadsInterval) + 1
	assert.Assert(t, sums-before <= most, "%d sums of all loads in a second", sums-before)
}

func TestReadyTimeIgnoresLoadsOfOtherModels(t *testing.T) {
	loads := func(model string, left time.Duration) func(h *harness) {
		return func(h *harness) {
			e := h.mover.engines["e1"]
			e.sending, e.orderedModel, e.loadedAt = true, model, h.now.Add(left)
		}
	}
	planned := func(h *harness) { h.mover.engines["e2"].planned = "o" }
	both := func(h *harness) {
		planned(h)
		loads("o", time.Second)(h)
	}
	cases := map[string]struct {
		setup func(h *harness)
		want  time.Duration
	}{
		"nothing under way":         {func(*harness) {}, evictionEstimate + 8*time.Second},
		"its own load":              {loads("o", time.Second), time.Second + busyReportInterval},
		"another model's load":      {loads("n", time.Second), evictionEstimate + 8*time.Second},
		"room is made for it":       {planned, evictionEstimate + 8*time.Second},
		"the sooner one of several": {both, time.Second + busyReportInterval},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, map[string][]string{"e1": {"m"}, "e2": {"m"}})
			h.group.setLeading(firstTerm, true)
			h.advance(time.Second)
			h.mover.settings.StoreWindow = 0
			for _, e := range h.mover.engines {
				e.sending, e.orderedModel, e.loading, e.planned, e.loadedAt = false, "", "", "", time.Time{}
			}
			c.setup(h)
			readyIn, known := h.mover.readyIn(Want{Service: "s", Model: "o"}, h.now)
			assert.Assert(t, known)
			assert.Equal(t, readyIn, c.want)
		})
	}
}

func TestAdaptersDoNotStarveWhereTheOnlyHolderIsFull(t *testing.T) {
	h := newHarness(t, map[string][]string{"e1": {"m"}, "e2": {"n", "o"}, "e3": {"n", "o"}})
	h.engines.engines["e1"].report.Holds[0].Adapters = []string{"a1", "a2"}
	h.engines.engines["e2"].report.OnDisk = append(h.engines.engines["e2"].report.OnDisk, "m")
	h.group.setLeading(firstTerm, true)
	h.advance(time.Second)
	for end := h.now.Add(20 * time.Second); h.now.Before(end); {
		// both loaded adapters are in use all the time
		for _, adapter := range []string{"a1", "a2"} {
			h.mover.engines["e1"].copies["m"].Adapters[adapter] = h.now
		}
		h.mover.handle(wantReceived{want: Want{Service: "s", Model: "m", Adapter: "a3"}, answer: make(chan WantResult, 1)}, h.now)
		h.drainEvents()
		h.advance(roundInterval)
	}
	for _, sent := range h.engines.sentOrders() {
		if sent.engine != "e1" && sent.order.Model == "m" && sent.order.Adapter == "a3" {
			return
		}
	}
	t.Errorf("a3 was not loaded: %v", h.engines.sentOrders())
}

func TestLeavingOrPausedEngineGetsNoOrders(t *testing.T) {
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
			h := newHarness(t, map[string][]string{"e1": {"m"}})
			h.group.setLeading(firstTerm, true)
			h.advance(time.Second)
			upstream := h.mover.engines["e1"].upstream
			report := h.engines.engines["e1"].report
			report.Notice = c.notice(h.now)
			h.mover.handle(reportRead{term: firstTerm, engine: upstream, requestedAt: h.now, report: report, err: c.err}, h.now)
			before := len(h.engines.sentOrders())
			for range 20 {
				h.mover.handle(wantReceived{want: Want{Service: "s", Model: "m", Adapter: "a1"}, answer: make(chan WantResult, 1)}, h.now)
				h.drainEvents()
				h.advance(roundInterval)
			}
			assert.Equal(t, len(h.engines.sentOrders()) > before, c.orders)
			announced, _ := h.mover.Held(0)
			assert.Equal(t, len(announced[0].Holds) > 0, !report.Notice.Leaving, "entries learn that it is leaving")
		})
	}
}
