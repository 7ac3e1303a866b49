package limiter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// countAllowed sends requests at a time until the pause refuses one, and returns
// their number.
func countAllowed(p *Pause, now time.Time) int {
	count := 0
	for ; count < 1000 && p.Allows(now); count++ {
		p.Sent()
	}
	return count
}

func TestPause(t *testing.T) {
	start := time.Date(2030, time.May, 1, 10, 0, 0, 0, time.UTC)
	after := func(length time.Duration) time.Time { return start.Add(length) }
	cases := map[string]struct {
		pauses []time.Duration
		now    []time.Duration
		want   []int
	}{
		"no pause":             {nil, []time.Duration{0}, []int{1000}},
		"during the pause":     {[]time.Duration{time.Second}, []time.Duration{0, time.Second - 1}, []int{0, 0}},
		"ramp":                 {[]time.Duration{time.Second}, []time.Duration{time.Second, time.Second + rampStep, time.Second + 2*rampStep}, []int{1, 1, 2}},
		"after the ramp":       {[]time.Duration{time.Second}, []time.Duration{time.Second + rampSteps*rampStep}, []int{1000}},
		"shorter second pause": {[]time.Duration{2 * time.Second, time.Second}, []time.Duration{time.Second, 2 * time.Second}, []int{0, 1}},
		"longer second pause":  {[]time.Duration{time.Second, 2 * time.Second}, []time.Duration{time.Second, 2 * time.Second}, []int{0, 1}},
		"pause in the past":    {[]time.Duration{-time.Hour}, []time.Duration{0}, []int{1000}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var p Pause
			for _, length := range c.pauses {
				p.Extend(after(length))
			}
			for at, now := range c.now {
				assert.Equal(t, countAllowed(&p, after(now)), c.want[at], "%v", now)
			}
		})
	}
}

// A second pause during the ramp restarts it.
func TestPauseDuringRampRestartsTheRamp(t *testing.T) {
	start := time.Date(2030, time.May, 1, 10, 0, 0, 0, time.UTC)
	var p Pause
	p.Extend(start)
	now := start.Add(3 * rampStep)
	assert.Equal(t, countAllowed(&p, now), 8)
	p.Extend(now.Add(time.Second))
	assert.Equal(t, countAllowed(&p, now), 0)
	assert.Equal(t, countAllowed(&p, now.Add(time.Second)), 1)
}
