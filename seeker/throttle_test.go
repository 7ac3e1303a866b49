package seeker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSlowAnswerDoesNotBlockOtherQueries(t *testing.T) {
	cases := map[string]struct {
		after time.Duration
		want  bool
	}{
		"at once":                {0, false},
		"within the backoff":     {maxBackoff / 2, false},
		"after the maximum":      {maxBackoff, true},
		"after the call timeout": {callTimeout, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g, now := &throttle{}, time.Now()
			g.done(false, now)
			first := now.Add(maxBackoff)
			assert.Equal(t, g.admit(first), time.Duration(0))
			assert.Equal(t, g.admit(first.Add(c.after)) == 0, c.want)
		})
	}
}
