package prober_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"burdocklink/prober"
	"burdocklink/reporter"
)

type leaderlessError struct{}

func (leaderlessError) Error() string { return "no leader" }

func TestProberAnswers(t *testing.T) {
	var readyError error
	p := prober.New(prober.Settings{
		Listen:   "127.0.0.1:0",
		Ready:    func() error { return readyError },
		Reporter: reporter.New(reporter.Settings{}),
		Log:      zap.NewNop(),
	})
	assert.NilError(t, p.Start(context.Background(), nil))
	defer func() { assert.NilError(t, p.Stop(time.Now().Add(20*time.Second))) }()

	cases := map[string]struct {
		path       string
		readyError error
		status     int
	}{
		"healthy":      {path: "/healthz", readyError: leaderlessError{}, status: http.StatusOK},
		"ready":        {path: "/readyz", status: http.StatusOK},
		"not ready":    {path: "/readyz", readyError: leaderlessError{}, status: http.StatusServiceUnavailable},
		"metrics":      {path: "/metrics", status: http.StatusOK},
		"unknown path": {path: "/other", status: http.StatusNotFound},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			readyError = test.readyError
			response, err := http.Get("http://" + p.Address() + test.path)
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, response.StatusCode, test.status)
		})
	}
}
