package loader

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"burdocklink/encoder"
)

// call is one request to send.
type call struct {
	entry string
	body  []byte
	id    string
}

// newCall returns a request for a random model. The square of a uniform draw
// selects models early in the list more often.
func (l *Loader) newCall(number int) call {
	models := l.settings.Models
	draw := math.Pow(l.random.Float64(), 2)
	request := encoder.ChatRequest{
		Model:     models[int(draw*float64(len(models)))],
		Prompt:    l.newPrompt(),
		Stream:    true,
		MaxTokens: l.settings.AnswerTokens,
	}
	// The request has no values that JSON can't represent.
	body, _ := json.Marshal(request)
	return call{
		entry: l.settings.Entries[number%len(l.settings.Entries)],
		body:  body,
		id:    "load-" + strconv.FormatUint(l.settings.Seed, 10) + "-" + strconv.Itoa(number),
	}
}

func (l *Loader) newPrompt() string {
	words := make([]string, l.settings.PromptWords)
	for at := range words {
		words[at] = "word" + strconv.Itoa(l.random.IntN(1000))
	}
	return strings.Join(words, " ")
}

// send sends a call and returns its sample, with times from its start.
func (l *Loader) send(ctx context.Context, c call) Sample {
	start := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.entry+encoder.PathCompletions, bytes.NewReader(c.body))
	if err != nil {
		return Sample{Outcome: Failed}
	}
	request.Header.Set("Authorization", "Bearer "+l.settings.Key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(encoder.HeaderRequestID, c.id)
	if l.settings.Class != "" {
		request.Header.Set(encoder.HeaderClass, l.settings.Class)
	}
	response, err := l.client.Do(request)
	if err != nil {
		return Sample{Outcome: Failed}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return refusal(response)
	}
	return readStream(response.Body, start)
}

// refusal returns the sample of a response with an error status.
func refusal(response *http.Response) Sample {
	// The body is read to its end so that the connection can be reused.
	_, _ = io.Copy(io.Discard, response.Body)
	if response.Header.Get("Retry-After") != "" {
		return Sample{Outcome: Refused}
	}
	return Sample{Outcome: Failed}
}

// readStream reads a streamed answer to its end and returns its sample.
func readStream(body io.Reader, start time.Time) Sample {
	var sample Sample
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == encoder.StreamEnd {
			sample.Outcome = Completed
			break
		}
		sample.Tokens++
		sample.Total = time.Since(start)
		if sample.Tokens == 1 {
			sample.FirstToken = sample.Total
		}
	}
	switch {
	case lines.Err() != nil:
		sample.Outcome = Failed
	case sample.Outcome == 0:
		sample.Outcome = Truncated
	}
	return sample
}
