package faker

import (
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"burdocklink/encoder"
)

// StoreSettings configure a stand-in weight store. A limit of zero means
// unlimited.
type StoreSettings struct {
	Weights []encoder.Weights
	// LoadsPerSecond is the rate at which fetches start; more wait.
	LoadsPerSecond float64
	// LoadsAtOnce is the number of model fetches that run at full speed. A fetch
	// that starts beyond it takes proportionally longer.
	LoadsAtOnce int
	// AdaptersInTransit is the same limit for adapters.
	AdaptersInTransit int
	// ModelTime and AdapterTime are the durations of a fetch at full speed.
	ModelTime   time.Duration
	AdapterTime time.Duration
}

// Store is a stand-in weight store.
type Store struct {
	httpServer
	settings StoreSettings

	mu               sync.Mutex
	modelsInFlight   int
	adaptersInFlight int
	nextStart        time.Time
	recentStarts     []time.Time
	fetches          int
	peakModels       int
	peakAdapters     int
	peakPerSecond    int
}

// UnknownWeightsError reports that the store did not return the named weights.
type UnknownWeightsError struct{ Name, Status string }

// Error implements error.
func (e *UnknownWeightsError) Error() string {
	return "weights " + e.Name + " not given out: " + e.Status
}

// NewStore returns a store that has not been started.
func NewStore(settings StoreSettings) *Store { return &Store{settings: settings} }

// Start listens on the address and serves requests.
func (s *Store) Start(address string) error { return s.start(address, s.Handler()) }

// Stop drains fetches in flight until the deadline, then closes their
// connections.
func (s *Store) Stop(deadline time.Time) error { return s.stop(deadline) }

// Handler serves the list of weights, the weights and the record.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+encoder.PathWeights, s.list)
	mux.HandleFunc("GET "+encoder.PathWeights+"/{name}", s.fetch)
	mux.HandleFunc("GET "+encoder.PathRecord, s.record)
	return mux
}

func (s *Store) list(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, s.settings.Weights)
}

// fetch serves GET PathWeights/NAME after the wait for its start and the
// duration of the fetch.
func (s *Store) fetch(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	i := slices.IndexFunc(s.settings.Weights, func(each encoder.Weights) bool {
		return each.Name == name
	})
	if i < 0 {
		refuse(w, http.StatusNotFound, "weights_not_found", "no weights named "+name)
		return
	}
	found := s.settings.Weights[i]
	s.sleep(time.Until(s.reserveStart(time.Now())))
	s.sleep(s.beginFetch(found.Kind))
	s.endFetch(found.Kind)
	answer(w, http.StatusOK, found)
}

func (s *Store) sleep(wait time.Duration) {
	if wait > 0 {
		time.Sleep(wait)
	}
}

// reserveStart counts a fetch and returns when it may start.
func (s *Store) reserveStart(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countFetch(now)
	if s.settings.LoadsPerSecond == 0 {
		return now
	}
	if s.nextStart.Before(now) {
		s.nextStart = now
	}
	start := s.nextStart
	s.nextStart = start.Add(time.Duration(float64(time.Second) / s.settings.LoadsPerSecond))
	return start
}

// countFetch updates the count of fetches and the highest number requested
// within one second. The mutex must be held.
func (s *Store) countFetch(now time.Time) {
	s.fetches++
	s.recentStarts = append(s.recentStarts, now)
	for now.Sub(s.recentStarts[0]) > time.Second {
		s.recentStarts = s.recentStarts[1:]
	}
	s.peakPerSecond = max(s.peakPerSecond, len(s.recentStarts))
}

// beginFetch adds a fetch in flight and returns its duration.
func (s *Store) beginFetch(kind string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if kind == kindAdapter {
		s.adaptersInFlight++
		s.peakAdapters = max(s.peakAdapters, s.adaptersInFlight)
		return slowDown(s.settings.AdapterTime, s.adaptersInFlight, s.settings.AdaptersInTransit)
	}
	s.modelsInFlight++
	s.peakModels = max(s.peakModels, s.modelsInFlight)
	return slowDown(s.settings.ModelTime, s.modelsInFlight, s.settings.LoadsAtOnce)
}

// slowDown stretches a duration by count/limit if the count exceeds the limit.
func slowDown(full time.Duration, count, limit int) time.Duration {
	if limit == 0 || count <= limit {
		return full
	}
	return full * time.Duration(count) / time.Duration(limit)
}

// endFetch removes a fetch in flight.
func (s *Store) endFetch(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if kind == kindAdapter {
		s.adaptersInFlight--
		return
	}
	s.modelsInFlight--
}

// Record returns the counts of fetches since the start.
func (s *Store) Record() encoder.StoreRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return encoder.StoreRecord{
		Fetches:            s.fetches,
		MostAtOnce:         s.peakModels,
		MostAdaptersAtOnce: s.peakAdapters,
		MostInSecond:       s.peakPerSecond,
	}
}

func (s *Store) record(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, s.Record())
}

// fetchWeights fetches weights from a store by name. It returns an
// UnknownWeightsError for any status but 200.
func fetchWeights(address, name string) (encoder.Weights, error) {
	response, err := http.Get("http://" + address + encoder.PathWeights + "/" + url.PathEscape(name))
	if err != nil {
		return encoder.Weights{}, eris.Wrap(err, "fetch weights")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return encoder.Weights{}, &UnknownWeightsError{Name: name, Status: response.Status}
	}
	var fetched encoder.Weights
	if err := json.NewDecoder(response.Body).Decode(&fetched); err != nil {
		return encoder.Weights{}, eris.Wrap(err, "read weights")
	}
	return fetched, nil
}
