package forwarder_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/matcher"
)

// stopper stops a forwarder.
type stopper struct {
	rig   *rig
	ended chan error
}

func (s *stopper) run(deadline time.Time) { s.ended <- s.rig.forwarder.Stop(deadline) }

// A request that comes late in a planned stop must not be passed on and then cut off without
// an answer when the process ends.
func TestRequestThatOutlastsAPlannedStopIsRefused(t *testing.T) {
	const runTime = 400 * time.Millisecond
	answer := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Signed", "yes")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(runTime)
		_, _ = io.WriteString(w, "id: 1\ndata: 1\n\n")
	}
	kinds := map[string]matcher.Route{
		"not repeatable": {Kind: matcher.NonIdempotent},
		"repeatable":     {Kind: matcher.Idempotent, MaxAttempts: 2},
		"stream":         {Kind: matcher.Streaming},
	}
	for name, route := range kinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, route, answer, answer, answer, answer)
			assert.Equal(t, r.ask(http.MethodPost, "/x/1", "", nil).status, http.StatusOK)
			s := &stopper{rig: r, ended: make(chan error, 1)}
			r.forwarder.Linger = 3 * runTime
			go s.run(time.Now().Add(2 * runTime))
			time.Sleep(runTime / 4)
			early := r.ask(http.MethodPost, "/x/2", "", nil)
			assert.Equal(t, early.status, http.StatusOK)
			assert.NilError(t, early.err)
			late := r.ask(http.MethodPost, "/x/3", "", nil)
			assert.Equal(t, late.status, http.StatusServiceUnavailable)
			assert.Equal(t, r.runs.Load(), int32(2))
			assert.NilError(t, <-s.ended)
		})
	}
}
