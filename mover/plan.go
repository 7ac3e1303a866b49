package mover

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"burdocklink/allocator"
	"burdocklink/matcher"
	"burdocklink/surveyor"
)

// plan begins the moves of each service.
func (m *Mover) plan(now time.Time) {
	if !m.mayOrder(now) || now.Before(m.planAt) {
		return
	}
	defer m.rest(now, time.Now())
	for _, service := range sortedNames(m.configuration.Services) {
		if engine := m.engineOf(service); engine != nil {
			view := m.view(service, engine, now)
			for _, move := range allocator.Plan(view) {
				m.begin(move, now)
			}
		}
	}
}

// planShare is the part of the time that may be spent on plans.
const planShare = 0.1

// rest puts the next plan off after one that took long.
func (m *Mover) rest(now, began time.Time) {
	took := time.Since(began)
	m.tally.plans++
	m.tally.planTime += took
	m.planAt = now.Add(time.Duration(float64(took) / planShare))
}

// view is the service as plans see it.
func (m *Mover) view(service string, can *matcher.Engine, now time.Time) *allocator.View {
	view := &allocator.View{
		Now:        now,
		Models:     map[string]*allocator.Model{},
		Engines:    map[string]*allocator.Engine{},
		StoreLoads: m.storeRoom(can, now),
	}
	for name, model := range can.Models {
		view.Models[name] = planned(model)
		held := surveyor.HeldName(service, name, "")
		view.Models[name].WaitingSince = since(m.wanted, held, now)
		view.Models[name].AdaptersWaitingSince = since(m.crowded, held, now)
	}
	m.meter.apply(service, view.Models)
	for name, one := range m.engines {
		if one.upstream.Service != service {
			continue
		}
		m.markAdapters(one, service)
		for model, held := range one.copies {
			held.InFlight = m.loads[name].Models[surveyor.HeldName(service, model, "")]
		}
		view.Engines[name] = one.view(can, now, m.loads[name].Requests, m.capacity(one))
	}
	assume(view)
	return view
}

// planned is a model as plans see it, without its demand.
func planned(model matcher.Model) *allocator.Model {
	return &allocator.Model{
		Name:               model.Name,
		MemoryBytes:        model.MemoryBytes,
		AdapterMemoryBytes: model.AdapterMemoryBytes,
		LoadTime:           model.LoadTime,
		DiskTime:           model.DiskTime,
		WarmTime:           model.WarmTime,
	}
}

// markAdapters notes when adapters were last asked for.
func (m *Mover) markAdapters(one *engine, service string) {
	for model, held := range one.copies {
		for adapter, at := range held.Adapters {
			if asked := m.meter.adapterAsked(service, model, adapter); asked.After(at) {
				held.Adapters[adapter] = asked
			}
		}
	}
}

// storeSpare is how many loads of the window are never used: two windows of
// different clocks may overlap.
const storeSpare = 1

// storeRoom is how many loads from the weight store may begin now.
func (m *Mover) storeRoom(can *matcher.Engine, now time.Time) int {
	m.storeLoads = slices.DeleteFunc(m.storeLoads, func(at time.Time) bool {
		return now.Sub(at) > m.settings.StoreWindow
	})
	if now.Before(m.storeFrom) {
		return 0
	}
	allowed := int(can.LoadsPerSecond*m.settings.StoreWindow.Seconds()*m.settings.StoreOverage) - storeSpare
	return max(0, allowed-len(m.storeLoads))
}

// begin carries out the first step of a move.
func (m *Mover) begin(move allocator.Move, now time.Time) {
	switch move := move.(type) {
	case allocator.Load:
		one := m.engines[move.Engine]
		if move.FromStore {
			m.storeLoads = append(m.storeLoads, now)
		}
		one.ordered = move.Model
		one.loadedAt = now.Add(one.loadTime(m.engineOf(one.upstream.Service).Models[move.Model]))
		m.send(one, Order{Action: ActionLoad, Model: move.Model}, now, m.inputs(move.Rationale, now)...)
	case allocator.Drain:
		one := m.engines[move.Engine]
		held := one.copies[move.Model]
		held.Draining, held.DrainedFrom = true, now.Add(m.tellTime())
		one.intended, one.intendedBy = move.For, now.Add(intendedTime)
		m.publish(move.Engine)
		m.settings.Log.Info("copy makes way", append(m.inputs(move.Rationale, now), zap.String("upstream", move.Engine),
			zap.String("model", move.Model), zap.String("for", move.For))...)
	case allocator.Unload:
		m.send(m.engines[move.Engine], Order{Action: ActionUnload, Model: move.Model}, now, zap.String("reason", "makes way"))
	}
}

// tellTime is how long entries may take to hear of a change.
func (m *Mover) tellTime() time.Duration {
	if m.settings.TellTime == nil {
		return dropTime
	}
	return dropTime + m.settings.TellTime()
}

// inputs are what decided a move, for the log.
func (m *Mover) inputs(why allocator.Rationale, now time.Time) []zap.Field {
	return []zap.Field{
		zap.String("reason", why.Reason), zap.Float64("work", why.Demand), zap.Int("held-by", why.Holders),
		zap.Float64("gain", why.Gain), zap.Duration("demand-age", now.Sub(m.meter.at)),
	}
}
