package dispatcher_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/dispatcher"
)

// serveOddAnswers serves the unusual answers that a streaming call must handle.
func serveOddAnswers(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/early":
		w.WriteHeader(http.StatusEarlyHints)
		_, _ = io.WriteString(w, "whole")
	case "/echo":
		_, _ = io.Copy(w, r.Body)
	case "/header":
		for n := range 100 {
			w.Header().Set("X-"+strings.Repeat("n", n+1), strings.Repeat("x", 1000))
		}
	case "/cut":
		w.Header().Set("Content-Length", "9")
		_, _ = io.WriteString(w, "half")
	case "/silent":
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "begun")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
}

func TestOpenStreamAnswers(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(serveOddAnswers))
	t.Cleanup(server.Close)
	d := dispatcher.New(dispatcher.Settings{})
	cases := map[string]struct {
		want  string
		cause error
	}{
		"/early":  {want: "whole"},
		"/echo":   {want: "body"},
		"/header": {cause: &dispatcher.AnswerTooLargeError{}},
		"/cut":    {cause: io.ErrUnexpectedEOF},
		"/silent": {cause: &dispatcher.StalledError{}},
	}
	for path, c := range cases {
		t.Run(path, func(t *testing.T) {
			address := server.Listener.Addr().String()
			response, err := d.OpenStream(context.Background(), dispatcher.Call{
				Address:      address,
				Method:       http.MethodPost,
				Path:         path,
				Body:         []byte("body"),
				StallTimeout: 200 * time.Millisecond,
			})
			var answer dispatcher.Answer
			if err == nil {
				answer, err = d.ReadAll(address, response)
			}
			assert.Equal(t, string(answer.Body), c.want)
			if c.cause == nil {
				assert.NilError(t, err)
				return
			}
			var interrupted *dispatcher.InterruptedError
			assert.Assert(t, errors.As(err, &interrupted), "%v", err)
			assert.ErrorContains(t, interrupted.Cause, c.cause.Error()[:8])
		})
	}
}

func TestOpenStreamEndsWithItsCaller(t *testing.T) {
	disconnected := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		close(disconnected)
	}))
	t.Cleanup(server.Close)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	response, err := dispatcher.New(dispatcher.Settings{}).OpenStream(ctx, dispatcher.Call{
		Address: server.Listener.Addr().String(),
		Method:  http.MethodGet,
		Path:    "/",
	})
	assert.NilError(t, err)
	cancel()
	_, err = io.ReadAll(response.Body)
	assert.Assert(t, err != nil)
	<-disconnected
	_ = response.Body.Close()
}
