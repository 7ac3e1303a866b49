package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/cataloger"
	"burdocklink/limiter"
)

func TestALimitHoldsUntilALaterRequestIsAnsweredWithoutIt(t *testing.T) {
	two, three := RateLimit{Named: true, PerSecond: 2}, RateLimit{Named: true, PerSecond: 3}
	const at = time.Second
	cases := map[string]struct {
		sent, answered time.Duration
		limit          RateLimit
		want           RateLimit
	}{
		"the same":                          {at, at, two, two},
		"another one":                       {at, at, three, three},
		"another one to an earlier request": {-at, at, three, three},
		"none to a later request":           {at, 2 * at, RateLimit{}, RateLimit{}},
		"none to an earlier request":        {-at, 2 * at, RateLimit{}, two},
		"none to one sent at that moment":   {0, at, RateLimit{}, two},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := New(Settings{})
			r.Update(fleet(t, 2))
			assert.Assert(t, r.HeedLimit(epoch, engine(0), epoch, two).Changed)
			change := r.HeedLimit(epoch.Add(c.answered), engine(0), epoch.Add(c.sent), c.limit)
			assert.Equal(t, change.Changed, c.want != two)
			assert.Equal(t, r.Limit(engine(0)), c.want)
			assert.Equal(t, r.Limit(engine(1)), RateLimit{})
		})
	}
}

func TestALimitIsOfTheIncarnation(t *testing.T) {
	const first = "127.0.0.1:1"
	r := New(Settings{})
	r.Update(listed(t, "1", first, cataloger.UpstreamLive))
	r.HeedLimit(epoch, engine(0), epoch, RateLimit{Named: true, PerSecond: 2})
	assert.Equal(t, r.Counts(epoch).Limited, 1)
	next := engine(0)
	next.Incarnation = "2"
	r.Update(listed(t, "2", first, cataloger.UpstreamLive))
	assert.Equal(t, r.Counts(epoch).Limited, 0)
	assert.Assert(t, !r.Limit(next).Named)
	r.Update(listed(t, "1", first, cataloger.UpstreamLive))
	assert.Equal(t, r.Counts(epoch).Limited, 1)
}

func TestLimitsAreKeptInBoundedMemory(t *testing.T) {
	r := New(Settings{})
	for at := range mostHeard + 100 {
		r.HeedLimit(epoch.Add(time.Duration(at)*time.Millisecond), engine(at), epoch, RateLimit{Named: true, PerSecond: 2})
	}
	assert.Equal(t, len(r.limits), mostHeard)
	assert.Assert(t, !r.Limit(engine(0)).Named, "the oldest is forgotten first")
}

// In the answer to a request that could have gone elsewhere, an entry hears the end
// of a limit.
func TestSpareRequestsAreAskedForNowAndThen(t *testing.T) {
	r := New(Settings{})
	r.Update(fleet(t, 2))
	r.HeedLimit(epoch, engine(0), epoch, RateLimit{Named: true, PerSecond: 2})
	now := epoch
	spare := 0
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		choice, err := r.Choose(now, ask(1))
		assert.NilError(t, err)
		assert.Equal(t, choice.Upstream, "e1")
		asks, _ := r.LimitAsks(now, "core-1")
		for _, one := range asks {
			assert.Assert(t, one.Wanted == 0 || one.Spare)
			spare += one.Wanted
		}
		r.Asked("core-1", asks, true)
	}
	assert.Equal(t, spare, 5, "once a second")
	r.TakeReservations([]Reservation{{Upstream: "e0", Incarnation: "1", Permits: []limiter.Permit{{
		From: now, Until: now.Add(limiter.PermitLifetime),
	}}}})
	choice, err := r.Choose(now, ask(1))
	assert.NilError(t, err)
	assert.Equal(t, choice.Upstream, "e0")
	assert.Assert(t, !r.Started(choice, ask(1), now).IsZero())
	choice, err = r.Choose(now, ask(2))
	assert.NilError(t, err)
	assert.Equal(t, choice.Upstream, "e1")
}
