package mover

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/surveyor"
)

// A leader does not know which loads the previous one has begun in the same
// window: together they must stay within the store's limit.
func TestStoreLoadsAfterALeaderChangeStayWithinTheLimit(t *testing.T) {
	h := newHarness(t, map[string][]string{"e1": nil, "e2": nil, "e3": nil, "e4": nil})
	h.group.setLeading(firstTerm+3, true)
	start := h.now
	h.advance(roundInterval)
	for range 60 {
		for _, model := range []string{"m", "n", "o"} {
			h.mover.recordWaiting(surveyor.HeldName("s", model, ""), "", h.now)
		}
		h.advance(250 * time.Millisecond)
	}
	first := time.Duration(-1)
	for _, sent := range h.engines.sentOrders() {
		if sent.order.Action != ActionLoad {
			continue
		}
		if since := sent.at.Sub(start); first < 0 {
			first = since
		}
	}
	assert.Assert(t, first >= h.mover.settings.StoreWindow, "a load %v after leadership began", first)
	assert.Assert(t, first < h.mover.settings.StoreWindow+time.Second, "the first load after %v", first)
}
