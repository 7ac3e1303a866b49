package throttler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"burdocklink/limiter"
	"burdocklink/router"
	"burdocklink/throttler"
)

// newThrottler returns a throttler with the given leadership.
func newThrottler(lead func() (uint64, bool)) *throttler.Throttler {
	return throttler.New(throttler.Settings{Leadership: lead, Registry: metrics.NewRegistry(), Log: zap.NewNop()})
}

func alwaysLeading() (uint64, bool) { return 2, true }

// limitOf returns the observation of a limit in requests per second.
func limitOf(upstream string, perSecond float64, at time.Time) router.ObservedLimit {
	return router.ObservedLimit{
		Upstream: upstream, Incarnation: "1", RateLimit: router.RateLimit{Announced: true, PerSecond: perSecond}, At: at,
	}
}

func reservationRequests(observed router.ObservedLimit, count int) []router.ReservationRequest {
	return []router.ReservationRequest{{ObservedLimit: observed, Wanted: count}}
}

func TestOnlyTheLeaderSchedules(t *testing.T) {
	leading := false
	th := newThrottler(func() (uint64, bool) { return 7, leading })
	_, _, leads := th.Reserve(epoch, "front-1", reservationRequests(limitOf("u", 1, epoch), 1))
	assert.Assert(t, !leads)
	leading = true
	reservations, _, leads := th.Reserve(epoch, "front-1", reservationRequests(limitOf("u", 1, epoch), 1))
	assert.Assert(t, leads)
	assert.Equal(t, len(reservations[0].Permits), 1)
	assert.Assert(t, !reservations[0].Permits[0].From.Before(epoch.Add(limiter.ScheduleHorizon)),
		"permits of the previous leader come first")
}

func TestOptionalRequestsAreReservedOnlyOnIdleUpstreams(t *testing.T) {
	th := newThrottler(alwaysLeading)
	observed := limitOf("u", 2, epoch)
	_, _, _ = th.Reserve(epoch, "front-1", reservationRequests(observed, 1))
	optional := []router.ReservationRequest{{ObservedLimit: observed, Wanted: 1, Optional: true}}
	now := epoch.Add(limiter.ScheduleHorizon)
	reservations, _, _ := th.Reserve(now, "front-2", optional)
	assert.Equal(t, len(reservations[0].Permits), 0)
	now = now.Add(2 * time.Second)
	reservations, _, _ = th.Reserve(now, "front-2", optional)
	assert.Equal(t, len(reservations[0].Permits), 1)
	reservations, _, _ = th.Reserve(now, "front-1", optional)
	assert.Equal(t, len(reservations[0].Permits), 0)
}

func TestNewestLimitObservationWins(t *testing.T) {
	none := router.RateLimit{}
	three := router.RateLimit{Announced: true, PerSecond: 3}
	at := epoch.Add(time.Minute)
	cases := map[string]struct {
		observe func(th *throttler.Throttler)
		want    router.RateLimit
		known   int
	}{
		"older observation": {func(th *throttler.Throttler) {
			_, _, _ = th.Reserve(at, "front-2", reservationRequests(limitOf("u", 3, at.Add(-2*time.Second)), 0))
		}, router.RateLimit{Announced: true, PerSecond: 2}, 1},
		"newer observation": {func(th *throttler.Throttler) {
			_, _, _ = th.Reserve(at, "front-2", reservationRequests(limitOf("u", 3, at), 0))
		}, three, 1},
		"end of the limit": {func(th *throttler.Throttler) {
			_, _, _ = th.Reserve(at, "front-2", []router.ReservationRequest{{ObservedLimit: router.ObservedLimit{Upstream: "u", Incarnation: "1", At: at}}})
		}, none, 1},
		"end in an answer to an own request": {func(th *throttler.Throttler) {
			th.ObserveAnswer(at, at.Add(-time.Millisecond), "u", "1", none)
		}, none, 1},
		"answer to an own, earlier request": {func(th *throttler.Throttler) {
			th.ObserveAnswer(at, at.Add(-time.Minute), "u", "1", none)
		}, router.RateLimit{Announced: true, PerSecond: 2}, 1},
		"limit of another upstream": {func(th *throttler.Throttler) {
			th.ObserveAnswer(at, at, "v", "1", three)
		}, router.RateLimit{Announced: true, PerSecond: 2}, 2},
		"no limit of an unlimited upstream": {func(th *throttler.Throttler) {
			th.ObserveAnswer(at, at, "v", "1", none)
		}, router.RateLimit{Announced: true, PerSecond: 2}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			th := newThrottler(alwaysLeading)
			_, _, _ = th.Reserve(at, "front-1", reservationRequests(limitOf("u", 2, at.Add(-time.Second)), 0))
			c.observe(th)
			assert.Equal(t, th.Limit("u", "1"), c.want)
			limits, _ := th.LimitsAfter(0)
			assert.Equal(t, len(limits), c.known)
		})
	}
}

func TestOwnRequestsCountAgainstTheLimit(t *testing.T) {
	th := newThrottler(alwaysLeading)
	assert.Equal(t, th.Charge(epoch, "u", "1"), router.RateLimit{})
	observed := limitOf("u", 10, epoch)
	_, _, _ = th.Reserve(epoch, "front-1", reservationRequests(observed, 0))
	now := epoch.Add(limiter.ScheduleHorizon)
	first, _, _ := th.Reserve(now, "front-1", reservationRequests(observed, 1))
	assert.Equal(t, th.Charge(now, "u", "1"), observed.RateLimit)
	second, _, _ := th.Reserve(now, "front-1", reservationRequests(observed, 1))
	assert.Equal(t, second[0].Permits[0].From.Sub(first[0].Permits[0].From), 200*time.Millisecond)
}

func TestPauseGrowsWithNumberOfEntries(t *testing.T) {
	th := newThrottler(alwaysLeading)
	var pause time.Duration
	for at := range 50 {
		_, pause, _ = th.Reserve(epoch, fmt.Sprintf("front-%d", at), reservationRequests(limitOf("u", 1, epoch), 1))
	}
	assert.Equal(t, pause, 500*time.Millisecond)
	_, pause, _ = th.Reserve(epoch.Add(2*time.Second), "front-1", reservationRequests(limitOf("u", 1, epoch), 1))
	assert.Assert(t, pause < 50*time.Millisecond, "%v", pause)
}

func BenchmarkReserve(b *testing.B) {
	th := newThrottler(alwaysLeading)
	now := epoch
	entries := make([]string, 890)
	for at := range entries {
		entries[at] = fmt.Sprintf("front-%d", at)
	}
	at := 0
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		_, _, _ = th.Reserve(now, entries[at%len(entries)], reservationRequests(limitOf(fmt.Sprintf("u%d", at%100), 2, now), 1))
		at++
	}
}
