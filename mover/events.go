package mover

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"burdocklink/allocator"
	"burdocklink/dispatcher"
	"burdocklink/surveyor"
)

// event is an input of the loop, one of the types below.
type event interface{ event() }

// listRead is the platform's list, or the failure to read it.
type listRead struct {
	term        uint64
	requestedAt time.Time
	listed      map[string]surveyor.Upstream
	err         error
}

// reportRead is an engine's report, or the failure to get it.
type reportRead struct {
	term        uint64
	engine      surveyor.Upstream
	requestedAt time.Time
	report      Report
	err         error
}

// releasesProposed is the outcome of a change of the releases.
type releasesProposed struct{ err error }

// orderAnswered is the outcome of an order.
type orderAnswered struct {
	term    uint64
	engine  surveyor.Upstream
	order   Order
	outcome Outcome
	err     error
}

// wantReceived is a Want of an entry.
type wantReceived struct {
	want   Want
	answer chan WantResult
}

func (listRead) event()         {}
func (releasesProposed) event() {}
func (reportRead) event()       {}
func (orderAnswered) event()    {}
func (wantReceived) event()     {}

func (m *Mover) handle(ev event, now time.Time) {
	m.tally.events++
	m.tally.maxQueued = max(m.tally.maxQueued, len(m.events))
	switch ev := ev.(type) {
	case listRead:
		m.handleList(ev, now)
	case releasesProposed:
		m.releasesInFlight = false
		if ev.err != nil {
			m.settings.Log.Info("software versions could not be recorded", zap.Error(ev.err))
		}
	case reportRead:
		m.handleReport(ev, now)
		m.engineChanged(ev.engine.Name)
	case orderAnswered:
		m.handleAnswer(ev, now)
		m.engineChanged(ev.engine.Name)
		m.loadNextAdapter(ev.engine.Name, now)
	case wantReceived:
		m.handleWant(ev, now)
	}
}

// engineChanged publishes an engine's state and answers the entries that waited
// for it.
func (m *Mover) engineChanged(name string) {
	m.publish(name)
	if m.leadership.term != 0 && m.configuration != nil {
		m.answerWaiters(name)
	}
}

// post passes an event to the loop.
func (m *Mover) post(ev event) {
	select {
	case m.events <- ev:
	case <-m.ctx.Done():
	}
}

func (m *Mover) requestList(now time.Time) {
	if m.listInFlight || now.Before(m.listAt) {
		return
	}
	m.listInFlight = true
	m.listAt = now.Add(listInterval)
	m.calls.Add(1)
	go m.runList(m.leadership.term, now)
}

func (m *Mover) runList(term uint64, now time.Time) {
	defer m.calls.Done()
	ctx, cancel := context.WithTimeout(m.ctx, callTimeout)
	defer cancel()
	listed, err := surveyor.ReadList(ctx, m.settings.Fetch)
	m.post(listRead{term: term, requestedAt: now, listed: listed, err: err})
}

// handleList updates the engines from the list. An engine with a new
// incarnation replaces the old one.
func (m *Mover) handleList(read listRead, now time.Time) {
	m.listInFlight = false
	if read.term != m.leadership.term || m.configuration == nil {
		return
	}
	if read.err != nil {
		m.settings.Log.Info("platform list could not be read", zap.Error(read.err))
		return
	}
	m.updateReleases(read.listed, now)
	m.settings.Listed.Replace(read.listed, read.requestedAt)
	for name, upstream := range read.listed {
		if m.engineSpec(upstream.Service) == nil {
			continue
		}
		known := m.engines[name]
		if known == nil || known.upstream.Incarnation != upstream.Incarnation {
			m.engines[name] = newEngine(upstream, now)
			continue
		}
		known.upstream = upstream
	}
	for name := range m.engines {
		if _, listed := read.listed[name]; !listed {
			delete(m.engines, name)
		}
	}
	m.announced.Retain(func(name string) bool { return m.engines[name] != nil })
}

// requestReports requests the reports that are due.
func (m *Mover) requestReports(now time.Time) {
	for _, e := range m.engines {
		if e.reportInFlight || e.sending || now.Before(e.reportAt) || now.Before(e.reportFrom) {
			continue
		}
		e.reportInFlight = true
		m.charge(e, now)
		e.reportAt = now.Add(m.reportInterval(e))
		m.calls.Add(1)
		go m.runReport(m.leadership.term, e.upstream, now)
	}
}

// reportInterval returns the time until an engine's next report.
func (m *Mover) reportInterval(e *engine) time.Duration {
	if e.busy || !e.reported {
		return busyReportInterval
	}
	return max(idleReportInterval, time.Duration(len(m.engines))*time.Second/maxReportsPerSecond)
}

func (m *Mover) runReport(term uint64, engine surveyor.Upstream, now time.Time) {
	defer m.calls.Done()
	ctx, cancel := context.WithTimeout(m.ctx, callTimeout)
	defer cancel()
	report, err := m.settings.Engines.Report(ctx, engine)
	m.post(reportRead{term: term, engine: engine, requestedAt: now, report: report, err: err})
}

func (m *Mover) handleReport(read reportRead, now time.Time) {
	e := m.engines[read.engine.Name]
	if read.term != m.leadership.term || e == nil || e.upstream.Incarnation != read.engine.Incarnation {
		return
	}
	e.reportInFlight = false
	if read.report.LimitKnown {
		m.settings.Limits.ObserveAnswer(now, read.requestedAt, read.engine.Name, read.engine.Incarnation, read.report.Limit)
	}
	if read.report.Notice.Leaving && !e.reportedLeaving {
		m.settings.Log.Info("engine reports that it is leaving", zap.String("upstream", read.engine.Name),
			zap.String("incarnation", read.engine.Incarnation))
	}
	if read.err != nil {
		e.missedReports++
		e.reportAt = now.Add(busyReportInterval)
		e.backoffUntil = now.Add(retryAfter)
		e.applyNotice(read.report.Notice)
		if e.missedReports <= maxMissedReports {
			m.settings.Log.Info("engine did not report", zap.String("upstream", read.engine.Name),
				zap.Bool("silent", e.silent()), zap.Error(read.err))
		}
		return
	}
	if e.silent() {
		m.settings.Log.Info("engine reports again", zap.String("upstream", read.engine.Name))
	}
	e.missedReports = 0
	e.applyNotice(read.report.Notice)
	first := !e.reported
	if e.applyReport(read.report, read.requestedAt, now) && first {
		m.settings.Log.Info("engine discovered", zap.String("upstream", read.engine.Name),
			zap.Uint64("sequence", read.report.Sequence), zap.Strings("holds", sortedNames(e.copies)),
			zap.Strings("in-memory", read.report.InMemory), zap.Strings("on-disk", read.report.OnDisk))
	}
}

// sendOrder sends an order to an engine and logs it with the rationale.
func (m *Mover) sendOrder(e *engine, order Order, now time.Time, rationale ...zap.Field) {
	order.Holder, order.Fence, order.Expected = m.settings.Holder, m.leadership.term, e.sequence
	e.sending = true
	m.charge(e, now)
	m.tally.orders++
	m.settings.Log.Info("order", append(rationale, zap.String("upstream", e.upstream.Name),
		zap.Int("action", int(order.Action)), zap.String("model", order.Model), zap.String("adapter", order.Adapter),
		zap.Uint64("expected", order.Expected), zap.Uint64("fence", order.Fence))...)
	m.calls.Add(1)
	go m.runOrder(m.leadership.term, e.upstream, order)
}

// adapterLoadTime is how long an engine takes to load an adapter, slightly more
// than the longest time specified for a service.
const adapterLoadTime = 20 * time.Millisecond

func (m *Mover) runOrder(term uint64, engine surveyor.Upstream, order Order) {
	defer m.calls.Done()
	ctx, cancel := context.WithTimeout(m.ctx, callTimeout)
	defer cancel()
	status := m.settings.Group.Status()
	if !status.Leading || status.Term != term {
		m.post(orderAnswered{term: term, engine: engine, order: order, outcome: Conflicting})
		return
	}
	outcome, err := m.settings.Engines.Order(ctx, engine, order)
	var unsent *dispatcher.NotSentError
	if errors.As(err, &unsent) {
		outcome = Conflicting
	}
	if outcome == Accepted && order.Adapter != "" {
		time.Sleep(adapterLoadTime)
	}
	m.post(orderAnswered{term: term, engine: engine, order: order, outcome: outcome, err: err})
}

// handleAnswer applies the outcome of an order.
func (m *Mover) handleAnswer(answered orderAnswered, now time.Time) {
	e := m.engines[answered.engine.Name]
	if answered.term != m.leadership.term || e == nil || e.upstream.Incarnation != answered.engine.Incarnation {
		return
	}
	e.sending, e.orderedModel = false, ""
	order := answered.order
	if answered.outcome != Accepted && answered.outcome != Done {
		m.tally.refused++
		m.settings.Log.Info("order not accepted", zap.String("upstream", answered.engine.Name),
			zap.String("model", order.Model), zap.String("adapter", order.Adapter),
			zap.Stringer("outcome", answered.outcome), zap.Error(answered.err))
	}
	switch answered.outcome {
	case Accepted, Done:
		e.trustReportsFrom = now.Add(reportLag)
		if order.Adapter == "" {
			e.modelOrdersFrom = e.trustReportsFrom
		}
		e.applyOrder(order, answered.outcome, now)
	case Fenced:
		m.leadership.fenced = true
	default:
		// the state is unknown until a later report
		e.trustReportsFrom = now.Add(reportLag)
		e.modelOrdersFrom = e.trustReportsFrom
		e.backoffUntil = now.Add(retryAfter)
		e.reportAt = e.trustReportsFrom
	}
}

// applyOrder updates the state after an accepted order.
func (e *engine) applyOrder(order Order, outcome Outcome, now time.Time) {
	e.sequence++
	switch {
	case order.Adapter != "" && order.Action == ActionLoad:
		if held := e.copies[order.Model]; held != nil {
			held.Adapters[order.Adapter] = now
		}
	case order.Adapter != "":
		if held := e.copies[order.Model]; held != nil {
			delete(held.Adapters, order.Adapter)
		}
	case order.Action == ActionLoad:
		e.copies[order.Model] = &allocator.Copy{Adapters: map[string]time.Time{}, Since: now}
		e.loading, e.busy = order.Model, true
		e.planned = ""
	default:
		e.busy = true
	}
	if outcome == Done && order.Action == ActionLoad {
		// it was loaded already, which the engine may not have counted as an
		// order
		e.sequence--
		e.busy, e.loading = false, ""
	}
	e.reportAt = now.Add(reportLag)
	if e.loading != "" && e.loadedAt.After(e.reportAt) {
		e.reportAt = e.loadedAt.Add(busyReportInterval)
	}
}
