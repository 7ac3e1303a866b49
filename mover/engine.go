package mover

import (
	"time"

	"burdocklink/allocator"
	"burdocklink/matcher"
	"burdocklink/router"
	"burdocklink/surveyor"
)

const (
	// idleReportInterval is the time between two reports of an idle engine,
	// busyReportInterval that while a load or unload is under way.
	// maxReportsPerSecond bounds the reports of idle engines: each takes about
	// 100 µs.
	idleReportInterval  = 1500 * time.Millisecond
	busyReportInterval  = 250 * time.Millisecond
	maxReportsPerSecond = 70
	// reportLag is how old the state in a report may be. A report requested
	// sooner after an order may not include its effect.
	reportLag = 400 * time.Millisecond
	// retryAfter is the backoff after an order or report that failed.
	retryAfter = time.Second
	// plannedTimeout is how long making room for a model may take. Unloading
	// waits for the in-flight requests of the model to unload.
	plannedTimeout = 20 * time.Second
	// basePropagationTime is how long an announcement that a copy is draining
	// may take to reach the entries.
	basePropagationTime = 200 * time.Millisecond
)

// engine is the mover's state of an engine.
type engine struct {
	upstream surveyor.Upstream
	// reported is set by the first report of this incarnation.
	reported bool
	copies   map[string]*allocator.Copy
	versions map[string]int
	sequence uint64
	busy     bool
	// loading is the model being loaded, which takes until about loadedAt.
	// orderedModel is the model whose load order is being sent.
	loading      string
	orderedModel string
	loadedAt     time.Time
	warm         map[string]bool
	disk         map[string]bool
	// reportedLeaving is set once the engine reports that it is leaving, which
	// is final for its incarnation.
	reportedLeaving bool
	// sending is set while an order is in flight.
	sending bool
	// Reports requested before trustReportsFrom are ignored.
	trustReportsFrom time.Time
	// modelOrdersFrom is when the effect of the last order about a model is known.
	// Orders about adapters don't delay those about models.
	modelOrdersFrom time.Time
	reportInFlight  bool
	reportAt        time.Time
	// missedReports counts failed reports in a row.
	missedReports int
	backoffUntil  time.Time
	// orderFrom is when the engine's rate limit admits the next order, and
	// reportFrom when it admits the next report.
	orderFrom    time.Time
	reportFrom   time.Time
	planned      string
	plannedUntil time.Time
	// adapter is the adapter that the last adapter order was sent for.
	adapter Want
}

func newEngine(upstream surveyor.Upstream, now time.Time) *engine {
	return &engine{
		upstream: upstream,
		copies:   map[string]*allocator.Copy{},
		versions: map[string]int{},
		reportAt: now,
	}
}

// applyReport applies a report requested at a given time. It returns false if
// the report can't be used.
func (e *engine) applyReport(report Report, requestedAt, now time.Time) bool {
	if report.Incarnation != e.upstream.Incarnation || requestedAt.Before(e.trustReportsFrom) || e.sending {
		return false
	}
	e.reported = true
	e.sequence = report.Sequence
	e.busy = report.Busy
	if !report.Busy {
		e.loading = ""
	}
	e.warm, e.disk = set(report.InMemory), set(report.OnDisk)
	e.applyHoldings(report, now)
	return true
}

// maxMissedReports is how many reports in a row must fail before an engine
// counts as silent: one may be due to a lost packet.
const maxMissedReports = 2

// silent reports whether the engine does not answer. Its copies don't count
// until it answers again.
func (e *engine) silent() bool { return e.missedReports >= maxMissedReports }

// leaving reports whether the platform lists the engine as leaving or the
// engine itself reports so.
func (e *engine) leaving() bool { return e.reportedLeaving || e.upstream.State == surveyor.Leaving }

// applyNotice applies a notice of the engine. No calls are made while it is
// paused.
func (e *engine) applyNotice(notice router.Notice) {
	e.reportedLeaving = e.reportedLeaving || notice.Leaving
	for _, at := range []*time.Time{&e.reportAt, &e.backoffUntil} {
		if notice.PausedUntil.After(*at) {
			*at = notice.PausedUntil
		}
	}
}

func (e *engine) applyHoldings(report Report, now time.Time) {
	copies := map[string]*allocator.Copy{}
	for _, held := range report.Holds {
		known := e.copies[held.Model]
		fresh := &allocator.Copy{Adapters: map[string]time.Time{}, Since: now}
		if known != nil {
			fresh.Draining, fresh.DrainStart, fresh.Since = known.Draining, known.DrainStart, known.Since
		}
		for _, adapter := range held.Adapters {
			fresh.Adapters[adapter] = adapterUsedAt(known, adapter)
		}
		copies[held.Model] = fresh
		e.versions[held.Model] = held.Version
	}
	for _, pending := range report.Pending {
		if c := copies[pending.Model]; c != nil {
			c.Adapters[pending.Adapter] = now
		}
	}
	if e.loading != "" && copies[e.loading] == nil {
		copies[e.loading] = &allocator.Copy{Adapters: map[string]time.Time{}, Since: now}
	}
	e.copies = copies
	if copies[e.planned] != nil || now.After(e.plannedUntil) {
		e.planned = ""
	}
}

// adapterUsedAt returns when an adapter of a copy was last requested.
func adapterUsedAt(held *allocator.Copy, adapter string) time.Time {
	if held == nil {
		return time.Time{}
	}
	return held.Adapters[adapter]
}

// acceptsModelOrders reports whether an order about a model may be given.
func (e *engine) acceptsModelOrders(now time.Time) bool {
	return e.acceptsAdapterOrders(now) && !now.Before(e.modelOrdersFrom)
}

// announcement returns the copies of the engine that may get requests, for the
// entries.
func (e *engine) announcement() surveyor.EngineHoldings {
	announcement := surveyor.EngineHoldings{Upstream: e.upstream.Name, Incarnation: e.upstream.Incarnation}
	if e.reportedLeaving {
		return announcement
	}
	for _, name := range sortedNames(e.copies) {
		held := e.copies[name]
		if held.Draining || e.loading == name {
			continue
		}
		announcement.Holds = append(announcement.Holds, surveyor.HeldModel{
			Model:    name,
			Version:  e.versions[name],
			Adapters: sortedNames(held.Adapters),
		})
	}
	return announcement
}

// view returns the engine as an input of plans. The capacity is zero if the
// engine has no rate limit.
func (e *engine) view(service *matcher.Engine, now time.Time, inFlight int, capacity float64) *allocator.Engine {
	return &allocator.Engine{
		Name:          e.upstream.Name,
		Software:      e.upstream.Software,
		MemoryBytes:   service.MemoryBytes,
		AdapterSlots:  service.AdapterSlots,
		Copies:        e.copies,
		Loading:       e.loading,
		Planned:       e.planned,
		AcceptsOrders: e.acceptsModelOrders(now),
		Leaving:       e.leaving() || !e.reported || e.silent(),
		Warm:          e.warm,
		OnDisk:        e.disk,
		InFlight:      inFlight,
		Capacity:      capacity,
	}
}
