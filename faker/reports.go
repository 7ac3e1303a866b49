package faker

import (
	"net/http"
	"sync"
	"time"

	"burdocklink/encoder"
)

// reportPause is the time between two reports that are kept for the lag.
const reportPause = 20 * time.Millisecond

// reports keeps load reports until they are old enough to be given out.
type reports struct {
	lag     time.Duration
	take    func() encoder.LoadReport
	stopped chan struct{}

	mu       sync.Mutex
	sequence uint64
	kept     []encoder.LoadReport
}

func newReports(lag time.Duration, take func() encoder.LoadReport) *reports {
	made := &reports{lag: lag, take: take, stopped: make(chan struct{})}
	return made
}

// loop keeps a report from time to time.
func (r *reports) loop() {
	if r.lag == 0 {
		return
	}
	ticker := time.NewTicker(reportPause)
	defer ticker.Stop()
	for {
		r.keep()
		select {
		case <-ticker.C:
		case <-r.stopped:
			return
		}
	}
}

func (r *reports) stop() { close(r.stopped) }

// keep takes a report and drops those that are older than the lag asks for.
func (r *reports) keep() {
	taken := r.take()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	taken.Sequence = r.sequence
	r.kept = append(r.kept, taken)
	ripe := time.Now().Add(-r.lag)
	for len(r.kept) > 1 && !r.kept[1].Taken.After(ripe) {
		r.kept = r.kept[1:]
	}
}

// get returns the report that the lag lets through.
func (r *reports) get() encoder.LoadReport {
	r.mu.Lock()
	empty := len(r.kept) == 0
	r.mu.Unlock()
	if r.lag == 0 || empty {
		r.keep()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.kept[0]
}

// takeReport describes the engine at this moment.
func (e *Engine) takeReport() encoder.LoadReport {
	busy := e.batch.occupancy()
	report := encoder.LoadReport{
		Upstream:               e.settings.Name,
		Incarnation:            e.settings.Incarnation,
		Taken:                  time.Now(),
		Running:                busy.running,
		Waiting:                busy.waiting,
		WaitingTokens:          busy.waitingTokens,
		Slots:                  e.settings.Slots,
		PrefillTokensPerSecond: e.settings.PrefillTokensPerSecond,
		DecodeTokensPerSecond:  e.settings.DecodeTokensPerSecond,
		Leaving:                e.leaving.Load() != nil,
	}
	if factor := e.faults.get().SlowFactor; factor > 1 {
		report.PrefillTokensPerSecond /= factor
		report.DecodeTokensPerSecond /= factor
	}
	e.ledger.report(&report)
	return report
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, e.reports.get())
}

// listModels answers GET PathModels as model servers do.
func (e *Engine) listModels(w http.ResponseWriter, _ *http.Request) {
	var report encoder.LoadReport
	e.ledger.report(&report)
	list := encoder.EngineModels{Object: "list", Data: []encoder.EngineModel{}}
	for _, name := range append(report.Models, report.Adapters...) {
		list.Data = append(list.Data, encoder.EngineModel{ID: name, Object: "model"})
	}
	answer(w, http.StatusOK, list)
}
