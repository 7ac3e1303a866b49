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
		load Load
		want bool
	}{
		"even":      {load: Load{Fast: 1, Slow: 1}},
		"burst":     {load: Load{Fast: 1.8, Slow: 1}},
		"tenfold":   {load: Load{Fast: 10, Slow: 1}, want: true},
		"from none": {load: Load{Fast: 2}, want: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.load.jumped(), c.want)
		})
	}
}
