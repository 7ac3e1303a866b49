package chooser_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/admitter"
	"burdocklink/chooser"
	"burdocklink/router"
)

// fakeHolders counts the calls of Want and loads nothing.
type fakeHolders struct{ wantCalls int }

func (h *fakeHolders) Want(context.Context, chooser.Requirement) error {
	h.wantCalls++
	return nil
}

func TestChooseRequestsHolderUntilFound(t *testing.T) {
	cases := map[string]struct {
		model   string
		timeout time.Duration
		// failures is the number of attempts that find no holder.
		failures   int
		wantCalls  int
		absent     bool
		noUpstream bool
	}{
		"held":                   {"m", time.Second, 0, 0, false, false},
		"held after one request": {"m", time.Second, 1, 1, false, false},
		"never held":             {"m", 120 * time.Millisecond, 1000, 0, true, false},
		"no model required":      {"", time.Second, 1, 0, false, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h, attempts := &fakeHolders{}, 0
			requirement := chooser.Requirement{Service: "s", Model: c.model, Deadline: time.Now().Add(c.timeout)}
			grant, err := chooser.Choose(t.Context(), h, requirement, func(_ context.Context, counted bool) (*admitter.Grant, error) {
				attempts++
				assert.Equal(t, counted, attempts > 1)
				if attempts <= c.failures {
					return nil, &router.NoUpstreamError{}
				}
				return &admitter.Grant{}, nil
			})
			var absent *chooser.AbsentError
			var noUpstream *router.NoUpstreamError
			assert.Equal(t, errors.As(err, &absent), c.absent)
			assert.Equal(t, errors.As(err, &noUpstream), c.noUpstream)
			assert.Equal(t, grant != nil, err == nil)
			if !c.absent {
				assert.Equal(t, h.wantCalls, c.wantCalls)
			}
		})
	}
}

func TestStreamOfUnknownSoftwareWaitsForNoOtherHolder(t *testing.T) {
	h := &fakeHolders{}
	requirement := chooser.Requirement{
		Service: "s", Model: "m", Origin: router.Origin{Incarnation: "u@1"}, Deadline: time.Now().Add(time.Second),
	}
	_, err := chooser.Choose(t.Context(), h, requirement, func(context.Context, bool) (*admitter.Grant, error) {
		return nil, &router.NoUpstreamError{}
	})
	var noUpstream *router.NoUpstreamError
	assert.Assert(t, errors.As(err, &noUpstream))
	assert.Equal(t, h.wantCalls, 0)
}
