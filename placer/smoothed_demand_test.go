package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestMeanSecondsWithoutMeasuredTimes(t *testing.T) {
	cases := map[string]struct {
		count Count
		want  float64
	}{
		"measured":   {count: Count{Ended: 2, Busy: 8 * time.Second, AnswerTokens: 60}, want: 4},
		"unmeasured": {count: Count{Ended: 2, AnswerTokens: 60}, want: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.count.meanSeconds(), c.want)
		})
	}
}

func TestDemandJumpsOnlyBeyondChance(t *testing.T) {
	cases := map[string]struct {
		demand SmoothedDemand
		want   bool
	}{
		"even":      {demand: SmoothedDemand{Fast: 1, Slow: 1}},
		"burst":     {demand: SmoothedDemand{Fast: 1.8, Slow: 1}},
		"tenfold":   {demand: SmoothedDemand{Fast: 10, Slow: 1}, want: true},
		"from none": {demand: SmoothedDemand{Fast: 2}, want: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.demand.jumped(), c.want)
		})
	}
}
