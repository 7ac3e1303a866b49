package prover_test

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// soakObservations is what callers and the operator saw.
type soakObservations struct {
	requests, answered, refusals, changes atomic.Int64
	// refused are the IDs of requests that were refused as not run.
	refused sync.Map
	// sent and passed are when a request was sent and when its server's answer
	// began to arrive, by ID.
	sent, answerBegan sync.Map

	mutex   sync.Mutex
	version int
	// acknowledged are versions with the times of their acknowledgements.
	acknowledged []soakAck
	violations   []string
}

// soakAck is an acknowledged configuration.
type soakAck struct {
	version int
	at      time.Time
}

// addViolation notes a broken promise.
func (r *soakObservations) addViolation(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, arguments...))
}

func (r *soakObservations) takeViolations() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.violations
}

func (r *soakObservations) nextVersion() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.version += 3
	return r.version
}

// requiredVersion is the version that must be in force at a time.
func (r *soakObservations) requiredVersion(at time.Time) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	owed := 0
	for _, ack := range r.acknowledged {
		if ack.at.Add(applyTimeout).Before(at) {
			owed = max(owed, ack.version)
		}
	}
	return owed
}

// bookingService is the service that takes bookings under a version.
func bookingService(version int) string {
	if version%2 == 0 {
		return "calendar"
	}
	return "calendar-2"
}

// bookingServer is the one server of that service.
func bookingServer(version int) string {
	if version%2 == 0 {
		return "calendar-1"
	}
	return "calendar-2"
}

// change puts a configuration and notes its acknowledgement.
func (s *soak) change(version int) bool {
	if s.putConfiguration(version, bookingService(version)) != http.StatusOK {
		return false
	}
	s.seen.mutex.Lock()
	defer s.seen.mutex.Unlock()
	s.seen.version = max(s.seen.version, version)
	s.seen.acknowledged = append(s.seen.acknowledged, soakAck{version: version, at: time.Now()})
	s.seen.changes.Add(1)
	return true
}

// runOperator changes the configuration until the end. A change without a clear
// answer is sent again.
func (s *soak) runOperator() {
	defer s.callers.Done()
	for !s.operatorStopped.Load() {
		for version := s.seen.nextVersion(); !s.operatorStopped.Load() && !s.change(version); {
			time.Sleep(pollInterval)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// runReader reads the configuration at any member. None may be older than what
// was in force before the read was sent.
func (s *soak) runReader() {
	defer s.callers.Done()
	for at := 0; !s.done.Load(); at++ {
		owed := s.seen.requiredVersion(time.Now())
		if version, ok := s.readVersion(at % 3); ok && version < owed {
			s.seen.addViolation("member %d returned version %d where %d was owed", at%3, version, owed)
		}
		time.Sleep(pollInterval)
	}
}

// readVersion returns the version that a member returns.
func (s *soak) readVersion(at int) (int, bool) {
	client := &http.Client{Timeout: applyTimeout}
	response, err := client.Get("http://" + s.address(s.coreHost(at), controlOffset) + "/api/Config.Get")
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	var content struct{ Version int }
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&content) != nil {
		return 0, false
	}
	return content.Version, true
}

// runCaller asks an entry over connections that it keeps until they break.
func (s *soak) runCaller(to soakProcess, number int) {
	defer s.callers.Done()
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	random := rand.New(rand.NewPCG(uint64(number), uint64(len(to.name))))
	for count := 0; !s.done.Load(); count++ {
		id := fmt.Sprintf("%s-%s-%d-%d", []string{"book", "draft"}[random.IntN(2)], to.name, number, count)
		kind, _, _ := strings.Cut(id, "-")
		s.seen.requests.Add(1)
		s.call(client, to, kind, id)
		time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
	}
}

// call sends one request and checks its answer.
func (s *soak) call(client *http.Client, to soakProcess, kind, id string) {
	path := "/" + kind + "/" + id
	request, err := http.NewRequest(http.MethodPost, "http://"+s.address(to.host, frontOffset)+path, strings.NewReader("body of "+id))
	if err != nil {
		s.seen.addViolation("%s: %v", id, err)
		return
	}
	request.Host = "a.example"
	request.GetBody = nil // no repeat by the client
	request.Header.Set("Burdocklink-Request-Id", id)
	request.Header.Set("Burdocklink-Request-Timeout-Ms", "3000")
	if kind == "draft" {
		request.Header.Set("Burdocklink-Model", "m1")
	}
	s.seen.sent.Store(id, time.Now())
	response, err := client.Do(request)
	if err != nil {
		return
	}
	if response.Header.Get("Burdocklink-Server-Signature") != "" {
		s.seen.answerBegan.Store(id, time.Now())
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	switch response.StatusCode {
	case http.StatusOK:
		s.checkAnswer(kind, id, path, string(body), err == nil, response.Header)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		s.seen.refusals.Add(1)
		s.seen.refused.Store(id, true)
	case http.StatusNotFound, http.StatusBadRequest:
		s.seen.addViolation("%s was denied with %d", id, response.StatusCode)
	}
}

// checkAnswer compares an answer with what its upstream sends. One that broke
// off must not look whole, and has no wrong bytes.
func (s *soak) checkAnswer(kind, id, path, body string, whole bool, header http.Header) {
	want := http.MethodPost + " " + path + " body of " + id
	if kind == "draft" {
		want = wholeStream
	}
	switch {
	case header.Get("Burdocklink-Server-Signature") == "":
		s.seen.addViolation("%s has no signature", id)
	case whole && body != want:
		s.seen.addViolation("%s ended whole as %q", id, body)
	case !strings.HasPrefix(want, body):
		s.seen.addViolation("%s has wrong bytes: %q", id, body)
	case whole:
		s.seen.answered.Add(1)
	}
}
