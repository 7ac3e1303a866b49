package mover

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"burdocklink/allocator"
	"burdocklink/surveyor"
)

// answerWaiters answers the waiting entries whose model or adapter the engine
// holds now.
func (m *Mover) answerWaiters(name string) {
	engine := m.engines[name]
	if engine == nil {
		return
	}
	m.waiters = slices.DeleteFunc(m.waiters, func(w waiter) bool {
		if !engine.mayServe(w.want) || !engine.holds(w.want) {
			return false
		}
		m.tally.served++
		w.answer <- WantResult{Holders: []surveyor.EngineHoldings{engine.announcement()}, Known: true}
		return true
	})
}

func (m *Mover) expireWaiters(now time.Time) {
	m.waiters = slices.DeleteFunc(m.waiters, func(w waiter) bool {
		if now.Before(w.deadline) {
			return false
		}
		m.tally.expired++
		extendWait(m.waitingAdapters, surveyor.HeldName(w.want.Service, w.want.Model, ""), now)
		w.answer <- WantResult{}
		return true
	})
}

// loadAdapters begins to load the adapters that entries wait for, one order
// at a time on each engine. It builds the view of each model's holders once.
func (m *Mover) loadAdapters(now time.Time) {
	if !m.canOrder(now) {
		return
	}
	views := map[Want]*allocator.View{}
	seen := map[Want]bool{}
	for _, w := range m.waiters {
		if seen[w.want] {
			continue
		}
		seen[w.want] = true
		model := Want{Service: w.want.Service, Model: w.want.Model, Software: w.want.Software}
		if views[model] == nil {
			views[model] = m.holdersView(model, now)
		}
		m.placeAdapter(w.want, views[model])
	}
}

// loadAdapter begins to load an adapter.
func (m *Mover) loadAdapter(want Want, now time.Time) {
	if m.canOrder(now) {
		m.placeAdapter(want, m.holdersView(want, now))
	}
}

// loadNextAdapter begins to load an adapter on an engine that may have become
// idle: the first that it has room for among those that entries wait for.
func (m *Mover) loadNextAdapter(name string, now time.Time) {
	engine := m.engines[name]
	if engine == nil || m.configuration == nil || !m.canOrder(now) || !engine.acceptsAdapterOrders(now) {
		return
	}
	var view *allocator.View
	seen := map[Want]bool{}
	for _, w := range m.waiters {
		if !engine.mayServe(w.want) || engine.copies[w.want.Model] == nil || seen[w.want] {
			continue
		}
		seen[w.want] = true
		if view == nil {
			view = m.newAdapterView(now)
			m.addEngine(view, engine, now)
		}
		if m.placeAdapter(w.want, view) {
			return
		}
	}
}

// holdersView returns a view of the engines that hold a model and accept an
// order about an adapter now.
func (m *Mover) holdersView(want Want, now time.Time) *allocator.View {
	view := m.newAdapterView(now)
	for _, e := range m.engines {
		if e.mayServe(want) && e.copies[want.Model] != nil && e.acceptsAdapterOrders(now) {
			m.addEngine(view, e, now)
		}
	}
	return view
}

func (m *Mover) newAdapterView(now time.Time) *allocator.View {
	return &allocator.View{Now: now, Models: map[string]*allocator.Model{}, Engines: map[string]*allocator.Engine{}}
}

// addEngine adds an engine and the models that it holds to a view.
func (m *Mover) addEngine(view *allocator.View, e *engine, now time.Time) {
	spec := m.engineSpec(e.upstream.Service)
	m.refreshAdapterUse(e, e.upstream.Service)
	view.Engines[e.upstream.Name] = e.view(spec, now, m.loads[e.upstream.Name].Requests, m.capacity(e))
	for name := range e.copies {
		if model, known := spec.Models[name]; known && view.Models[name] == nil {
			view.Models[name] = newModel(model)
		}
	}
}

// acceptsAdapterOrders reports whether an order about an adapter may be given.
func (e *engine) acceptsAdapterOrders(now time.Time) bool {
	return e.reported && !e.sending && !e.busy && !now.Before(e.backoffUntil) && !now.Before(e.orderFrom)
}

// orderInFlight reports whether an order for an adapter is being sent.
func (m *Mover) orderInFlight(want Want) bool {
	for _, e := range m.engines {
		if e.sending && e.adapter == want {
			return true
		}
	}
	return false
}

// placeAdapter sends the first order for an adapter: the eviction of another
// one or the load itself. It returns false if no engine of the view can take
// it.
func (m *Mover) placeAdapter(want Want, view *allocator.View) bool {
	for name := range view.Engines {
		if m.engines[name].sending {
			delete(view.Engines, name)
		}
	}
	if m.orderInFlight(want) {
		return false
	}
	placement, found := allocator.PlaceAdapter(view, want.Model)
	if !found {
		return false
	}
	e := m.engines[placement.Engine]
	e.adapter = want
	if placement.Evict != "" {
		m.sendOrder(e, Order{Action: ActionUnload, Model: placement.EvictModel, Adapter: placement.Evict}, view.Now, zap.String("reason", "adapter makes way"))
		return true
	}
	m.sendOrder(e, Order{Action: ActionLoad, Model: want.Model, Adapter: want.Adapter}, view.Now, zap.String("reason", "adapter wanted"))
	return true
}
