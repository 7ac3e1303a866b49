package router

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fill dispatches requests until none fits and returns how many did.
func fill(t *testing.T, r *Router, now time.Time, request *Request) int {
	t.Helper()
	for count := 0; ; count++ {
		choice, err := r.Choose(now, request)
		var saturated *SaturatedError
		if errors.As(err, &saturated) {
			return count
		}
		assert.NilError(t, err)
		r.Started(choice, request, now)
	}
}

func TestLatencyTolerantRequestsLeaveRoomForUrgentOnes(t *testing.T) {
	urgent := newRequest(1)
	urgent.FirstTokenBy = epoch.Add(time.Second)
	tolerant := newRequest(2)
	cases := map[string]struct {
		first *Request
		least int
		most  int
	}{
		"whole limit without urgent requests":    {first: tolerant, least: 16, most: 24},
		"half the limit after an urgent request": {first: urgent, least: 6, most: 10},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := New(Settings{})
			r.Update(fleetCatalog(t, 1))
			choice, err := r.Choose(epoch, c.first)
			assert.NilError(t, err)
			r.Started(choice, c.first, epoch)
			count := fill(t, r, epoch, tolerant)
			assert.Assert(t, count >= c.least && count <= c.most, "%d", count)
			assert.Equal(t, fill(t, r, epoch, urgent) > 0, c.first == urgent)
			assert.Equal(t, fill(t, r, epoch.Add(2*urgentTime), tolerant), 0)
		})
	}
}
