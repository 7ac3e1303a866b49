package watcher

import (
	"context"
	"maps"
	"slices"
	"sync"

	"go.uber.org/zap"

	"burdocklink/applier"
	"burdocklink/cataloger"
	"burdocklink/estimator"
	"burdocklink/orderer"
)

// pollsAtOnce is how many engines are asked at the same time.
const pollsAtOnce = 16

// holdings collects the engines' reports of one look.
type holdings struct {
	mu      sync.Mutex
	reports []estimator.Report
}

func newHoldings() *holdings { return &holdings{} }

func (h *holdings) put(report estimator.Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reports = append(h.reports, report)
}

// drain returns the reports and forgets them.
func (h *holdings) drain() []estimator.Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	reports := h.reports
	h.reports = nil
	return reports
}

// lookAtEngines asks every engine what it holds and proposes what differs from
// the catalog.
func (w *Watcher) lookAtEngines(ctx context.Context) {
	catalog, err := w.catalog(ctx)
	if err != nil {
		return
	}
	w.askEngines(ctx, catalog)
	for _, report := range w.holdings.drain() {
		w.observe(ctx, catalog, report)
	}
}

func (w *Watcher) askEngines(ctx context.Context, catalog *cataloger.Catalog) {
	var asked sync.WaitGroup
	slots := make(chan struct{}, pollsAtOnce)
	for _, name := range slices.Sorted(maps.Keys(catalog.Upstreams)) {
		upstream := catalog.Upstreams[name]
		if upstream.Kind != cataloger.EngineUpstream {
			continue
		}
		slots <- struct{}{}
		asked.Add(1)
		go w.runAsk(ctx, upstream, slots, &asked)
	}
	asked.Wait()
}

func (w *Watcher) runAsk(ctx context.Context, upstream cataloger.Upstream, slots <-chan struct{}, asked *sync.WaitGroup) {
	defer asked.Done()
	defer func() { <-slots }()
	report, err := w.fetchReport(ctx, upstream.Address)
	if err != nil {
		w.settings.Log.Debug("engine's report", zap.String("upstream", upstream.Name), zap.Error(err))
		return
	}
	w.holdings.put(report)
}

// observe proposes a placement, or that the engine is leaving, where the
// catalog says otherwise.
func (w *Watcher) observe(ctx context.Context, catalog *cataloger.Catalog, report estimator.Report) {
	upstream, known := catalog.Upstreams[report.Upstream]
	if !known || upstream.Incarnation != report.Incarnation {
		return
	}
	if report.Leaving && upstream.State != cataloger.UpstreamLeaving {
		upstream.State = cataloger.UpstreamLeaving
		changes := []cataloger.Change{cataloger.PutUpstream{Upstream: upstream}}
		if err := w.propose(ctx, changes); err != nil {
			w.settings.Log.Warn("leaving engine", zap.Error(err))
		}
	}
	placement := Placement(report)
	if samePlacement(catalog.Placements[report.Upstream], placement) {
		return
	}
	w.proposePlacement(ctx, placement)
}

func (w *Watcher) proposePlacement(ctx context.Context, placement cataloger.Placement) {
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), proposeLimit)
	defer cancel()
	command := applier.Order{Event: orderer.Observe{Placement: placement}}
	if _, err := w.settings.Group.Propose(limited, command); err != nil {
		w.settings.Log.Warn("placement", zap.String("upstream", placement.Upstream), zap.Error(err))
	}
}

// Placement returns what a report says its engine holds.
func Placement(report estimator.Report) cataloger.Placement {
	return cataloger.Placement{
		Upstream:    report.Upstream,
		Incarnation: report.Incarnation,
		Models:      slices.Sorted(slices.Values(report.Models)),
		Adapters:    slices.Sorted(slices.Values(report.Adapters)),
		Role:        report.Role,
	}
}

func samePlacement(one, other cataloger.Placement) bool {
	return one.Incarnation == other.Incarnation &&
		one.Role == other.Role &&
		slices.Equal(one.Models, other.Models) &&
		slices.Equal(one.Adapters, other.Adapters)
}
