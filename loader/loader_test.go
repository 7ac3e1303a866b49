package loader_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/loader"
)

func run(t *testing.T, answer http.HandlerFunc) loader.Summary {
	t.Helper()
	server := httptest.NewServer(answer)
	defer server.Close()
	return loader.Summarize(loader.New(loader.Settings{
		Entries:      []string{server.URL},
		Key:          "key",
		Models:       []string{"large", "small"},
		Rate:         1000,
		Requests:     20,
		PromptWords:  3,
		AnswerTokens: 2,
		Seed:         7,
		Timeout:      20 * time.Second,
	}).Run(context.Background()))
}

func TestRunClassifiesOutcomes(t *testing.T) {
	cases := map[string]struct {
		answer http.HandlerFunc
		want   loader.Summary
	}{
		"complete answer": {
			answer: func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "id: 1\ndata: {}\n\nid: 2\ndata: {}\n\ndata: [DONE]\n\n")
			},
			want: loader.Summary{Requests: 20, Completed: 20, Tokens: 40},
		},
		"stream without terminal event": {
			answer: func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "id: 1\ndata: {}\n\n")
			},
			want: loader.Summary{Requests: 20, Truncated: 20, Tokens: 20},
		},
		"refused with Retry-After": {
			answer: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Retry-After", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			},
			want: loader.Summary{Requests: 20, Refused: 20},
		},
		"broken connection": {
			answer: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			want:   loader.Summary{Requests: 20, Failed: 20},
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			got := run(t, test.answer)
			counted := loader.Summary{
				Requests:  got.Requests,
				Completed: got.Completed,
				Refused:   got.Refused,
				Failed:    got.Failed,
				Truncated: got.Truncated,
				Tokens:    got.Tokens,
			}
			assert.DeepEqual(t, counted, test.want)
		})
	}
}
