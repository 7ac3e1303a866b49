package prover_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/encoder"
	"burdocklink/faker"
	"burdocklink/prover"
)

// subscriberName is the subscriber of all requests.
const subscriberName = "couple"

// entry is an entry process.
type entry struct {
	process *process
	name    string
	address string
}

// url returns the URL of a path at the entry.
func (e *entry) url(path string) string { return "http://" + e.address + path }

// ready queries the entry's readiness probe.
func (e *entry) ready() bool {
	response, err := client.Get(e.url("/readyz"))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// createKey creates a key with the program's command and returns it.
func (f *fleet) createKey(role, name string) string {
	f.t.Helper()
	out, err := exec.Command(binary, "key", "new", role, name, "--keys", f.keysFile()).Output()
	assert.NilError(f.t, err)
	return strings.TrimSpace(string(out))
}

func (f *fleet) keysFile() string { return filepath.Join(f.folder, "keys.json") }

// addEntries starts entries that are peers of each other and waits until all
// entries are ready.
func (f *fleet) addEntries(names ...string) {
	f.t.Helper()
	peers := map[string]string{}
	for _, name := range names {
		peers[name] = freeAddress(f.t)
	}
	for _, name := range names {
		var others []string
		for _, other := range names {
			if other != name {
				others = append(others, peers[other])
			}
		}
		added := &entry{name: name, address: freeAddress(f.t)}
		added.process = start(f.t, name, "entry", "--name", name, "--availability-zone", "bp-a",
			"--listen", added.address, "--peer-listen", peers[name], "--peers", strings.Join(others, ","),
			"--control", f.controlAddresses(), "--keys", f.keysFile(), "--linger", "1s")
		f.entries = append(f.entries, added)
	}
	for _, each := range f.entries {
		eventually(f.t, each.name+" is ready", each.ready)
	}
}

// callerClient has no time-out; each request has a context with a deadline.
var callerClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// newRequest returns a request of the test's subscriber.
func (f *fleet) newRequest(ctx context.Context, method, url, id string, body []byte) *http.Request {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	assert.NilError(f.t, err)
	request.Header.Set("Authorization", "Bearer "+f.subscriberKey)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(encoder.HeaderRequestID, id)
	return request
}

// chat requests a streamed answer from an entry and records it.
func (f *fleet) chat(at *entry, model string, tokens int) prover.Answer {
	number := f.nextNumber()
	chatRequest := encoder.ChatRequest{
		Model:     model,
		Messages:  []encoder.ChatMessage{{Role: "user", Content: fmt.Sprintf("request %d", number)}},
		Stream:    true,
		MaxTokens: tokens,
	}
	body, err := json.Marshal(chatRequest)
	assert.NilError(f.t, err)
	answer := prover.Answer{
		Request: fmt.Sprintf("chat-%d", number),
		Entry:   at.name,
		Sent:    time.Now(),
		Want:    faker.Text(chatRequest, tokens),
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	response, err := callerClient.Do(f.newRequest(ctx, http.MethodPost, at.url(encoder.PathChat), answer.Request, body))
	if err == nil {
		answer.Outcome = response.Header.Get(encoder.HeaderOutcome)
		answer.Refused = response.StatusCode != http.StatusOK
		answer.Text, answer.Complete = readStream(response)
	}
	answer.Ended = time.Now()
	f.record(answer)
	return answer
}

// readStream reads events until the stream ends or breaks. It returns the text
// and whether the terminal event was received.
func readStream(response *http.Response) (string, bool) {
	defer func() { _ = response.Body.Close() }()
	text := ""
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == encoder.StreamEnd {
			return text, true
		}
		var chunk encoder.ChatChunk
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			text += chunk.Choices[0].Delta.Content
		}
	}
	return text, false
}

// book sends a booking with an idempotency key to an entry and records the
// answer.
func (f *fleet) book(at *entry, key string) prover.Answer {
	body := []byte(`{"slot":"` + key + `"}`)
	answer := prover.Answer{
		Request:    fmt.Sprintf("book-%d", f.nextNumber()),
		Subscriber: subscriberName,
		Key:        key,
		Entry:      at.name,
		Sent:       time.Now(),
		Want:       key + " " + faker.Digest(body),
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	request := f.newRequest(ctx, http.MethodPost, at.url("/services/naptar/bookings"), answer.Request, body)
	request.Header.Set(encoder.HeaderIdempotencyKey, key)
	response, err := callerClient.Do(request)
	if err == nil {
		defer func() { _ = response.Body.Close() }()
		answer.Outcome = response.Header.Get(encoder.HeaderOutcome)
		answer.Refused = response.StatusCode != http.StatusOK
		var reply encoder.ServiceAnswer
		if json.NewDecoder(response.Body).Decode(&reply) == nil && !answer.Refused {
			answer.Text = reply.IdempotencyKey + " " + reply.BodyDigest
			answer.Complete = true
		}
	}
	answer.Ended = time.Now()
	f.record(answer)
	return answer
}

// traffic sends chats and bookings to all entries in turn until it is stopped.
type traffic struct {
	fleet  *fleet
	models []string
	tokens int
	stop   chan struct{}
	done   sync.WaitGroup
}

// startTraffic starts the given number of senders. Every third request is a
// booking if the fleet has services.
func (f *fleet) startTraffic(senders, tokens int, models ...string) *traffic {
	started := &traffic{fleet: f, models: models, tokens: tokens, stop: make(chan struct{})}
	for i := range senders {
		started.done.Add(1)
		go started.runSender(i)
	}
	return started
}

func (t *traffic) runSender(number int) {
	defer t.done.Done()
	for i := number; ; i++ {
		select {
		case <-t.stop:
			return
		default:
		}
		at := t.fleet.entries[i%len(t.fleet.entries)]
		if i%3 == 2 && len(t.fleet.services) > 0 {
			t.fleet.book(at, t.fleet.newIdempotencyKey())
			continue
		}
		t.fleet.chat(at, t.models[i%len(t.models)], t.tokens)
	}
}

// end stops the senders and waits for the requests in flight.
func (t *traffic) end() {
	close(t.stop)
	t.done.Wait()
}

// answerCounts are numbers of recorded answers.
type answerCounts struct{ complete, refused, broken int }

// countAnswers counts the answers recorded so far.
func (f *fleet) countAnswers() answerCounts {
	f.mu.Lock()
	defer f.mu.Unlock()
	var seen answerCounts
	for _, record := range f.records {
		answer, ok := record.(prover.Answer)
		switch {
		case !ok:
		case answer.Complete:
			seen.complete++
		case answer.Refused:
			seen.refused++
		default:
			seen.broken++
		}
	}
	return seen
}

// newIdempotencyKey returns an unused idempotency key.
func (f *fleet) newIdempotencyKey() string { return fmt.Sprintf("key-%d", f.nextNumber()) }

// bookings are concurrent bookings, one for each key.
type bookings struct {
	sync.WaitGroup
	fleet *fleet
}

// startBookings sends a booking for each key to an entry.
func (f *fleet) startBookings(at *entry, keys []string) *bookings {
	started := &bookings{fleet: f}
	for _, key := range keys {
		started.Add(1)
		go started.run(at, key)
	}
	return started
}

func (b *bookings) run(at *entry, key string) {
	defer b.Done()
	b.fleet.book(at, key)
}

// alive queries the entry's health probe.
func (e *entry) alive() bool {
	response, err := client.Get(e.url("/healthz"))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
