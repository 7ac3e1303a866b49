package faker

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"burdocklink/encoder"
)

// ServiceSettings configure a stand-in plain service.
type ServiceSettings struct {
	Name string
	// Delay is the duration of each call.
	Delay time.Duration
	// Journal is the path of a file of encoder.JournalLine values; empty for none.
	Journal string
}

// callKey identifies the call of a subscriber by its idempotency key.
type callKey struct{ subscriber, key string }

// Service is a stand-in plain service that accepts any method and path.
type Service struct {
	httpServer
	settings ServiceSettings
	journal  *journal
	running  atomic.Int64

	mu      sync.Mutex
	faults  encoder.ServiceFaults
	thawed  chan struct{}
	leaving time.Time
	calls   []encoder.Execution
	counts  map[callKey]int
	refused int
}

// NewService returns a service that has not been started.
func NewService(settings ServiceSettings) *Service {
	open := make(chan struct{})
	close(open)
	return &Service{settings: settings, counts: map[callKey]int{}, thawed: open}
}

// Start opens the journal, listens on the address and serves requests.
func (s *Service) Start(address string) error {
	opened, err := newJournal(s.settings.Journal)
	if err != nil {
		return err
	}
	s.journal = opened
	return s.start(address, s.Handler())
}

// Stop finishes calls in flight until the deadline and then cuts them.
func (s *Service) Stop(deadline time.Time) error { return s.stop(deadline) }

// Handler serves the calls, the record and the faults.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+encoder.PathRecord, s.record)
	mux.HandleFunc("POST "+encoder.PathFaults, s.setFaults)
	mux.HandleFunc("POST "+encoder.PathLeave, s.leave)
	mux.HandleFunc("GET "+encoder.PathLoad, s.load)
	mux.HandleFunc("/", s.call)
	return mux
}

// SetFaults replaces the active faults.
func (s *Service) SetFaults(faults encoder.ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Frozen && !faults.Frozen {
		close(s.thawed)
	}
	if !s.faults.Frozen && faults.Frozen {
		s.thawed = make(chan struct{})
	}
	s.faults = faults
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults encoder.ServiceFaults
	if !read(w, r, &faults) {
		return
	}
	s.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) leave(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving.IsZero() {
		s.leaving = time.Now()
	}
	w.WriteHeader(http.StatusNoContent)
}

// load serves GET PathLoad, by which a service reports that it is leaving.
func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	report := encoder.LoadReport{
		Upstream: s.settings.Name,
		Taken:    time.Now(),
		Running:  int(s.running.Load()),
		Leaving:  !s.leaving.IsZero(),
	}
	s.mu.Unlock()
	answer(w, http.StatusOK, report)
}

// call serves a call, with the active faults before and after it runs.
func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		drop()
	}
	s.running.Add(1)
	defer s.running.Add(-1)
	s.mu.Lock()
	faults, thawed := s.faults, s.thawed
	if !s.leaving.IsZero() {
		w.Header().Set(encoder.HeaderLeaving, encoder.LeavingValue)
	}
	s.mu.Unlock()
	<-thawed
	if faults.RefuseRequests {
		s.countRefused()
		refuse(w, http.StatusServiceUnavailable, "overloaded", "the service takes no work")
		return
	}
	time.Sleep(s.settings.Delay + time.Duration(faults.DelayMilliseconds)*time.Millisecond)
	ran := s.run(r, body)
	switch {
	case faults.HangAfterRun:
		<-r.Context().Done()
		drop()
	case faults.CutAfterRun:
		drop()
	case faults.FailAfterRun:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.Header().Set(encoder.HeaderRequestID, ran.RequestID)
		answer(w, http.StatusOK, encoder.ServiceAnswer{
			Upstream:       s.settings.Name,
			IdempotencyKey: ran.IdempotencyKey,
			BodyDigest:     ran.BodyDigest,
			Count:          ran.Count,
		})
	}
}

func (s *Service) countRefused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused++
}

// run records the execution of a call, and counts those with the same
// idempotency key.
func (s *Service) run(r *http.Request, body []byte) encoder.Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	ran := encoder.Execution{
		RequestID:      r.Header.Get(encoder.HeaderRequestID),
		Subscriber:     r.Header.Get(encoder.HeaderSubscriber),
		IdempotencyKey: r.Header.Get(encoder.HeaderIdempotencyKey),
		Method:         r.Method,
		Path:           r.URL.RequestURI(),
		BodyDigest:     Digest(body),
		Ran:            time.Now(),
		Count:          1,
	}
	if ran.IdempotencyKey != "" {
		key := callKey{ran.Subscriber, ran.IdempotencyKey}
		s.counts[key]++
		ran.Count = s.counts[key]
	}
	s.calls = append(s.calls, ran)
	s.journal.add(encoder.JournalLine{Call: &ran})
	return ran
}

// Digest returns the hex-encoded SHA-256 of a body, as the records hold it.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Record returns the calls run and the number refused since the start.
func (s *Service) Record() encoder.ServiceRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return encoder.ServiceRecord{
		Upstream: s.settings.Name,
		Leaving:  s.leaving,
		Calls:    slices.Clone(s.calls),
		Refused:  s.refused,
	}
}

func (s *Service) record(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, s.Record())
}
