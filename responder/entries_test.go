package responder

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/encoder/wire"
	"burdocklink/placer"
)

func TestMessageIntervalsGrowWithEntries(t *testing.T) {
	cases := map[string]struct {
		entries                int
		heartbeat, propagation time.Duration
	}{
		"few":     {7, 250 * time.Millisecond, 50 * time.Millisecond},
		"seventy": {70, 500 * time.Millisecond, 500 * time.Millisecond},
		"many":    {890, maxHeartbeatInterval, maxHeartbeatInterval},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := New(Settings{HeartbeatInterval: 250 * time.Millisecond})
			now := time.Now()
			for i := range c.entries {
				request := &wire.FollowRequest{Entry: fmt.Sprint(i), Address: fmt.Sprint(i)}
				r.entries.put(request, nil, now)
			}
			addresses, _, _ := r.entries.peers(now)
			assert.Equal(t, len(addresses), c.entries)
			assert.Equal(t, r.heartbeatInterval(), c.heartbeat)
			assert.Equal(t, r.PropagationTime(), c.propagation)
		})
	}
}

func TestNewDemandIsCountedOnce(t *testing.T) {
	r := New(Settings{})
	now := time.Now()
	report := func(since int64, arrivals uint64) {
		request := &wire.FollowRequest{Entry: "e", SinceUnixMs: since}
		r.entries.put(request, []placer.ClassCount{{Name: "m", Class: "draft", Count: placer.Count{Arrivals: arrivals}}}, now)
	}
	takeArrivals := func() uint64 { return r.TakeDemand()["m"]["draft"].Arrivals }
	report(1, 100)
	assert.Equal(t, takeArrivals(), uint64(0), "earlier counts of a new entry are not new demand")
	report(1, 105)
	report(1, 107)
	assert.Equal(t, takeArrivals(), uint64(7))
	assert.Equal(t, takeArrivals(), uint64(0))
	report(2, 5)
	assert.Equal(t, takeArrivals(), uint64(5), "a restarted entry counts from zero")
	demand := r.Demands()["e"]
	assert.Equal(t, demand.Counts["m"]["draft"].Arrivals, uint64(5))
	assert.Assert(t, demand.Since.Equal(time.UnixMilli(2)))
}

func TestDemandUnderAnotherLeaderIsNotNew(t *testing.T) {
	cases := map[string]struct {
		gap   time.Duration
		since int64
		want  uint64
	}{
		"next message":                       {500 * time.Millisecond, 1, 100},
		"after a lost connection":            {3 * time.Second, 1, 100},
		"after another member led":           {30 * time.Second, 1, 0},
		"restarted while another member led": {30 * time.Second, 2, 0},
		"restarted within the gap":           {3 * time.Second, 2, 300},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r, now := New(Settings{}), time.Now()
			report := func(since int64, arrivals uint64) uint64 {
				request := &wire.FollowRequest{Entry: "e", SinceUnixMs: since}
				r.entries.put(request, []placer.ClassCount{{Name: "m", Class: "draft", Count: placer.Count{Arrivals: arrivals}}}, now)
				return r.TakeDemand()["m"]["draft"].Arrivals
			}
			report(1, 200)
			now = now.Add(c.gap)
			assert.Equal(t, report(c.since, 300), c.want)
			assert.Equal(t, report(c.since, 301), uint64(1))
		})
	}
}

func TestCostOfMessageIsIndependentOfPastDemand(t *testing.T) {
	allocations := func(names int) float64 {
		r := New(Settings{})
		request := &wire.FollowRequest{Entry: "e", SinceUnixMs: 1}
		for i := range names {
			r.entries.put(request, []placer.ClassCount{{Name: fmt.Sprint(i), Class: "draft"}}, time.Now())
		}
		changed := []placer.ClassCount{{Name: "0", Class: "draft", Count: placer.Count{Arrivals: 1}}}
		return testing.AllocsPerRun(50, func() {
			r.entries.put(request, changed, time.Now())
			r.TakeDemand()
		})
	}
	assert.Equal(t, allocations(700), allocations(10))
}
