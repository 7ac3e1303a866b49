package forwarder_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"burdocklink/matcher"
)

func TestStreamDoesNotGoOnAtAnotherSoftwareVersion(t *testing.T) {
	cases := map[string]struct {
		software map[string]string
		// broken are the events of the first upstream before it breaks off.
		broken   int
		complete bool
		runs     int32
	}{
		"another upstream of the version": {map[string]string{"u1": "v1", "u2": "v1.1", "u3": "v1"}, 2, true, 2},
		"no other upstream of it":         {map[string]string{"u1": "v1", "u2": "v1.1", "u3": "v1.1"}, 2, false, 1},
		"no event yet":                    {map[string]string{"u1": "v1", "u2": "v1.1", "u3": "v1"}, 0, true, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, matcher.Route{Kind: matcher.Streaming, Resumable: true, MaxAttempts: 3},
				events(1, c.broken, false), events(1, 5, true), events(1, 5, true))
			r.admission.software = c.software
			got := r.ask(http.MethodPost, "/x/1", "", nil)
			assert.Equal(t, got.err == nil, c.complete)
			if c.complete {
				assert.Equal(t, got.body, eventText(1, 5))
			}
			assert.Equal(t, r.runs.Load(), c.runs)
			if c.broken > 0 && c.complete {
				assert.Equal(t, r.admission.next, 3)
			}
		})
	}
}
