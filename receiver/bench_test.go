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
	benchStreams = 64
	benchTokens  = 1000
	pacedTokens  = 40
	pacedFirst   = 50 * time.Millisecond
	pacedGap     = 20 * time.Millisecond
)

// rapid answers with a fixed stream, one flush per event.
func rapid(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(encoder.HeaderRequestID)
	var request encoder.ChatRequest
	_ = json.NewDecoder(r.Body).Decode(&request)
	control := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	for event := 1; event <= benchTokens; event++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":\"menu\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word \"}%s}]}\n\n",
			event, id, finish(event))
		_ = control.Flush()
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", encoder.StreamEnd)
}

func finish(event int) string {
	if event == benchTokens {
		return `,"finish_reason":"stop"`
	}
	return ""
}

// paced takes a while before the first event and between two, as an engine
// does.
func paced(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(encoder.HeaderRequestID)
	control := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	time.Sleep(pacedFirst)
	for event := 1; event <= pacedTokens; event++ {
		end := ""
		if event == pacedTokens {
			end = finish(benchTokens)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":\"word \"}%s}]}\n\n", event, id, end)
		_ = control.Flush()
		time.Sleep(pacedGap)
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", encoder.StreamEnd)
}

// reader runs streams one after the other.
type reader struct {
	done    sync.WaitGroup
	mu      sync.Mutex
	waits   []time.Duration
	lines   int
	failure error
}

func (r *reader) run(streams int, client *http.Client, url string) {
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

func (r *reader) read(client *http.Client, url string) error {
	request, err := http.NewRequest("POST", url+encoder.PathChat, strings.NewReader(chat(true, benchTokens)))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer key-a")
	begun := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewReaderSize(response.Body, 64<<10)
	if _, err := lines.ReadSlice('\n'); err != nil {
		return err
	}
	waited := time.Since(begun)
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
	r.waits = append(r.waits, waited)
	r.lines += events / 2
	r.mu.Unlock()
	return nil
}

// BenchmarkStreams compares engines called directly with the same engines
// through an entry, 64 streams at once: as fast as they can, and at the pace of
// a model.
func BenchmarkStreams(b *testing.B) {
	for name, engine := range map[string]http.HandlerFunc{"rapid": rapid, "paced": paced} {
		b.Run(name+"/direct", func(b *testing.B) {
			server := httptest.NewServer(engine)
			defer server.Close()
			benchStream(b, server.URL)
		})
		b.Run(name+"/relayed", func(b *testing.B) {
			r := newRig(b, map[string]http.Handler{"engine-1": engine})
			benchStream(b, r.base)
		})
	}
}

func benchStream(b *testing.B, url string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchStreams}}
	defer client.CloseIdleConnections()
	r := &reader{}
	begun := time.Now()
	b.ResetTimer()
	for range benchStreams {
		r.done.Add(1)
		go r.run(b.N, client, url)
	}
	r.done.Wait()
	b.StopTimer()
	assert.NilError(b, r.failure)
	b.ReportMetric(float64(r.lines)/time.Since(begun).Seconds(), "events/s")
	slices.Sort(r.waits)
	b.ReportMetric(float64(r.waits[len(r.waits)/2].Microseconds()), "first-p50-us")
	b.ReportMetric(float64(r.waits[len(r.waits)*95/100].Microseconds()), "first-p95-us")
}

const openStreams = 2000

// holding streams one event and waits for the end of the test.
type holding struct{ end chan struct{} }

func (h *holding) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = fmt.Fprintf(w, "id: 1\ndata: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n", r.Header.Get(encoder.HeaderRequestID))
	_ = http.NewResponseController(w).Flush()
	<-h.end
}

// BenchmarkOpenStreams measures the memory of 2,000 open streams with their
// callers and engines, directly and through an entry.
func BenchmarkOpenStreams(b *testing.B) {
	b.Run("direct", func(b *testing.B) {
		h := &holding{end: make(chan struct{})}
		server := httptest.NewServer(h)
		defer server.Close()
		benchOpen(b, h, server.URL)
	})
	b.Run("relayed", func(b *testing.B) {
		h := &holding{end: make(chan struct{})}
		upstreams := map[string]http.Handler{}
		for n := range 40 {
			upstreams["engine-"+strconv.Itoa(n)] = h
		}
		r := newRig(b, upstreams)
		benchOpen(b, h, r.base)
	})
}

func benchOpen(b *testing.B, h *holding, url string) {
	client := &http.Client{Transport: &http.Transport{}}
	var opened []io.Closer
	before := memory()
	for range openStreams {
		request, err := http.NewRequest("POST", url+encoder.PathChat, strings.NewReader(chat(true, 2)))
		assert.NilError(b, err)
		request.Header.Set("Authorization", "Bearer key-a")
		response, err := client.Do(request)
		assert.NilError(b, err)
		assert.Equal(b, response.StatusCode, http.StatusOK)
		opened = append(opened, response.Body)
	}
	b.ReportMetric(float64(memory()-before)/openStreams, "B/stream")
	close(h.end)
	for _, body := range opened {
		_ = body.Close()
	}
}

// memory returns the bytes in use by heap and stacks. Stacks shrink by half
// with each collection.
func memory() uint64 {
	for range 4 {
		runtime.GC()
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}
