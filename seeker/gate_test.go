package seeker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestAnAnswerThatTakesLongDoesNotHoldBackAllOtherQuestions(t *testing.T) {
	cases := map[string]struct {
		after time.Duration
		want  bool
	}{
		"at once":             {0, false},
		"within the pause":    {longestPause / 2, false},
		"after a long pause":  {longestPause, true},
		"after a longer time": {answerTime, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g, now := &gate{}, time.Now()
			g.leave(false, now)
			first := now.Add(longestPause)
			assert.Equal(t, g.enter(first), time.Duration(0))
			assert.Equal(t, g.enter(first.Add(c.after)) == 0, c.want)
		})
	}
}
