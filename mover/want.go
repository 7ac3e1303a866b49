package mover

import (
	"time"

	"burdocklink/allocator"
	"burdocklink/matcher"
	"burdocklink/surveyor"
)

// waitTime is the longest that an entry's question waits for an adapter.
const waitTime = 800 * time.Millisecond

// takeWant answers an entry, or lets it wait for an adapter.
func (m *Mover) takeWant(call wantCalled, now time.Time) {
	m.tally.wants++
	if m.lead.term == 0 || m.lead.suspended || m.configuration == nil || m.engineOf(call.want.Service) == nil {
		call.answer <- Wanted{}
		return
	}
	if holders := m.holders(call.want); len(holders) > 0 {
		m.tally.held++
		call.answer <- Wanted{Holders: holders, Known: true}
		return
	}
	want := call.want
	if m.served(want.Service, want.Model) {
		m.waiters = append(m.waiters, waiter{want: want, answer: call.answer, until: now.Add(waitTime)})
		m.loadAdapter(want, now)
		return
	}
	m.noteWanted(surveyor.HeldName(want.Service, want.Model, ""), now)
	m.plan(now)
	readyIn, known := m.readyIn(want, now)
	call.answer <- Wanted{ReadyIn: readyIn, Known: known}
}

// noteWanted notes that a model was asked for in vain.
func (m *Mover) noteWanted(name string, now time.Time) { note(m.wanted, name, now) }

// note counts a want from its beginning, unless that was long before.
func note(wants map[string]wanted, name string, now time.Time) {
	one, known := wants[name]
	if !known || now.Sub(one.last) > wantGap {
		one.since = now
	}
	one.last = now
	wants[name] = one
}

// since is from when on something has been wanted; zero where it is not.
func since(wants map[string]wanted, name string, now time.Time) time.Time {
	one := wants[name]
	if now.Sub(one.last) >= wantTime {
		return time.Time{}
	}
	return one.since
}

// holders are the engines that hold what is wanted.
func (m *Mover) holders(want Want) []surveyor.EngineHoldings {
	var holders []surveyor.EngineHoldings
	for _, one := range m.engines {
		if one.upstream.Service == want.Service && one.holds(want) {
			holders = append(holders, one.told())
		}
	}
	return holders
}

// holds says whether requests for something may go to the engine.
func (e *engine) holds(want Want) bool {
	held := e.copies[want.Model]
	if held == nil || held.Dropping || e.loading == want.Model {
		return false
	}
	if !e.reported || e.silent() || e.leaving() {
		return false
	}
	if want.Adapter == "" {
		return true
	}
	_, there := held.Adapters[want.Adapter]
	return there
}

// served says whether some engine serves a model.
func (m *Mover) served(service, model string) bool {
	want := Want{Service: service, Model: model}
	for _, one := range m.engines {
		if one.upstream.Service == service && one.holds(want) {
			return true
		}
	}
	return false
}

// readyIn estimates when a model that nobody holds will be held.
func (m *Mover) readyIn(want Want, now time.Time) (time.Duration, bool) {
	about, known := m.engineOf(want.Service).Models[want.Model]
	if !known {
		return 0, false
	}
	ready := roomTime + about.LoadTime
	for _, one := range m.engines {
		switch {
		case one.upstream.Service != want.Service:
		case one.loading == want.Model || one.ordered == want.Model:
			ready = min(ready, max(tick, one.loadedAt.Sub(now))+reportSoon)
		case one.intended == want.Model:
			ready = min(ready, roomTime+one.loadTime(about))
		}
	}
	return ready, true
}

// loadTime is how long the engine takes to load a model.
func (e *engine) loadTime(model matcher.Model) time.Duration {
	keeps := allocator.Engine{Warm: e.warm, OnDisk: e.disk}
	return keeps.LoadTime(planned(model))
}

// roomTime is how long a copy takes to make way: its runs end first.
const roomTime = 2 * time.Second
