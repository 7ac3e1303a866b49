package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// countChosen counts how often an upstream is chosen in many attempts.
func countChosen(r *Router, name string, now time.Time) int {
	count := 0
	for seed := range uint64(200) {
		choice, err := r.Choose(now, newRequest(seed))
		if err == nil && choice.Upstream == name {
			count++
		}
	}
	return count
}

func TestUnreachableUpstreamIsNotChosen(t *testing.T) {
	cases := map[string]func(r *Router, choice Choice){
		"unreachable for reports": func(r *Router, choice Choice) {
			r.Unreachable(choice.Upstream, choice.Incarnation, epoch)
		},
		"requests show no sign of life": func(r *Router, choice Choice) {
			r.Started(choice, newRequest(1), epoch)
			r.Finished(choice, Sample{Started: epoch, Ended: epoch, Outcome: OutcomeUnreachable})
		},
		"unreachable and broken streams in turn": func(r *Router, choice Choice) {
			r.Started(choice, newRequest(1), epoch)
			r.Finished(choice, Sample{Started: epoch, Ended: epoch, Outcome: OutcomeFailed})
			r.Unreachable(choice.Upstream, choice.Incarnation, epoch)
		},
	}
	for name, fail := range cases {
		t.Run(name, func(t *testing.T) {
			r := New(Settings{})
			r.Update(fleetCatalog(t, 1))
			choice, err := r.Choose(epoch, newRequest(1))
			assert.NilError(t, err)
			assert.Assert(t, countChosen(r, choice.Upstream, epoch) > 0)
			for range 3 {
				fail(r, choice)
			}
			assert.Equal(t, countChosen(r, choice.Upstream, epoch), 0)
		})
	}
}
