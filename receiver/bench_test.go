package receiver_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/encoder"
)

const (
	benchStreams    = 64
	benchTokens     = 1000
	pacedTokens     = 40
	pacedFirstDelay = 50 * time.Millisecond
	pacedEventDelay = 20 * time.Millisecond
)

// serveFast streams a fixed answer without delays, with one flush per event.
func serveFast(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(encoder.HeaderRequestID)
	var request encoder.ChatRequest
	_ = json.NewDecoder(r.Body).Decode(&request)
	control := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	for event := 1; event <= benchTokens; event++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":\"menu\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word \"}%s}]}\n\n",
			event, id, finishReason(event))
		_ = control.Flush()
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", encoder.StreamEnd)
}

func finishReason(event int) string {
	if event == benchTokens {
		return `,"finish_reason":"stop"`
	}
	return ""
}

// servePaced delays each event, as an engine does.
func servePaced(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(encoder.HeaderRequestID)
	control := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	time.Sleep(pacedFirstDelay)
	for event := 1; event <= pacedTokens; event++ {
		end := ""
		if event == pacedTokens {
			end = finishReason(benchTokens)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":\"word \"}%s}]}\n\n", event, id, end)
		_ = control.Flush()
		time.Sleep(pacedEventDelay)
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", encoder.StreamEnd)
}

// streamReader reads streams one after the other and records their timing.
type streamReader struct {
	done            sync.WaitGroup
	mu              sync.Mutex
	firstEventTimes []time.Duration
	events          int
	failure         error
}

func (r *streamReader) run(streams int, client *http.Client, url string) {
	defer r.done.Done()
	for range streams {
		if err := r.read(client, url); err != nil {
			r.mu.Lock()
			r.failure = err
			r.mu.Unlock()
			return
		}
	}
}

func (r *streamReader) read(client *http.Client, url string) error {
	request, err := http.NewRequest("POST", url+encoder.PathChat, strings.NewReader(chat(true, benchTokens)))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer key-a")
	started := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewReaderSize(response.Body, 64<<10)
	if _, err := lines.ReadSlice('\n'); err != nil {
		return err
	}
	firstEvent := time.Since(started)
	var last []byte
	events := 1
	for line, err := lines.ReadSlice('\n'); err == nil; line, err = lines.ReadSlice('\n') {
		if len(line) > 1 {
			last = append(last[:0], line...)
			events++
		}
	}
	if !bytes.Contains(last, []byte(encoder.StreamEnd)) {
		return &encoder.MalformedError{Subject: "stream: " + string(last)}
	}
	r.mu.Lock()
	r.firstEventTimes = append(r.firstEventTimes, firstEvent)
	r.events += events / 2
	r.mu.Unlock()
	return nil
}

// BenchmarkStreams compares 64 concurrent streams read directly from engines with the
// same streams through an entry, both without delays and at the speed of a model.
func BenchmarkStreams(b *testing.B) {
	for name, engine := range map[string]http.HandlerFunc{"rapid": serveFast, "paced": servePaced} {
		b.Run(name+"/direct", func(b *testing.B) {
			server := httptest.NewServer(engine)
			defer server.Close()
			benchmarkStreams(b, server.URL)
		})
		b.Run(name+"/relayed", func(b *testing.B) {
			r := newRig(b, map[string]http.Handler{"engine-1": engine})
			benchmarkStreams(b, r.baseURL)
		})
	}
}

func benchmarkStreams(b *testing.B, url string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchStreams}}
	defer client.CloseIdleConnections()
	r := &streamReader{}
	started := time.Now()
	b.ResetTimer()
	for range benchStreams {
		r.done.Add(1)
		go r.run(b.N, client, url)
	}
	r.done.Wait()
	b.StopTimer()
	assert.NilError(b, r.failure)
	b.ReportMetric(float64(r.events)/time.Since(started).Seconds(), "events/s")
	slices.Sort(r.firstEventTimes)
	b.ReportMetric(float64(r.firstEventTimes[len(r.firstEventTimes)/2].Microseconds()), "first-p50-us")
	b.ReportMetric(float64(r.firstEventTimes[len(r.firstEventTimes)*95/100].Microseconds()), "first-p95-us")
}

const openStreams = 2000

// openEngine streams one event and keeps the stream open until the end of the test.
type openEngine struct{ end chan struct{} }

func (e *openEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = fmt.Fprintf(w, "id: 1\ndata: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n", r.Header.Get(encoder.HeaderRequestID))
	_ = http.NewResponseController(w).Flush()
	<-e.end
}

// BenchmarkOpenStreams measures the memory of 2,000 open streams, including their
// callers and engines, directly and through an entry.
func BenchmarkOpenStreams(b *testing.B) {
	b.Run("direct", func(b *testing.B) {
		e := &openEngine{end: make(chan struct{})}
		server := httptest.NewServer(e)
		defer server.Close()
		benchmarkOpenStreams(b, e, server.URL)
	})
	b.Run("relayed", func(b *testing.B) {
		e := &openEngine{end: make(chan struct{})}
		upstreams := map[string]http.Handler{}
		for n := range 40 {
			upstreams["engine-"+strconv.Itoa(n)] = e
		}
		r := newRig(b, upstreams)
		benchmarkOpenStreams(b, e, r.baseURL)
	})
}

func benchmarkOpenStreams(b *testing.B, e *openEngine, url string) {
	client := &http.Client{Transport: &http.Transport{}}
	var opened []io.Closer
	before := memoryInUse()
	for range openStreams {
		request, err := http.NewRequest("POST", url+encoder.PathChat, strings.NewReader(chat(true, 2)))
		assert.NilError(b, err)
		request.Header.Set("Authorization", "Bearer key-a")
		response, err := client.Do(request)
		assert.NilError(b, err)
		assert.Equal(b, response.StatusCode, http.StatusOK)
		opened = append(opened, response.Body)
	}
	b.ReportMetric(float64(memoryInUse()-before)/openStreams, "B/stream")
	close(e.end)
	for _, body := range opened {
		_ = body.Close()
	}
}

// memoryInUse returns the bytes in use by heap and stacks. It collects garbage several
// times, since each collection shrinks stacks by at most half.
func memoryInUse() uint64 {
	for range 4 {
		runtime.GC()
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}
