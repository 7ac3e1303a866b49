package watcher

import (
	"context"
	"maps"
	"slices"
	"sync"

	"go.uber.org/zap"

	"burdocklink/cataloger"
	"burdocklink/estimator"
)

// maxConcurrentPolls is the number of engines that are polled at the same time.
const maxConcurrentPolls = 16

// reportTable holds the last report of each engine.
type reportTable struct {
	mu      sync.Mutex
	reports map[string]estimator.Report
}

func newReportTable() *reportTable {
	return &reportTable{reports: map[string]estimator.Report{}}
}

func (t *reportTable) put(report estimator.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reports[report.Upstream] = report
}

// retain removes the reports of engines that are not in the catalog.
func (t *reportTable) retain(catalog *cataloger.Catalog) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.reports {
		if _, listed := catalog.Upstreams[name]; !listed {
			delete(t.reports, name)
		}
	}
}

func (t *reportTable) list() map[string]estimator.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.reports)
}

// Reports returns the last report of each engine, by name. Only the leader updates them.
func (w *Watcher) Reports() map[string]estimator.Report { return w.reports.list() }

// pollEngines fetches the report of each engine, and proposes the changes for those that
// are leaving.
func (w *Watcher) pollEngines(ctx context.Context) {
	catalog, err := w.catalog(ctx)
	if err != nil {
		return
	}
	w.reports.retain(catalog)
	w.fetchReports(ctx, catalog)
	if err := w.propose(ctx, CompareReports(catalog, w.Reports())); err != nil {
		w.settings.Log.Warn("proposing leaving engines failed", zap.Error(err))
	}
}

func (w *Watcher) fetchReports(ctx context.Context, catalog *cataloger.Catalog) {
	var fetches sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentPolls)
	for _, name := range slices.Sorted(maps.Keys(catalog.Upstreams)) {
		upstream := catalog.Upstreams[name]
		if upstream.Kind != cataloger.EngineUpstream {
			continue
		}
		slots <- struct{}{}
		fetches.Add(1)
		go w.runFetchReport(ctx, upstream, slots, &fetches)
	}
	fetches.Wait()
}

func (w *Watcher) runFetchReport(ctx context.Context, upstream cataloger.Upstream, slots <-chan struct{}, fetches *sync.WaitGroup) {
	defer fetches.Done()
	defer func() { <-slots }()
	report, err := w.fetchReport(ctx, upstream.Address)
	if err != nil {
		w.settings.Log.Debug("fetching load report failed", zap.String("upstream", upstream.Name), zap.Error(err))
		return
	}
	w.reports.put(report)
}
