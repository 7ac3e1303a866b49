package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestYieldingRequestsLeaveRoomOnlyUnderContention(t *testing.T) {
	yielding := ask(1)
	yielding.Yields = true
	yielding.FirstTokenBy = epoch.Add(2 * time.Second)
	pressed := ask(2)
	pressed.FirstTokenBy = epoch.Add(time.Second)
	r := New(Settings{})
	r.Update(fleet(t, 1))
	whole := fill(t, r, epoch, yielding)
	assert.Assert(t, whole >= 16, "%d", whole)

	r = New(Settings{})
	r.Update(fleet(t, 1))
	assert.Equal(t, fill(t, r, epoch, pressed), whole)
	for range whole {
		r.Finished(Choice{Upstream: "e0", Incarnation: "1"}, Sample{Ended: epoch, Outcome: OutcomeFinished})
	}
	left := fill(t, r, epoch, yielding)
	assert.Assert(t, left > 0 && left < whole, "%d of %d", left, whole)
	assert.Equal(t, fill(t, r, epoch, pressed), whole-left)
	later := epoch.Add(2 * contendedTime)
	for range whole {
		r.Finished(Choice{Upstream: "e0", Incarnation: "1"}, Sample{Ended: later, Outcome: OutcomeFinished})
	}
	yielding.FirstTokenBy = later.Add(2 * time.Second)
	assert.Equal(t, fill(t, r, later, yielding), whole)
}
