package mover

import (
	"slices"
	"time"

	"go.uber.org/zap"

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
		return
	}
	m.noteWanted(surveyor.HeldName(want.Service, want.Model, ""), now)
	m.plan(now)
	readyIn, known := m.readyIn(want, now)
	call.answer <- Wanted{ReadyIn: readyIn, Known: known}
}

// noteWanted notes that a model was asked for in vain.
func (m *Mover) noteWanted(name string, now time.Time) {
	one, known := m.wanted[name]
	if !known || now.Sub(one.last) > wantGap {
		one.since = now
	}
	one.last = now
	m.wanted[name] = one
}

// wantedSince is from when on a model has been wanted; zero where it is not.
func (m *Mover) wantedSince(name string, now time.Time) time.Time {
	one := m.wanted[name]
	if now.Sub(one.last) >= wantTime {
		return time.Time{}
	}
	return one.since
}

// holders are the engines that hold what is wanted.
func (m *Mover) holders(want Want) []surveyor.Told {
	var holders []surveyor.Told
	for _, name := range sortedNames(m.engines) {
		one := m.engines[name]
		if one.upstream.Service != want.Service || !one.holds(want) {
			continue
		}
		holders = append(holders, one.told())
	}
	return holders
}

// holds says whether requests for something may go to the engine.
func (e *engine) holds(want Want) bool {
	held := e.copies[want.Model]
	if held == nil || held.Dropping || e.loading == want.Model {
		return false
	}
	if !e.reported || e.silent() || e.upstream.State == surveyor.Leaving {
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
	return len(m.holders(Want{Service: service, Model: model})) > 0
}

// readyIn estimates when a model that nobody holds will be held.
func (m *Mover) readyIn(want Want, now time.Time) (time.Duration, bool) {
	about, known := m.engineOf(want.Service).Models[want.Model]
	if !known {
		return 0, false
	}
	for _, one := range m.engines {
		if one.loading == want.Model || (one.sending && one.loadedAt.After(now)) {
			return max(tick, one.loadedAt.Sub(now)) + reportSoon, true
		}
		if one.intended == want.Model {
			return roomTime + one.loadTime(about), true
		}
	}
	return roomTime + about.LoadTime, true
}

// loadTime is how long the engine takes to load a model.
func (e *engine) loadTime(model matcher.Model) time.Duration {
	keeps := allocator.Engine{Warm: e.warm, OnDisk: e.disk}
	return keeps.LoadTime(planned(model))
}

// roomTime is how long a copy takes to make way: its runs end first.
const roomTime = 2 * time.Second

// answerWaiters answers those whose adapter has come.
func (m *Mover) answerWaiters() {
	m.waiters = slices.DeleteFunc(m.waiters, func(one waiter) bool {
		holders := m.holders(one.want)
		if len(holders) == 0 {
			return false
		}
		m.tally.served++
		one.answer <- Wanted{Holders: holders, Known: true}
		return true
	})
}

func (m *Mover) expireWaiters(now time.Time) {
	m.waiters = slices.DeleteFunc(m.waiters, func(one waiter) bool {
		if now.Before(one.until) {
			return false
		}
		m.tally.expired++
		one.answer <- Wanted{}
		return true
	})
}

// loadAdapters begins to load the adapters that entries wait for, one order at
// a time on each engine.
func (m *Mover) loadAdapters(now time.Time) {
	if !m.mayOrder(now) {
		return
	}
	views := map[string]*allocator.View{}
	looked := map[Want]bool{}
	for _, one := range m.waiters {
		want := one.want
		if looked[want] || m.onItsWay(want) {
			continue
		}
		looked[want] = true
		view := views[want.Service]
		if view == nil {
			view = m.view(want.Service, m.engineOf(want.Service), now)
			views[want.Service] = view
		}
		if place, found := allocator.PlaceAdapter(m.ready(view, now), want.Model); found {
			m.loadAdapter(want, place)
			views[want.Service] = nil
		}
	}
}

// ready leaves out the engines that can't take an order about an adapter now.
func (m *Mover) ready(view *allocator.View, now time.Time) *allocator.View {
	ready := *view
	ready.Engines = map[string]*allocator.Engine{}
	for name, engine := range view.Engines {
		one := m.engines[name]
		if one.reported && !one.sending && !one.busy && !now.Before(one.restUntil) {
			ready.Engines[name] = engine
		}
	}
	return &ready
}

// onItsWay is true while an order towards an adapter is being given.
func (m *Mover) onItsWay(want Want) bool {
	for _, one := range m.engines {
		if one.sending && one.adapter == want {
			return true
		}
	}
	return false
}

// loadAdapter gives the first order towards an adapter: for what makes way, or
// for the adapter itself.
func (m *Mover) loadAdapter(want Want, place allocator.AdapterPlace) {
	one := m.engines[place.Engine]
	one.adapter = want
	if place.Evict != "" {
		m.send(one, Order{Action: ActionUnload, Model: place.EvictModel, Adapter: place.Evict}, zap.String("reason", "adapter makes way"))
		return
	}
	m.send(one, Order{Action: ActionLoad, Model: want.Model, Adapter: want.Adapter}, zap.String("reason", "adapter wanted"))
}
