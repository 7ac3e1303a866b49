package limiter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Date(2030, time.May, 1, 10, 0, 0, 0, time.UTC)

func TestLimitFollowsMeasuredLatency(t *testing.T) {
	cases := map[string]struct {
		measured time.Duration
		atLeast  float64
		atMost   float64
	}{
		"samples over target":   {measured: 80 * time.Millisecond, atLeast: 2, atMost: 2},
		"samples within target": {measured: 20 * time.Millisecond, atLeast: 32, atMost: 32},
		"no measurement":        {measured: 0, atLeast: 32, atMost: 32},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := New(Settings{Min: 2, Max: 32})
			for range 200 {
				l.Observe(l.Current(), c.measured, 50*time.Millisecond)
			}
			assert.Assert(t, l.Current() >= c.atLeast && l.Current() <= c.atMost, "%f", l.Current())
		})
	}
}

func TestLimitRecoversOnlyUnderLoad(t *testing.T) {
	l := New(Settings{Min: 2, Max: 32})
	for range 20 {
		l.Observe(32, time.Second, 50*time.Millisecond)
	}
	low := l.Current()
	l.Observe(1, time.Millisecond, 50*time.Millisecond)
	assert.Equal(t, l.Current(), low)
	for range 2000 {
		l.Observe(l.Current(), time.Millisecond, 50*time.Millisecond)
	}
	assert.Equal(t, l.Current(), 32.0)
}

func TestCircuitOpensOnConsecutiveFailures(t *testing.T) {
	var c Circuit
	c.Failed(epoch)
	c.Failed(epoch)
	c.Succeeded()
	c.Failed(epoch)
	c.Failed(epoch)
	assert.Assert(t, c.Allows(epoch))
	c.Failed(epoch)
	assert.Assert(t, !c.Allows(epoch))
	assert.Assert(t, c.Allows(c.RetryAt))
	// One attempt at a time while the circuit is open.
	c.Attempted(epoch.Add(initialBackoff))
	assert.Assert(t, !c.Allows(epoch.Add(initialBackoff)))
	for range 20 {
		c.Failed(epoch)
	}
	assert.Equal(t, c.RetryAt, epoch.Add(maxBackoff))
	c.Succeeded()
	assert.Assert(t, c.Allows(epoch))
}

func TestBudgetIsAFractionOfTraffic(t *testing.T) {
	b := NewBudget(DefaultBudget())
	spent := 0
	for range 1000 {
		b.Earn()
		for b.Spend() {
			spent++
		}
	}
	assert.Assert(t, spent >= 100 && spent <= 111, "%d", spent)
}
