package mover

import (
	"time"

	"burdocklink/allocator"
	"burdocklink/matcher"
	"burdocklink/surveyor"
)

// adapterWaitTimeout is how long a Want may wait for an adapter.
const adapterWaitTimeout = 800 * time.Millisecond

// handleWant answers an entry, or lets it wait for an adapter.
func (m *Mover) handleWant(call wantReceived, now time.Time) {
	m.tally.wants++
	if m.leadership.term == 0 || m.leadership.suspended || m.configuration == nil || m.engineSpec(call.want.Service) == nil {
		call.answer <- WantResult{}
		return
	}
	if holders := m.holders(call.want); len(holders) > 0 {
		m.tally.held++
		call.answer <- WantResult{Holders: holders, Known: true}
		return
	}
	want := call.want
	if m.isServed(want.Service, want.Model) {
		m.waiters = append(m.waiters, waiter{want: want, answer: call.answer, deadline: now.Add(adapterWaitTimeout)})
		m.loadAdapter(want, now)
		return
	}
	m.recordWaiting(surveyor.HeldName(want.Service, want.Model, ""), now)
	m.plan(now)
	readyIn, known := m.readyIn(want, now)
	call.answer <- WantResult{ReadyIn: readyIn, Known: known}
}

// recordWaiting records a request for a model that no engine holds.
func (m *Mover) recordWaiting(name string, now time.Time) { extendWait(m.waitingModels, name, now) }

// extendWait extends the wait for a name, or begins a new one after a long gap.
func extendWait(periods map[string]waitPeriod, name string, now time.Time) {
	period, known := periods[name]
	if !known || now.Sub(period.last) > maxWantGap {
		period.since = now
	}
	period.last = now
	periods[name] = period
}

// waitingSince returns when the current wait for a name began; zero if there is
// none.
func waitingSince(periods map[string]waitPeriod, name string, now time.Time) time.Time {
	period := periods[name]
	if now.Sub(period.last) >= wantLifetime {
		return time.Time{}
	}
	return period.since
}

// holders returns the engines that hold a model or adapter.
func (m *Mover) holders(want Want) []surveyor.EngineHoldings {
	var holders []surveyor.EngineHoldings
	for _, e := range m.engines {
		if e.upstream.Service == want.Service && e.holds(want) {
			holders = append(holders, e.announcement())
		}
	}
	return holders
}

// holds reports whether requests for a model or adapter may go to the engine.
func (e *engine) holds(want Want) bool {
	held := e.copies[want.Model]
	if held == nil || held.Draining || e.loading == want.Model {
		return false
	}
	if !e.reported || e.silent() || e.leaving() {
		return false
	}
	if want.Adapter == "" {
		return true
	}
	_, loaded := held.Adapters[want.Adapter]
	return loaded
}

// isServed reports whether any engine serves a model.
func (m *Mover) isServed(service, model string) bool {
	want := Want{Service: service, Model: model}
	for _, e := range m.engines {
		if e.upstream.Service == service && e.holds(want) {
			return true
		}
	}
	return false
}

// readyIn estimates when a model without a holder will be held.
func (m *Mover) readyIn(want Want, now time.Time) (time.Duration, bool) {
	model, known := m.engineSpec(want.Service).Models[want.Model]
	if !known {
		return 0, false
	}
	ready := evictionEstimate + model.LoadTime
	for _, e := range m.engines {
		switch {
		case e.upstream.Service != want.Service:
		case e.loading == want.Model || e.orderedModel == want.Model:
			ready = min(ready, max(roundInterval, e.loadedAt.Sub(now))+busyReportInterval)
		case e.planned == want.Model:
			ready = min(ready, evictionEstimate+e.loadTime(model))
		}
	}
	return ready, true
}

// loadTime returns how long the engine takes to load a model.
func (e *engine) loadTime(model matcher.Model) time.Duration {
	cached := allocator.Engine{Warm: e.warm, OnDisk: e.disk}
	return cached.LoadTime(newModel(model))
}

// evictionEstimate is how long evicting a copy takes: its in-flight requests
// finish first.
const evictionEstimate = 2 * time.Second
