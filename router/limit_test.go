package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/cataloger"
	"burdocklink/limiter"
)

func TestLimitEndsOnlyWithAnswerToLaterRequest(t *testing.T) {
	two, three := RateLimit{Announced: true, PerSecond: 2}, RateLimit{Announced: true, PerSecond: 3}
	const at = time.Second
	cases := map[string]struct {
		sent, answered time.Duration
		limit          RateLimit
		want           RateLimit
	}{
		"same limit":                                  {at, at, two, two},
		"other limit":                                 {at, at, three, three},
		"other limit to an earlier request":           {-at, at, three, three},
		"no limit to a later request":                 {at, 2 * at, RateLimit{}, RateLimit{}},
		"no limit to an earlier request":              {-at, 2 * at, RateLimit{}, two},
		"no limit to a request sent at the same time": {0, at, RateLimit{}, two},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := New(Settings{})
			r.Update(fleetCatalog(t, 2))
			assert.Assert(t, r.ObserveLimit(epoch, engineChoice(0), epoch, two).Changed)
			change := r.ObserveLimit(epoch.Add(c.answered), engineChoice(0), epoch.Add(c.sent), c.limit)
			assert.Equal(t, change.Changed, c.want != two)
			assert.Equal(t, r.Limit(engineChoice(0)), c.want)
			assert.Equal(t, r.Limit(engineChoice(1)), RateLimit{})
		})
	}
}

func TestLimitAppliesToOneIncarnation(t *testing.T) {
	const first = "127.0.0.1:1"
	r := New(Settings{})
	r.Update(singleEngineCatalog(t, "1", first, cataloger.UpstreamLive))
	r.ObserveLimit(epoch, engineChoice(0), epoch, RateLimit{Announced: true, PerSecond: 2})
	assert.Equal(t, r.Counts(epoch).Limited, 1)
	next := engineChoice(0)
	next.Incarnation = "2"
	r.Update(singleEngineCatalog(t, "2", first, cataloger.UpstreamLive))
	assert.Equal(t, r.Counts(epoch).Limited, 0)
	assert.Assert(t, !r.Limit(next).Announced)
	r.Update(singleEngineCatalog(t, "1", first, cataloger.UpstreamLive))
	assert.Equal(t, r.Counts(epoch).Limited, 1)
}

func TestLimitsAreBounded(t *testing.T) {
	r := New(Settings{})
	for at := range maxIncarnations + 100 {
		r.ObserveLimit(epoch.Add(time.Duration(at)*time.Millisecond), engineChoice(at), epoch, RateLimit{Announced: true, PerSecond: 2})
	}
	assert.Equal(t, len(r.limits), maxIncarnations)
	assert.Assert(t, !r.Limit(engineChoice(0)).Announced, "the oldest is evicted first")
}

// The answers to requests that could have gone elsewhere show when a limit has ended.
func TestOptionalPermitsAreRequestedOncePerInterval(t *testing.T) {
	r := New(Settings{})
	r.Update(fleetCatalog(t, 2))
	r.ObserveLimit(epoch, engineChoice(0), epoch, RateLimit{Announced: true, PerSecond: 2})
	now := epoch
	optional := 0
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		choice, err := r.Choose(now, newRequest(1))
		assert.NilError(t, err)
		assert.Equal(t, choice.Upstream, "e1")
		requests, _ := r.ReservationRequests(now, "core-1")
		for _, request := range requests {
			assert.Assert(t, request.Wanted == 0 || request.Optional)
			optional += request.Wanted
		}
		r.FinishReservationRequests("core-1", requests, true)
	}
	assert.Equal(t, optional, 5, "one per second")
	r.AddReservations([]Reservation{{Upstream: "e0", Incarnation: "1", Permits: []limiter.Permit{{
		From: now, Until: now.Add(limiter.PermitLifetime),
	}}}})
	choice, err := r.Choose(now, newRequest(1))
	assert.NilError(t, err)
	assert.Equal(t, choice.Upstream, "e0")
	assert.Assert(t, !r.Started(choice, newRequest(1), now).IsZero())
	choice, err = r.Choose(now, newRequest(2))
	assert.NilError(t, err)
	assert.Equal(t, choice.Upstream, "e1")
}
