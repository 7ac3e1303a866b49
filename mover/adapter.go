package mover

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"burdocklink/allocator"
	"burdocklink/surveyor"
)

// answerWaiters answers those who wait for what an engine holds now.
func (m *Mover) answerWaiters(name string) {
	engine := m.engines[name]
	if engine == nil {
		return
	}
	m.waiters = slices.DeleteFunc(m.waiters, func(one waiter) bool {
		if engine.upstream.Service != one.want.Service || !engine.holds(one.want) {
			return false
		}
		m.tally.served++
		one.answer <- Wanted{Holders: []surveyor.EngineHoldings{engine.told()}, Known: true}
		return true
	})
}

func (m *Mover) expireWaiters(now time.Time) {
	m.waiters = slices.DeleteFunc(m.waiters, func(one waiter) bool {
		if now.Before(one.until) {
			return false
		}
		m.tally.expired++
		note(m.crowded, surveyor.HeldName(one.want.Service, one.want.Model, ""), now)
		one.answer <- Wanted{}
		return true
	})
}

// loadAdapters begins to load the adapters that entries wait for, one order at
// a time on each engine. It looks at each model's holders once.
func (m *Mover) loadAdapters(now time.Time) {
	if !m.mayOrder(now) {
		return
	}
	views := map[Want]*allocator.View{}
	looked := map[Want]bool{}
	for _, one := range m.waiters {
		if looked[one.want] {
			continue
		}
		looked[one.want] = true
		model := Want{Service: one.want.Service, Model: one.want.Model}
		if views[model] == nil {
			views[model] = m.holdersView(model, now)
		}
		m.placeAdapter(one.want, views[model])
	}
}

// loadAdapter begins to load one adapter.
func (m *Mover) loadAdapter(want Want, now time.Time) {
	if m.mayOrder(now) {
		m.placeAdapter(want, m.holdersView(want, now))
	}
}

// loadNext begins to load an adapter on an engine that may be free now, for the
// first of those who wait for one that it can take.
func (m *Mover) loadNext(name string, now time.Time) {
	engine := m.engines[name]
	if engine == nil || m.configuration == nil || !m.mayOrder(now) || !engine.takesAdapters(now) {
		return
	}
	var view *allocator.View
	looked := map[Want]bool{}
	for _, one := range m.waiters {
		if engine.upstream.Service != one.want.Service || engine.copies[one.want.Model] == nil || looked[one.want] {
			continue
		}
		looked[one.want] = true
		if view == nil {
			view = m.newAdapterView(now)
			m.addToView(view, engine, now)
		}
		if m.placeAdapter(one.want, view) {
			return
		}
	}
}

// holdersView shows the engines that hold a model and can take an order about
// an adapter now.
func (m *Mover) holdersView(want Want, now time.Time) *allocator.View {
	view := m.newAdapterView(now)
	for _, one := range m.engines {
		if one.upstream.Service == want.Service && one.copies[want.Model] != nil && one.takesAdapters(now) {
			m.addToView(view, one, now)
		}
	}
	return view
}

func (m *Mover) newAdapterView(now time.Time) *allocator.View {
	return &allocator.View{Now: now, Models: map[string]*allocator.Model{}, Engines: map[string]*allocator.Engine{}}
}

// addToView shows an engine with the models that it holds.
func (m *Mover) addToView(view *allocator.View, one *engine, now time.Time) {
	can := m.engineOf(one.upstream.Service)
	m.markAdapters(one, one.upstream.Service)
	view.Engines[one.upstream.Name] = one.view(can, now, m.loads[one.upstream.Name].Requests, m.capacity(one))
	for name := range one.copies {
		if model, known := can.Models[name]; known && view.Models[name] == nil {
			view.Models[name] = planned(model)
		}
	}
}

// takesAdapters is true where an order about an adapter may be given.
func (e *engine) takesAdapters(now time.Time) bool {
	return e.reported && !e.sending && !e.busy && !now.Before(e.restUntil) && !now.Before(e.spacedUntil)
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

// placeAdapter gives the first order towards an adapter: for what makes way, or
// for the adapter itself. It returns false where no engine of the view can take
// it.
func (m *Mover) placeAdapter(want Want, view *allocator.View) bool {
	for name := range view.Engines {
		if m.engines[name].sending {
			delete(view.Engines, name)
		}
	}
	if m.onItsWay(want) {
		return false
	}
	place, found := allocator.PlaceAdapter(view, want.Model)
	if !found {
		return false
	}
	one := m.engines[place.Engine]
	one.adapter = want
	if place.Evict != "" {
		m.send(one, Order{Action: ActionUnload, Model: place.EvictModel, Adapter: place.Evict}, view.Now, zap.String("reason", "adapter makes way"))
		return true
	}
	m.send(one, Order{Action: ActionLoad, Model: want.Model, Adapter: want.Adapter}, view.Now, zap.String("reason", "adapter wanted"))
	return true
}
