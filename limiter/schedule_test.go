package limiter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestScheduleSpacesRequests(t *testing.T) {
	cases := map[string]struct {
		perSecond float64
		// idle is the time since the last request.
		idle     time.Duration
		requests int
		want     []time.Duration
		// retryAfter is when to try again; zero if all requests were reserved.
		retryAfter time.Duration
	}{
		"spaced": {10, 0, 3, []time.Duration{0, 100 * time.Millisecond, 200 * time.Millisecond}, 0},
		"up to the horizon": {10, 0, 4, []time.Duration{0, 100 * time.Millisecond, 200 * time.Millisecond},
			300*time.Millisecond - ScheduleHorizon},
		"burst after an idle time": {4, time.Hour, 4, []time.Duration{0, 0, 0, 250 * time.Millisecond}, 0},
		"burst at a low rate":      {1, time.Hour, 2, []time.Duration{0}, 500*time.Millisecond - ScheduleHorizon},
		"one in 4 s at rate 0":     {0, 0, 2, []time.Duration{0}, 4*time.Second - ScheduleHorizon},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := NewSchedule(epoch.Add(-c.idle))
			var got []time.Duration
			retryAfter := time.Duration(0)
			for range c.requests {
				due, reserved := s.Reserve(epoch, c.perSecond)
				if !reserved {
					retryAfter = due.Sub(epoch)
					break
				}
				got = append(got, due.Sub(epoch))
			}
			assert.DeepEqual(t, got, c.want)
			assert.Equal(t, retryAfter, c.retryAfter)
		})
	}
}

func TestScheduleKeepsTheLimitInAnyInterval(t *testing.T) {
	for name, perSecond := range map[string]float64{"low": 0.5, "middle": 2.5, "high": 40} {
		t.Run(name, func(t *testing.T) {
			s := NewSchedule(epoch.Add(-time.Hour))
			count := 0
			for since := time.Duration(0); since < 4*time.Second; since += time.Millisecond {
				for {
					due, reserved := s.Reserve(epoch.Add(since), perSecond)
					if !reserved || !due.Before(epoch.Add(4*time.Second)) {
						break
					}
					count++
				}
			}
			assert.Assert(t, float64(count) <= perSecond*4.5+1, "%d", count)
			assert.Assert(t, float64(count) >= perSecond*4, "%d", count)
		})
	}
}

func TestChargedRequestsDelayReservations(t *testing.T) {
	s := NewSchedule(epoch)
	assert.Assert(t, !s.Idle(epoch))
	assert.Assert(t, s.Idle(epoch.Add(burstTime)))
	s.Charge(epoch, 10)
	due, reserved := s.Reserve(epoch, 10)
	assert.Assert(t, reserved)
	assert.Equal(t, due, epoch.Add(100*time.Millisecond))
}

func TestPermitsAreUsedOnceBeforeExpiry(t *testing.T) {
	var p Permits
	first := Permit{From: epoch, Until: epoch.Add(PermitLifetime)}
	second := Permit{From: epoch.Add(time.Second), Until: epoch.Add(time.Second + PermitLifetime)}
	p.Add(second, first)
	next, found := p.Next(epoch)
	assert.Assert(t, found)
	assert.Equal(t, next, first)
	got, taken := p.Take(epoch)
	assert.Assert(t, taken)
	assert.Equal(t, got, first)
	_, taken = p.Take(epoch)
	assert.Assert(t, !taken, "the second permit is not due")
	assert.Equal(t, p.Count(epoch), 1)
	_, taken = p.Take(second.Until)
	assert.Assert(t, !taken, "the second permit has expired")
	assert.Equal(t, p.Count(epoch), 0)
}
