package faker

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"burdocklink/encoder"
)

// EngineSettings configure a stand-in engine. Work with a zero rate or duration
// takes no time.
type EngineSettings struct {
	Name        string
	Incarnation string
	// MemoryBytes is the accelerator memory.
	MemoryBytes int64
	// Slots is the number of requests that run at once; zero means DefaultSlots.
	Slots int
	// PrefillTokensPerSecond is shared by all requests in prefill.
	PrefillTokensPerSecond float64
	// DecodeTokensPerSecond applies to each running request.
	DecodeTokensPerSecond float64
	// ReportLag is the age of the load reports served.
	ReportLag time.Duration
	// CacheEventLag is the age at which cache events become readable.
	CacheEventLag time.Duration
	// PrefixCacheBlocks is the capacity of the prefix cache in blocks of 16
	// tokens; zero disables it.
	PrefixCacheBlocks int
	// ChecksFence refuses orders with an outdated fencing token.
	ChecksFence bool
	// Store is the IP and port of the weight store; loads do without one if
	// it is empty.
	Store string
	// LoadTime is added to the store's time for each load.
	LoadTime time.Duration
	// ResumeTime is how long a stream without a reader can be resumed; zero
	// means DefaultResumeTime.
	ResumeTime time.Duration
	// Holds are the weights in memory at start.
	Holds []encoder.Weights
	// Journal is the path of a file of encoder.JournalLine values; empty for none.
	Journal string
}

// Defaults of EngineSettings.
const (
	DefaultSlots      = 16
	DefaultResumeTime = 30 * time.Second
)

// Engine is a stand-in model engine.
type Engine struct {
	httpServer
	settings EngineSettings
	batch    *batch
	ledger   *ledger
	cache    *prefixCache
	reports  *reports
	faults   *faults
	journal  *journal
	leaving  atomic.Pointer[time.Time]

	mu   sync.Mutex
	runs []*stream
	byID map[string]*stream
}

// NewEngine returns an engine that has not been started.
func NewEngine(settings EngineSettings) *Engine {
	if settings.Slots == 0 {
		settings.Slots = DefaultSlots
	}
	if settings.ResumeTime == 0 {
		settings.ResumeTime = DefaultResumeTime
	}
	engine := &Engine{
		settings: settings,
		faults:   newFaults(),
		byID:     map[string]*stream{},
	}
	engine.cache = newPrefixCache(settings.PrefixCacheBlocks, settings.CacheEventLag, engine.faults)
	engine.ledger = newLedger(settings)
	engine.batch = newBatch(settings, engine.faults)
	engine.reports = newReports(settings.ReportLag, engine.measureLoad)
	return engine
}

// Start opens the journal, listens on the address and serves requests.
func (e *Engine) Start(address string) error {
	opened, err := newJournal(e.settings.Journal)
	if err != nil {
		return err
	}
	e.journal = opened
	e.ledger.setJournal(opened)
	if err := e.start(address, e.Handler()); err != nil {
		return err
	}
	go e.batch.loop()
	go e.reports.loop()
	return nil
}

// Stop drains requests in flight until the deadline, then closes their
// connections.
func (e *Engine) Stop(deadline time.Time) error {
	err := e.stop(deadline)
	e.batch.stop()
	e.reports.stop()
	return err
}

// Handler serves the upstream protocol and the endpoints for the record, the
// faults and leaving. The latter work while the engine is frozen, too.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+encoder.PathChat, e.complete)
	mux.HandleFunc("POST "+encoder.PathCompletions, e.complete)
	mux.HandleFunc("GET "+encoder.PathModels, e.listModels)
	mux.HandleFunc("GET "+encoder.PathStreams+"{id}", e.resume)
	mux.HandleFunc("DELETE "+encoder.PathStreams+"{id}", e.cancel)
	mux.HandleFunc("GET "+encoder.PathLoad, e.load)
	mux.HandleFunc("POST "+encoder.PathOrders, e.handleOrder)
	mux.HandleFunc("GET "+encoder.PathOrders+"/{id}", e.handleOrderQuery)
	mux.HandleFunc("GET "+encoder.PathCacheEvents, e.cacheEvents)
	mux.HandleFunc("GET "+encoder.PathKV+"{id}", e.exportKV)
	mux.HandleFunc("POST "+encoder.PathKV+"{id}", e.importKV)
	outer := http.NewServeMux()
	outer.HandleFunc("POST "+encoder.PathLeave, e.leave)
	outer.HandleFunc("GET "+encoder.PathRecord, e.record)
	outer.HandleFunc("POST "+encoder.PathFaults, e.setFaults)
	outer.Handle("/", e.faults.holdWhileFrozen(e.markLeaving(mux)))
	return outer
}

// markLeaving adds the leaving header to all answers of a leaving engine.
func (e *Engine) markLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.leaving.Load() != nil {
			w.Header().Set(encoder.HeaderLeaving, encoder.LeavingValue)
		}
		next.ServeHTTP(w, r)
	})
}

// Leave makes the engine report that it is leaving.
func (e *Engine) Leave() {
	now := time.Now()
	e.leaving.CompareAndSwap(nil, &now)
}

func (e *Engine) leave(w http.ResponseWriter, _ *http.Request) {
	e.Leave()
	w.WriteHeader(http.StatusNoContent)
}

// SetFaults replaces the active faults.
func (e *Engine) SetFaults(faults encoder.EngineFaults) { e.faults.set(faults) }

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults encoder.EngineFaults
	if !read(w, r, &faults) {
		return
	}
	e.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

// find returns the stream of a request ID, or nil.
func (e *Engine) find(id string) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byID[id]
}

// add registers a stream and cancels an earlier one with the same request ID.
func (e *Engine) add(added *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if earlier := e.byID[added.id]; earlier != nil {
		earlier.setState(streamCancelled)
	}
	e.byID[added.id] = added
	e.runs = append(e.runs, added)
	run := added.record()
	e.journal.add(encoder.JournalLine{Run: &run})
}

// Record returns all runs and orders since the engine started.
func (e *Engine) Record() encoder.EngineRecord {
	record := e.ledger.record()
	record.Upstream = e.settings.Name
	record.Incarnation = e.settings.Incarnation
	if leaving := e.leaving.Load(); leaving != nil {
		record.Leaving = *leaving
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	record.Runs = make([]encoder.EngineRun, 0, len(e.runs))
	for _, run := range e.runs {
		record.Runs = append(record.Runs, run.record())
	}
	return record
}

func (e *Engine) record(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, e.Record())
}

func (s *stream) record() encoder.EngineRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return encoder.EngineRun{
		RequestID:    s.id,
		Path:         s.path,
		Model:        s.model,
		Started:      s.started,
		State:        s.state.String(),
		Tokens:       len(s.tokens),
		PromptTokens: s.promptTokens,
		CachedTokens: s.cachedTokens,
		Priority:     s.priority,
		Imported:     s.imported,
	}
}
