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

// event is something that the loop takes in. It is one of the types below.
type event interface{ event() }

// listRead is the platform's list, or why it could not be read.
type listRead struct {
	term    uint64
	askedAt time.Time
	listed  map[string]surveyor.Upstream
	err     error
}

// reportRead is an engine's report.
type reportRead struct {
	term    uint64
	engine  surveyor.Upstream
	askedAt time.Time
	report  Report
	err     error
}

// orderAnswered is what became of an order.
type orderAnswered struct {
	term    uint64
	engine  surveyor.Upstream
	order   Order
	outcome Outcome
	err     error
}

// wantCalled is an entry's question.
type wantCalled struct {
	want   Want
	answer chan Wanted
}

func (listRead) event()      {}
func (reportRead) event()    {}
func (orderAnswered) event() {}
func (wantCalled) event()    {}

func (m *Mover) handle(happened event, now time.Time) {
	m.tally.events++
	m.tally.mostQueued = max(m.tally.mostQueued, len(m.events))
	switch happened := happened.(type) {
	case listRead:
		m.takeList(happened, now)
	case reportRead:
		m.takeReport(happened, now)
		m.engineChanged(happened.engine.Name)
	case orderAnswered:
		m.takeAnswer(happened, now)
		m.engineChanged(happened.engine.Name)
		m.loadNext(happened.engine.Name, now)
	case wantCalled:
		m.takeWant(happened, now)
	}
}

// engineChanged tells those whom the change of an engine concerns.
func (m *Mover) engineChanged(name string) {
	m.publish(name)
	if m.lead.term != 0 && m.configuration != nil {
		m.answerWaiters(name)
	}
}

// tell hands an event to the loop.
func (m *Mover) tell(happened event) {
	select {
	case m.events <- happened:
	case <-m.ctx.Done():
	}
}

func (m *Mover) askList(now time.Time) {
	if m.listing || now.Before(m.listAt) {
		return
	}
	m.listing = true
	m.listAt = now.Add(listEvery)
	m.calls.Add(1)
	go m.runList(m.lead.term, now)
}

func (m *Mover) runList(term uint64, now time.Time) {
	defer m.calls.Done()
	ctx, cancel := context.WithTimeout(m.ctx, callTime)
	defer cancel()
	listed, err := surveyor.ReadList(ctx, m.settings.Fetch)
	m.tell(listRead{term: term, askedAt: now, listed: listed, err: err})
}

// takeList keeps the engines of the list. One that has started anew is a new
// engine.
func (m *Mover) takeList(read listRead, now time.Time) {
	m.listing = false
	if read.term != m.lead.term || m.configuration == nil {
		return
	}
	if read.err != nil {
		m.settings.Log.Info("platform's list not read", zap.Error(read.err))
		return
	}
	m.settings.Listed.Replace(read.listed, read.askedAt)
	for name, upstream := range read.listed {
		if m.engineOf(upstream.Service) == nil {
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
	m.told.Retain(func(name string) bool { return m.engines[name] != nil })
}

// askReports asks the engines whose report is due.
func (m *Mover) askReports(now time.Time) {
	for _, one := range m.engines {
		if one.asking || one.sending || now.Before(one.askAt) || now.Before(one.reportFrom) {
			continue
		}
		one.asking = true
		m.charge(one, now)
		one.askAt = now.Add(m.reportPause(one))
		m.calls.Add(1)
		go m.runReport(m.lead.term, one.upstream, now)
	}
}

// reportPause is the time until an engine's next report.
func (m *Mover) reportPause(one *engine) time.Duration {
	if one.busy || !one.reported {
		return reportSoon
	}
	return max(reportEvery, time.Duration(len(m.engines))*time.Second/reportRate)
}

func (m *Mover) runReport(term uint64, engine surveyor.Upstream, now time.Time) {
	defer m.calls.Done()
	ctx, cancel := context.WithTimeout(m.ctx, callTime)
	defer cancel()
	report, err := m.settings.Engines.Report(ctx, engine)
	m.tell(reportRead{term: term, engine: engine, askedAt: now, report: report, err: err})
}

func (m *Mover) takeReport(read reportRead, now time.Time) {
	one := m.engines[read.engine.Name]
	if read.term != m.lead.term || one == nil || one.upstream.Incarnation != read.engine.Incarnation {
		return
	}
	one.asking = false
	if read.report.LimitTold {
		m.settings.Limits.ObserveAnswer(now, read.askedAt, read.engine.Name, read.engine.Incarnation, read.report.Limit)
	}
	if read.report.Notice.Leaving && !one.saidLeaving {
		m.settings.Log.Info("engine says that it leaves", zap.String("upstream", read.engine.Name),
			zap.String("incarnation", read.engine.Incarnation))
	}
	if read.err != nil {
		one.unanswered++
		one.askAt = now.Add(reportSoon)
		one.restUntil = now.Add(retryAfter)
		one.heed(read.report.Notice)
		if one.unanswered <= silentReports {
			m.settings.Log.Info("no report", zap.String("upstream", read.engine.Name),
				zap.Bool("silent", one.silent()), zap.Error(read.err))
		}
		return
	}
	if one.silent() {
		m.settings.Log.Info("reports again", zap.String("upstream", read.engine.Name))
	}
	one.unanswered = 0
	one.heed(read.report.Notice)
	first := !one.reported
	if one.take(read.report, read.askedAt, now) && first {
		m.settings.Log.Info("engine known", zap.String("upstream", read.engine.Name),
			zap.Uint64("sequence", read.report.Sequence), zap.Strings("holds", sortedNames(one.copies)),
			zap.Strings("in-memory", read.report.InMemory), zap.Strings("on-disk", read.report.OnDisk))
	}
}

// send gives an order to an engine. The fields say what decided it.
func (m *Mover) send(one *engine, order Order, now time.Time, why ...zap.Field) {
	order.Holder, order.Fence, order.Expected = m.settings.Holder, m.lead.term, one.sequence
	one.sending = true
	m.charge(one, now)
	m.tally.orders++
	m.settings.Log.Info("order", append(why, zap.String("upstream", one.upstream.Name),
		zap.Int("action", int(order.Action)), zap.String("model", order.Model), zap.String("adapter", order.Adapter),
		zap.Uint64("expected", order.Expected), zap.Uint64("fence", order.Fence))...)
	m.calls.Add(1)
	go m.runOrder(m.lead.term, one.upstream, order)
}

// adapterTime is how long an engine takes to load an adapter: a little more
// than the slowest on the services' sheets.
const adapterTime = 20 * time.Millisecond

func (m *Mover) runOrder(term uint64, engine surveyor.Upstream, order Order) {
	defer m.calls.Done()
	ctx, cancel := context.WithTimeout(m.ctx, callTime)
	defer cancel()
	status := m.settings.Group.Status()
	if !status.Leading || status.Term != term {
		m.tell(orderAnswered{term: term, engine: engine, order: order, outcome: Conflicting})
		return
	}
	outcome, err := m.settings.Engines.Order(ctx, engine, order)
	var unsent *dispatcher.NotSentError
	if errors.As(err, &unsent) {
		outcome = Conflicting
	}
	if outcome == Accepted && order.Adapter != "" {
		time.Sleep(adapterTime)
	}
	m.tell(orderAnswered{term: term, engine: engine, order: order, outcome: outcome, err: err})
}

// takeAnswer takes in what became of an order.
func (m *Mover) takeAnswer(answered orderAnswered, now time.Time) {
	one := m.engines[answered.engine.Name]
	if answered.term != m.lead.term || one == nil || one.upstream.Incarnation != answered.engine.Incarnation {
		return
	}
	one.sending, one.ordered = false, ""
	order := answered.order
	if answered.outcome != Accepted && answered.outcome != Done {
		m.tally.refused++
		m.settings.Log.Info("order not taken", zap.String("upstream", answered.engine.Name),
			zap.String("model", order.Model), zap.String("adapter", order.Adapter),
			zap.Stringer("outcome", answered.outcome), zap.Error(answered.err))
	}
	switch answered.outcome {
	case Accepted, Done:
		one.believeFrom = now.Add(reportLag)
		one.carriedOut(order, answered.outcome, now)
	case Fenced:
		m.lead.fenced = true
	default:
		// the engine's state is not known until a report that was made later
		one.believeFrom = now.Add(reportLag)
		one.restUntil = now.Add(retryAfter)
		one.askAt = one.believeFrom
	}
}

// carriedOut notes the state after an order that an engine has accepted.
func (e *engine) carriedOut(order Order, outcome Outcome, now time.Time) {
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
		e.intended = ""
	default:
		e.busy = true
	}
	if outcome == Done && order.Action == ActionLoad {
		// it held already, which may not have counted as an order
		e.sequence--
		e.busy, e.loading = false, ""
	}
	e.askAt = now.Add(reportLag)
	if e.loading != "" && e.loadedAt.After(e.askAt) {
		e.askAt = e.loadedAt.Add(reportSoon)
	}
}
