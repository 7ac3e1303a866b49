package mover

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/surveyor"
)

// A leader does not know which loads the one before it has begun in the same
// window: together they must keep the store's limit.
func TestLoadsAroundAHandOverKeepTheStoresLimit(t *testing.T) {
	s := newStage(t, map[string][]string{"e1": nil, "e2": nil, "e3": nil, "e4": nil})
	s.control.lead(firstTerm+3, true)
	led := s.now
	s.play(tick)
	for range 60 {
		for _, model := range []string{"m", "n", "o"} {
			s.mover.noteWanted(surveyor.HeldName("s", model, ""), s.now)
		}
		s.play(250 * time.Millisecond)
	}
	first := time.Duration(-1)
	for _, one := range s.yard.given() {
		if one.order.Action != ActionLoad {
			continue
		}
		if since := one.at.Sub(led); first < 0 {
			first = since
		}
	}
	assert.Assert(t, first >= s.mover.settings.StoreWindow, "a load %v after the lead began", first)
	assert.Assert(t, first < s.mover.settings.StoreWindow+time.Second, "the first load after %v", first)
}
