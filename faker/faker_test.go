package faker_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/encoder"
	"burdocklink/faker"
)

const testTimeout = 30 * time.Second

// startEngine starts an engine that holds torta, unless the settings say
// otherwise.
func startEngine(t *testing.T, settings faker.EngineSettings) (*faker.Engine, string) {
	t.Helper()
	if settings.MemoryBytes == 0 {
		settings.MemoryBytes = 100
	}
	settings.Name, settings.Incarnation = "engine-1", "one"
	if settings.Holds == nil {
		settings.Holds = []encoder.Weights{{Name: "torta", Kind: "model", Version: "1", MemoryBytes: 40}}
	}
	engine := faker.NewEngine(settings)
	assert.NilError(t, engine.Start("127.0.0.1:0"))
	t.Cleanup(func() { _ = engine.Stop(time.Now().Add(testTimeout)) })
	return engine, "http://" + engine.Address()
}

// chat returns a request for a streamed answer.
func chat(tokens int) encoder.ChatRequest {
	return encoder.ChatRequest{
		Model:     "torta",
		Messages:  []encoder.ChatMessage{{Role: "user", Content: "Which filling?"}},
		Stream:    true,
		MaxTokens: tokens,
	}
}

// send posts a value as JSON with a request ID and returns the answer.
func send(t *testing.T, url, id string, value any) *http.Response {
	t.Helper()
	body, err := json.Marshal(value)
	assert.NilError(t, err)
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set(encoder.HeaderRequestID, id)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// streamEvents is the content of a stream; complete reports its terminal event.
type streamEvents struct {
	ids      []string
	text     string
	complete bool
}

// readEvents reads a stream until it ends or breaks.
func readEvents(body io.Reader) streamEvents {
	var seen streamEvents
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			seen.ids = append(seen.ids, id)
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == encoder.StreamEnd {
			seen.complete = true
			continue
		}
		var chunk encoder.ChatChunk
		if json.Unmarshal([]byte(data), &chunk) == nil {
			seen.text += chunk.Choices[0].Delta.Content + chunk.Choices[0].Text
		}
	}
	return seen
}

func TestStreamedTextMatchesRequest(t *testing.T) {
	_, url := startEngine(t, faker.EngineSettings{DecodeTokensPerSecond: 2000})

	got := readEvents(send(t, url+encoder.PathChat, "r1", chat(20)).Body)

	assert.Equal(t, got.complete, true)
	assert.Equal(t, got.text, faker.Text(chat(20), 20))
	assert.Equal(t, len(got.ids), 20)
	assert.Equal(t, got.ids[0], "1")
}

func TestUnstreamedTextMatchesRequest(t *testing.T) {
	_, url := startEngine(t, faker.EngineSettings{})
	request := chat(8)
	request.Stream = false

	var reply encoder.ChatChunk
	assert.NilError(t, json.NewDecoder(send(t, url+encoder.PathChat, "r1", request).Body).Decode(&reply))

	assert.Equal(t, reply.Choices[0].Message.Content, faker.Text(chat(8), 8))
}

func TestContinuationGivesTheSameText(t *testing.T) {
	whole := faker.Text(chat(12), 12)
	given := faker.Text(chat(12), 5)
	continued := chat(7)
	continued.Messages = append(continued.Messages, encoder.ChatMessage{Role: "assistant", Content: given})
	continued.ContinueFinalMessage = true
	plain := encoder.ChatRequest{Model: "torta", Prompt: "The menu:"}
	plainAgain := plain
	plainAgain.Prompt += faker.Text(plain, 5)

	assert.Equal(t, given+faker.Text(continued, 7), whole)
	assert.Equal(t, faker.Text(plain, 5)+faker.Text(plainAgain, 7), faker.Text(plain, 12))
}

func TestCutStreamIsResumed(t *testing.T) {
	engine, url := startEngine(t, faker.EngineSettings{DecodeTokensPerSecond: 2000})
	engine.SetFaults(encoder.EngineFaults{CutAfterTokens: 5, CutTimes: 1})
	first := readEvents(send(t, url+encoder.PathChat, "r1", chat(20)).Body)

	request, err := http.NewRequest(http.MethodGet, url+encoder.PathStreams+"r1", nil)
	assert.NilError(t, err)
	request.Header.Set("Last-Event-ID", "5")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	second := readEvents(response.Body)

	assert.Equal(t, first.complete, false)
	assert.Equal(t, len(first.ids), 5)
	assert.Equal(t, second.complete, true)
	assert.Equal(t, first.text+second.text, faker.Text(chat(20), 20))
}

func TestStreamFaults(t *testing.T) {
	tests := map[string]struct {
		faults encoder.EngineFaults
		ids    []string
	}{
		"reordered":  {encoder.EngineFaults{ReorderEvents: true}, []string{"2", "1", "4", "3"}},
		"duplicated": {encoder.EngineFaults{DuplicateEvents: true}, []string{"1", "1", "2", "2", "3", "3", "4", "4"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			engine, url := startEngine(t, faker.EngineSettings{})
			engine.SetFaults(test.faults)

			got := readEvents(send(t, url+encoder.PathChat, "r1", chat(4)).Body)

			assert.DeepEqual(t, got.ids, test.ids)
			assert.Equal(t, got.complete, true)
		})
	}
}

func TestUnknownModelIsRefusedAsNotRun(t *testing.T) {
	engine, url := startEngine(t, faker.EngineSettings{})
	request := chat(4)
	request.Model = "absent"

	response := send(t, url+encoder.PathChat, "r1", request)

	assert.Equal(t, response.StatusCode, http.StatusNotFound)
	assert.Equal(t, response.Header.Get(encoder.HeaderNotRun), "true")
	assert.Equal(t, len(engine.Record().Runs), 0)
}

func TestHigherPriorityRunsFirst(t *testing.T) {
	engine, url := startEngine(t, faker.EngineSettings{Slots: 1, DecodeTokensPerSecond: 500})
	engine.SetFaults(encoder.EngineFaults{SlowFactor: 1e6})
	streams := map[string]*http.Response{"busy": send(t, url+encoder.PathChat, "busy", chat(10))}
	for id, priority := range map[string]string{"low": "1", "high": "9"} {
		body, err := json.Marshal(chat(10))
		assert.NilError(t, err)
		request, err := http.NewRequest(http.MethodPost, url+encoder.PathChat, bytes.NewReader(body))
		assert.NilError(t, err)
		request.Header.Set(encoder.HeaderRequestID, id)
		request.Header.Set(encoder.HeaderPriority, priority)
		streams[id], err = http.DefaultClient.Do(request)
		assert.NilError(t, err)
		defer func() { _ = streams[id].Body.Close() }()
	}
	engine.SetFaults(encoder.EngineFaults{})
	assert.Equal(t, readEvents(streams["high"].Body).complete, true)

	for _, run := range engine.Record().Runs {
		if run.RequestID == "low" {
			assert.Assert(t, run.Tokens < 10)
		}
	}
}

func TestPrefixCacheSavesPrefillAndPublishesEvents(t *testing.T) {
	engine, url := startEngine(t, faker.EngineSettings{PrefixCacheBlocks: 4})
	request := chat(2)
	request.Messages[0].Content = strings.Repeat("almond and honey", 12)
	for _, id := range []string{"r1", "r2"} {
		_, _ = io.Copy(io.Discard, send(t, url+encoder.PathChat, id, request).Body)
	}
	response, err := http.Get(url + encoder.PathCacheEvents + "?after=1")
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	var reply encoder.CacheEvents
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&reply))

	runs := engine.Record().Runs
	assert.Equal(t, runs[0].CachedTokens, 0)
	assert.Equal(t, runs[1].CachedTokens, 48)
	assert.Equal(t, len(reply.Events), 2)
	assert.Equal(t, reply.Events[0].Sequence, uint64(2))
}

func TestImportedKVCacheContinuesRequest(t *testing.T) {
	_, first := startEngine(t, faker.EngineSettings{})
	_, second := startEngine(t, faker.EngineSettings{})
	readEvents(send(t, first+encoder.PathChat, "r1", chat(6)).Body)
	exported, err := http.Get(first + encoder.PathKV + "r1")
	assert.NilError(t, err)
	defer func() { _ = exported.Body.Close() }()
	var state encoder.KVCache
	assert.NilError(t, json.NewDecoder(exported.Body).Decode(&state))
	state.Limit = 9
	send(t, second+encoder.PathKV+"r1", "", state)

	response, err := http.Get(second + encoder.PathStreams + "r1")
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()

	assert.Equal(t, readEvents(response.Body).text, faker.Text(chat(9), 9))
}

func TestFrozenEngineResumes(t *testing.T) {
	engine, url := startEngine(t, faker.EngineSettings{DecodeTokensPerSecond: 1000})
	response := send(t, url+encoder.PathChat, "r1", chat(200))
	engine.SetFaults(encoder.EngineFaults{Frozen: true})
	time.Sleep(20 * time.Millisecond)
	engine.SetFaults(encoder.EngineFaults{})

	assert.Equal(t, readEvents(response.Body).text, faker.Text(chat(200), 200))
}

func TestUnlimitedAnswerEndsByText(t *testing.T) {
	_, url := startEngine(t, faker.EngineSettings{})
	want, tokens := faker.FullText(chat(0))
	given := faker.Text(chat(0), tokens/2)
	request := chat(0)
	request.Messages = append(request.Messages, encoder.ChatMessage{Role: "assistant", Content: given})
	request.ContinueFinalMessage = true

	first := readEvents(send(t, url+encoder.PathChat, "r1", chat(0)).Body)
	rest := readEvents(send(t, url+encoder.PathChat, "r2", request).Body)

	assert.Equal(t, first.text, want)
	assert.Equal(t, given+rest.text, want)
	assert.Equal(t, rest.complete, true)
}
