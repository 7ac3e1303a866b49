package mover

import (
	"time"

	"burdocklink/allocator"
	"burdocklink/matcher"
	"burdocklink/router"
	"burdocklink/surveyor"
)

const (
	// reportEvery is the time between two reports of an idle engine, and
	// reportSoon while an order is under way. reportRate is how many reports of
	// idle engines are asked for in a second at most: each takes about 100 µs.
	reportEvery = 1500 * time.Millisecond
	reportSoon  = 250 * time.Millisecond
	reportRate  = 70
	// reportLag is how old a report may be. One that was asked for sooner after
	// an order may not know of it.
	reportLag = 400 * time.Millisecond
	// retryAfter is how long an engine is left alone after an order or report
	// that failed.
	retryAfter = time.Second
	// intendedTime is how long room may take to be made for a model. Unloading
	// waits for the runs of the model that makes way.
	intendedTime = 20 * time.Second
	// dropTime is how long the word that a copy gets no more requests may be on
	// its way to entries.
	dropTime = 200 * time.Millisecond
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
	loading  string
	ordered  string
	loadedAt time.Time
	warm     map[string]bool
	disk     map[string]bool
	// saidLeaving is true once the engine has said that it leaves, which is final
	// for its incarnation.
	saidLeaving bool
	// sending is true while an order is on its way.
	sending bool
	// believeFrom is when a report must have been asked for to be believed.
	believeFrom time.Time
	asking      bool
	askAt       time.Time
	// unanswered counts the reports in a row that did not come.
	unanswered int
	restUntil  time.Time
	// spacedUntil is until when the engine's limit of requests leaves no room for an
	// order, and reportFrom from when on it leaves room for a report.
	spacedUntil time.Time
	reportFrom  time.Time
	intended    string
	intendedBy  time.Time
	// adapter is what the last order about an adapter was given for.
	adapter Want
}

func newEngine(upstream surveyor.Upstream, now time.Time) *engine {
	return &engine{
		upstream: upstream,
		copies:   map[string]*allocator.Copy{},
		versions: map[string]int{},
		askAt:    now,
	}
}

// take takes in a report that was asked for at a time. It returns false where
// the report says nothing that can be used.
func (e *engine) take(report Report, askedAt, now time.Time) bool {
	if report.Incarnation != e.upstream.Incarnation || askedAt.Before(e.believeFrom) || e.sending {
		return false
	}
	e.reported = true
	e.sequence = report.Sequence
	e.busy = report.Busy
	if !report.Busy {
		e.loading = ""
	}
	e.warm, e.disk = set(report.InMemory), set(report.OnDisk)
	e.takeHolds(report, now)
	return true
}

// silentReports is how many reports in a row may fail to come before an engine
// counts as silent: one may fall victim to a lost packet.
const silentReports = 2

// silent is true for an engine that does not answer. What it holds serves
// nobody until it answers again.
func (e *engine) silent() bool { return e.unanswered >= silentReports }

// leaving is true for an engine that the platform lists as leaving, or that says
// so itself.
func (e *engine) leaving() bool { return e.saidLeaving || e.upstream.State == surveyor.Leaving }

// heed takes in what the engine says of itself. It is left alone while it pauses.
func (e *engine) heed(notice router.Notice) {
	e.saidLeaving = e.saidLeaving || notice.Leaving
	for _, at := range []*time.Time{&e.askAt, &e.restUntil} {
		if notice.PausedUntil.After(*at) {
			*at = notice.PausedUntil
		}
	}
}

func (e *engine) takeHolds(report Report, now time.Time) {
	copies := map[string]*allocator.Copy{}
	for _, held := range report.Holds {
		known := e.copies[held.Model]
		one := &allocator.Copy{Adapters: map[string]time.Time{}, Since: now}
		if known != nil {
			one.Dropping, one.Dropped, one.Since = known.Dropping, known.Dropped, known.Since
		}
		for _, adapter := range held.Adapters {
			one.Adapters[adapter] = usedAt(known, adapter)
		}
		copies[held.Model] = one
		e.versions[held.Model] = held.Version
	}
	for _, pending := range report.Pending {
		if one := copies[pending.Model]; one != nil {
			one.Adapters[pending.Adapter] = now
		}
	}
	if e.loading != "" && copies[e.loading] == nil {
		copies[e.loading] = &allocator.Copy{Adapters: map[string]time.Time{}, Since: now}
	}
	e.copies = copies
	if copies[e.intended] != nil || now.After(e.intendedBy) {
		e.intended = ""
	}
}

// usedAt is when an adapter of a copy was last asked for.
func usedAt(held *allocator.Copy, adapter string) time.Time {
	if held == nil {
		return time.Time{}
	}
	return held.Adapters[adapter]
}

// free is true where an order about a model may be given.
func (e *engine) free(now time.Time) bool {
	return e.takesAdapters(now) && !now.Before(e.believeFrom)
}

// told is what entries hear of the engine: all that may get requests.
func (e *engine) told() surveyor.EngineHoldings {
	told := surveyor.EngineHoldings{Upstream: e.upstream.Name, Incarnation: e.upstream.Incarnation}
	if e.saidLeaving {
		return told
	}
	for _, name := range sortedNames(e.copies) {
		held := e.copies[name]
		if held.Dropping || e.loading == name {
			continue
		}
		told.Holds = append(told.Holds, surveyor.HeldModel{
			Model:    name,
			Version:  e.versions[name],
			Adapters: sortedNames(held.Adapters),
		})
	}
	return told
}

// view is the engine as plans see it. The capacity is zero where it does not limit
// its requests.
func (e *engine) view(service *matcher.Engine, now time.Time, inFlight int, capacity float64) *allocator.Engine {
	return &allocator.Engine{
		Name:         e.upstream.Name,
		MemoryBytes:  service.MemoryBytes,
		AdapterSlots: service.AdapterSlots,
		Copies:       e.copies,
		Loading:      e.loading,
		Intended:     e.intended,
		Free:         e.free(now),
		Leaving:      e.leaving() || !e.reported || e.silent(),
		Warm:         e.warm,
		OnDisk:       e.disk,
		InFlight:     inFlight,
		Capacity:     capacity,
	}
}
