package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRequestsOverFairShareLeaveRoomOnlyUnderContention(t *testing.T) {
	overShare := newRequest(1)
	overShare.OverFairShare = true
	overShare.FirstTokenBy = epoch.Add(2 * time.Second)
	nearDeadline := newRequest(2)
	nearDeadline.FirstTokenBy = epoch.Add(time.Second)
	r := New(Settings{})
	r.Update(fleetCatalog(t, 1))
	limit := fill(t, r, epoch, overShare)
	assert.Assert(t, limit >= 16, "%d", limit)

	r = New(Settings{})
	r.Update(fleetCatalog(t, 1))
	assert.Equal(t, fill(t, r, epoch, nearDeadline), limit)
	for range limit {
		r.Finished(Choice{Upstream: "e0", Incarnation: "1"}, Sample{Ended: epoch, Outcome: OutcomeFinished})
	}
	granted := fill(t, r, epoch, overShare)
	assert.Assert(t, granted > 0 && granted < limit, "%d of %d", granted, limit)
	assert.Equal(t, fill(t, r, epoch, nearDeadline), limit-granted)
	later := epoch.Add(2 * contendedTime)
	for range limit {
		r.Finished(Choice{Upstream: "e0", Incarnation: "1"}, Sample{Ended: later, Outcome: OutcomeFinished})
	}
	overShare.FirstTokenBy = later.Add(2 * time.Second)
	assert.Equal(t, fill(t, r, later, overShare), limit)
}
