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

// soakObservations are the observations of callers and the operator.
type soakObservations struct {
	requests, answered, refusals, changes atomic.Int64
	// refusedIDs has the IDs of requests that were refused as not run.
	refusedIDs sync.Map
	// sent and answerBegan are when a request was sent and when its server's answer
	// began to arrive, by request ID.
	sent, answerBegan sync.Map

	mutex        sync.Mutex
	version      int
	acknowledged []soakAck
	violations   []string
}

// soakAck is the acknowledgement of a configuration.
type soakAck struct {
	version int
	at      time.Time
}

// addViolation records a violated guarantee.
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

// requiredVersion returns the lowest version that may be in force at a time.
func (r *soakObservations) requiredVersion(at time.Time) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	required := 0
	for _, ack := range r.acknowledged {
		if ack.at.Add(applyTimeout).Before(at) {
			required = max(required, ack.version)
		}
	}
	return required
}

// bookingService returns the service that bookings are routed to under a version.
func bookingService(version int) string {
	if version%2 == 0 {
		return "calendar"
	}
	return "calendar-2"
}

// bookingServer returns the only server of that service.
func bookingServer(version int) string {
	if version%2 == 0 {
		return "calendar-1"
	}
	return "calendar-2"
}

// change puts a configuration and records its acknowledgement. It reports whether
// there was one.
func (s *soak) change(version int) bool {
	if s.putConfiguration(version, bookingService(version)) != http.StatusOK {
		return false
	}
	s.observations.mutex.Lock()
	defer s.observations.mutex.Unlock()
	s.observations.version = max(s.observations.version, version)
	s.observations.acknowledged = append(s.observations.acknowledged, soakAck{version: version, at: time.Now()})
	s.observations.changes.Add(1)
	return true
}

// runOperator changes the configuration until operatorStopped is set. A change
// without an acknowledgement is sent again.
func (s *soak) runOperator() {
	defer s.callers.Done()
	for !s.operatorStopped.Load() {
		for version := s.observations.nextVersion(); !s.operatorStopped.Load() && !s.change(version); {
			time.Sleep(pollInterval)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// runReader reads the configuration at each member in turn. No version may be
// older than the one that was required when the read was sent.
func (s *soak) runReader() {
	defer s.callers.Done()
	for i := 0; !s.done.Load(); i++ {
		required := s.observations.requiredVersion(time.Now())
		if version, ok := s.readVersion(i % 3); ok && version < required {
			s.observations.addViolation("member %d returned version %d, want at least %d", i%3, version, required)
		}
		time.Sleep(pollInterval)
	}
}

// readVersion returns the version of the configuration at a member.
func (s *soak) readVersion(i int) (int, bool) {
	client := &http.Client{Timeout: applyTimeout}
	response, err := client.Get("http://" + s.address(s.coreHost(i), controlOffset) + "/api/Config.Get")
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

// runCaller sends requests to an entry over persistent connections.
func (s *soak) runCaller(to soakProcess, number int) {
	defer s.callers.Done()
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	random := rand.New(rand.NewPCG(uint64(number), uint64(len(to.name))))
	for count := 0; !s.done.Load(); count++ {
		id := fmt.Sprintf("%s-%s-%d-%d", []string{"book", "draft"}[random.IntN(2)], to.name, number, count)
		kind, _, _ := strings.Cut(id, "-")
		s.observations.requests.Add(1)
		s.call(client, to, kind, id)
		time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
	}
}

// call sends one request and checks its answer.
func (s *soak) call(client *http.Client, to soakProcess, kind, id string) {
	path := "/" + kind + "/" + id
	request, err := http.NewRequest(http.MethodPost, "http://"+s.address(to.host, frontOffset)+path, strings.NewReader("body of "+id))
	if err != nil {
		s.observations.addViolation("%s: %v", id, err)
		return
	}
	request.Host = "a.example"
	request.GetBody = nil // the client must not retry
	request.Header.Set("Burdocklink-Request-Id", id)
	request.Header.Set("Burdocklink-Request-Timeout-Ms", "3000")
	request.Header.Set("Authorization", "Bearer "+soakKey)
	if kind == "draft" {
		request.Header.Set("Burdocklink-Model", "m1")
	}
	s.observations.sent.Store(id, time.Now())
	response, err := client.Do(request)
	if err != nil {
		return
	}
	if response.Header.Get("Burdocklink-Server-Signature") != "" {
		s.observations.answerBegan.Store(id, time.Now())
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	switch response.StatusCode {
	case http.StatusOK:
		s.checkAnswer(kind, id, path, string(body), err == nil, response.Header)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		s.observations.refusals.Add(1)
		s.observations.refusedIDs.Store(id, true)
	case http.StatusNotFound, http.StatusBadRequest:
		s.observations.addViolation("%s failed with status %d", id, response.StatusCode)
	}
}

// checkAnswer compares an answer with the one that the upstream sends. A cut-off
// answer must not look complete and must be a prefix of it.
func (s *soak) checkAnswer(kind, id, path, body string, whole bool, header http.Header) {
	want := http.MethodPost + " " + path + " body of " + id
	if kind == "draft" {
		want = wholeStream
	}
	switch {
	case header.Get("Burdocklink-Server-Signature") == "":
		s.observations.addViolation("%s has no signature", id)
	case whole && body != want:
		s.observations.addViolation("%s completed with %q", id, body)
	case !strings.HasPrefix(want, body):
		s.observations.addViolation("%s has wrong bytes: %q", id, body)
	case whole:
		s.observations.answered.Add(1)
	}
}
