package receiver_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/claimer"
	"burdocklink/encoder"
	"burdocklink/receiver"
)

// presetClaims returns the same result for every event.
type presetClaims struct{ result claimer.Result }

func (p presetClaims) Claim(context.Context, claimer.Event) (claimer.Result, error) {
	return p.result, nil
}

// errorType returns the error type in a refusal.
func errorType(t *testing.T, got reply) string {
	t.Helper()
	var body encoder.ErrorReply
	assert.NilError(t, json.Unmarshal([]byte(got.body), &body))
	return body.Error.Type
}

func TestRefusedClaimsAreNotRunAndReturnReason(t *testing.T) {
	cases := map[string]struct {
		result    claimer.Result
		status    int
		errorType string
		retry     bool
	}{
		"table is full":   {result: claimer.Full{Retry: time.Now().Add(time.Minute)}, status: http.StatusServiceUnavailable, errorType: "claims-full", retry: true},
		"deadline passed": {result: claimer.Overdue{}, status: http.StatusGatewayTimeout, errorType: "deadline-passed"},
		"invalid key":     {result: claimer.Invalid{Reason: "key too long"}, status: http.StatusBadRequest, errorType: "malformed-header"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			upstream := &calendar{}
			r := newRig(t, map[string]http.Handler{"naptar-1": upstream}, func(c *receiver.Config) {
				c.Claims = presetClaims{result: test.result}
			})
			got := r.book("slot", "k")
			assert.Equal(t, got.status, test.status, got.body)
			assert.Equal(t, got.outcome(), encoder.OutcomeNotRun)
			assert.Equal(t, errorType(t, got), test.errorType)
			assert.Equal(t, got.header.Get("Retry-After") != "", test.retry)
			assert.Equal(t, upstream.ran.Load(), int64(0))
		})
	}
}
