package mover

import (
	"time"

	"burdocklink/allocator"
	"burdocklink/matcher"
	"burdocklink/router"
	"burdocklink/surveyor"
)

const (
	// idleReportInterval is the time between two reports of an idle engine, and
	// reportSoon while an order is under way. reportRate is how many reports of
	// idle engines are asked for in a second at most: each takes about 100 µs.
	idleReportInterval  = 1500 * time.Millisecond
	busyReportInterval  = 250 * time.Millisecond
	maxReportsPerSecond = 70
	// reportLag is how old a report may be. One that was asked for sooner after
	// an order may not know of it.
	reportLag = 400 * time.Millisecond
	// retryAfter is how long an engine is left alone after an order or report
	// that failed.
	retryAfter = time.Second
	// plannedTimeout is how long room may take to be made for a model. Unloading
	// waits for the runs of the model that makes way.
	plannedTimeout = 20 * time.Second
	// basePropagationTime is how long the word that a copy gets no more requests may be on
	// its way to entries.
	basePropagationTime = 200 * time.Millisecond
)

// engine is what the mover knows of one engine.
type engine struct {
	upstream surveyor.Upstream
	// reported is true once a report of this incarnation was taken in.
	reported bool
	copies   map[string]*allocator.Copy
	versions map[string]int
	sequence uint64
	busy     bool
	// loading is the model whose load is under way, until about loadedAt, and
	// ordered the one that an order on its way is about to load.
	loading      string
	orderedModel string
	loadedAt     time.Time
	warm         map[string]bool
	disk         map[string]bool
	// reportedLeaving is true once the engine has said that it leaves, which is final
	// for its incarnation.
	reportedLeaving bool
	// sending is true while an order is on its way.
	sending bool
	// trustReportsFrom is when a report must have been asked for to be believed.
	trustReportsFrom time.Time
	reportInFlight   bool
	reportAt         time.Time
	// missedReports counts the reports in a row that did not come.
	missedReports int
	backoffUntil  time.Time
	// orderFrom is until when the engine's limit of requests leaves no room for an
	// order, and reportFrom from when on it leaves room for a report.
	orderFrom    time.Time
	reportFrom   time.Time
	planned      string
	plannedUntil time.Time
	// adapter is what the last order about an adapter was given for.
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

// applyReport takes in a report that was asked for at a time. It returns false where
// the report says nothing that can be used.
func (e *engine) applyReport(report Report, askedAt, now time.Time) bool {
	if report.Incarnation != e.upstream.Incarnation || askedAt.Before(e.trustReportsFrom) || e.sending {
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

// maxMissedReports is how many reports in a row may fail to come before an engine
// counts as silent: one may fall victim to a lost packet.
const maxMissedReports = 2

// silent is true for an engine that does not answer. What it holds serves
// nobody until it answers again.
func (e *engine) silent() bool { return e.missedReports >= maxMissedReports }

// leaving is true for an engine that the platform lists as leaving, or that says
// so itself.
func (e *engine) leaving() bool { return e.reportedLeaving || e.upstream.State == surveyor.Leaving }

// applyNotice takes in what the engine says of itself. It is left alone while it pauses.
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

// adapterUsedAt is when an adapter of a copy was last asked for.
func adapterUsedAt(held *allocator.Copy, adapter string) time.Time {
	if held == nil {
		return time.Time{}
	}
	return held.Adapters[adapter]
}

// acceptsModelOrders is true where an order about a model may be given.
func (e *engine) acceptsModelOrders(now time.Time) bool {
	return e.acceptsAdapterOrders(now) && !now.Before(e.trustReportsFrom)
}

// announcement is what entries hear of the engine: all that may get requests.
func (e *engine) announcement() surveyor.Told {
	announcement := surveyor.Told{Upstream: e.upstream.Name, Incarnation: e.upstream.Incarnation}
	if e.reportedLeaving {
		return announcement
	}
	for _, name := range sortedNames(e.copies) {
		held := e.copies[name]
		if held.Draining || e.loading == name {
			continue
		}
		announcement.Holds = append(announcement.Holds, surveyor.Held{
			Model:    name,
			Version:  e.versions[name],
			Adapters: sortedNames(held.Adapters),
		})
	}
	return announcement
}

// view is the engine as plans see it. The capacity is zero where it does not limit
// its requests.
func (e *engine) view(service *matcher.Engine, now time.Time, inFlight int, capacity float64) *allocator.Engine {
	return &allocator.Engine{
		Name:          e.upstream.Name,
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
