package faker

import (
	"net/http"
	"sync"
	"time"

	"burdocklink/encoder"
)

// reportInterval is the time between two recorded reports.
const reportInterval = 20 * time.Millisecond

// reports delays load reports by a lag.
type reports struct {
	lag     time.Duration
	measure func() encoder.LoadReport
	stopped chan struct{}

	mu       sync.Mutex
	sequence uint64
	history  []encoder.LoadReport
}

func newReports(lag time.Duration, measure func() encoder.LoadReport) *reports {
	r := &reports{lag: lag, measure: measure, stopped: make(chan struct{})}
	return r
}

// loop records a report at each interval, unless there is no lag.
func (r *reports) loop() {
	if r.lag == 0 {
		return
	}
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		r.add()
		select {
		case <-ticker.C:
		case <-r.stopped:
			return
		}
	}
}

func (r *reports) stop() { close(r.stopped) }

// add records a new report and drops those older than the lag requires.
func (r *reports) add() {
	taken := r.measure()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	taken.Sequence = r.sequence
	r.history = append(r.history, taken)
	cutoff := time.Now().Add(-r.lag)
	for len(r.history) > 1 && !r.history[1].Taken.After(cutoff) {
		r.history = r.history[1:]
	}
}

// delayed returns the latest report that is as old as the lag, or the oldest
// one. Without a lag the report is taken now.
func (r *reports) delayed() encoder.LoadReport {
	r.mu.Lock()
	empty := len(r.history) == 0
	r.mu.Unlock()
	if r.lag == 0 || empty {
		r.add()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history[0]
}

// measureLoad returns the engine's current load report, without its sequence
// number.
func (e *Engine) measureLoad() encoder.LoadReport {
	counts := e.batch.occupancy()
	report := encoder.LoadReport{
		Upstream:               e.settings.Name,
		Incarnation:            e.settings.Incarnation,
		Taken:                  time.Now(),
		Running:                counts.running,
		Waiting:                counts.waiting,
		WaitingTokens:          counts.waitingTokens,
		Slots:                  e.settings.Slots,
		PrefillTokensPerSecond: e.settings.PrefillTokensPerSecond,
		DecodeTokensPerSecond:  e.settings.DecodeTokensPerSecond,
		Leaving:                e.leaving.Load() != nil,
	}
	if factor := e.faults.get().SlowFactor; factor > 1 {
		report.PrefillTokensPerSecond /= factor
		report.DecodeTokensPerSecond /= factor
	}
	e.ledger.fillReport(&report)
	return report
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, e.reports.delayed())
}

// listModels serves GET PathModels: the ready models and adapters.
func (e *Engine) listModels(w http.ResponseWriter, _ *http.Request) {
	var report encoder.LoadReport
	e.ledger.fillReport(&report)
	list := encoder.EngineModels{Object: "list", Data: []encoder.EngineModel{}}
	for _, name := range append(report.Models, report.Adapters...) {
		list.Data = append(list.Data, encoder.EngineModel{ID: name, Object: "model"})
	}
	answer(w, http.StatusOK, list)
}
