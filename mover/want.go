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
	if m.isServed(want) {
		m.waiters = append(m.waiters, waiter{want: want, answer: call.answer, deadline: now.Add(adapterWaitTimeout)})
		m.loadAdapter(want, now)
		return
	}
	m.recordWaiting(surveyor.HeldName(want.Service, want.Model, ""), want.Software, now)
	m.plan(now)
	estimate := m.readyIn
	if want.Software != "" {
		estimate = m.readyForStreams
	}
	readyIn, known := estimate(want, now)
	call.answer <- WantResult{ReadyIn: readyIn, Known: known}
}

// awaitedModel is a model by its held name, and the software version that its holder must
// run; empty for any.
type awaitedModel struct{ name, software string }

// recordWaiting records a request for a model that no engine of a software version holds.
func (m *Mover) recordWaiting(name, software string, now time.Time) {
	extendWait(m.waitingModels, awaitedModel{name, software}, now)
}

// extendWait extends the wait for a name, or begins a new one after a long gap.
func extendWait[K comparable](periods map[K]waitPeriod, name K, now time.Time) {
	period, known := periods[name]
	if !known || now.Sub(period.last) > maxWantGap {
		period.since = now
	}
	period.last = now
	periods[name] = period
}

// waitingSince returns when the current wait for a name began; zero if there is
// none.
func waitingSince[K comparable](periods map[K]waitPeriod, name K, now time.Time) time.Time {
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
		if e.mayServe(want) && e.holds(want) {
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

// mayServe reports whether an engine is of the service and software version of a want.
func (e *engine) mayServe(want Want) bool {
	return e.upstream.Service == want.Service && (want.Software == "" || e.upstream.Software == want.Software)
}

// isServed reports whether any engine serves the model of a want.
func (m *Mover) isServed(want Want) bool {
	want.Adapter = ""
	for _, e := range m.engines {
		if e.mayServe(want) && e.holds(want) {
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

// streamHolderTime is the time until an engine of a software version holds a model that
// none of them can restore: streams of that version are refused at once.
const streamHolderTime = time.Minute

// readyForStreams estimates when an engine of a software version will hold a model.
func (m *Mover) readyForStreams(want Want, now time.Time) (time.Duration, bool) {
	spec := m.engineSpec(want.Service)
	model, known := spec.Models[want.Model]
	if !known {
		return 0, false
	}
	view, ready := m.newAdapterView(now), streamHolderTime
	for _, e := range m.engines {
		if !e.mayServe(want) {
			continue
		}
		m.addEngine(view, e, now)
		described := view.Engines[e.upstream.Name]
		switch {
		case e.loading == want.Model || e.orderedModel == want.Model:
			ready = min(ready, max(roundInterval, e.loadedAt.Sub(now))+busyReportInterval)
		case !described.Leaving && (e.planned == want.Model || described.RestoresFor(newModel(model), want.Software, view.Models)):
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
