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

// holders brings a holder after some questions.
type holders struct{ asked int }

func (h *holders) Want(context.Context, string, string, string, time.Time) error {
	h.asked++
	return nil
}

func TestChooseAsksForAHolderUntilThereIsOne(t *testing.T) {
	cases := map[string]struct {
		model string
		by    time.Duration
		// without is how often nobody holds the model.
		without int
		asked   int
		absent  bool
		nowhere bool
	}{
		"held":                       {"m", time.Second, 0, 0, false, false},
		"held after a question":      {"m", time.Second, 1, 1, false, false},
		"never held":                 {"m", 120 * time.Millisecond, 1000, 0, true, false},
		"no model, so nothing to do": {"", time.Second, 1, 0, false, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h, tries := &holders{}, 0
			wanted := chooser.Wanted{Service: "s", Model: c.model, By: time.Now().Add(c.by)}
			grant, err := chooser.Choose(t.Context(), h, wanted, func(_ context.Context, counted bool) (*admitter.Grant, error) {
				tries++
				assert.Equal(t, counted, tries > 1)
				if tries <= c.without {
					return nil, &router.NoUpstreamError{}
				}
				return &admitter.Grant{}, nil
			})
			var absent *chooser.AbsentError
			var nowhere *router.NoUpstreamError
			assert.Equal(t, errors.As(err, &absent), c.absent)
			assert.Equal(t, errors.As(err, &nowhere), c.nowhere)
			assert.Equal(t, grant != nil, err == nil)
			if !c.absent {
				assert.Equal(t, h.asked, c.asked)
			}
		})
	}
}
