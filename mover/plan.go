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
	if !m.canOrder(now) || now.Before(m.planAt) {
		return
	}
	defer m.deferPlan(now, time.Now())
	defer m.deferReview(now)
	for _, service := range sortedNames(m.configuration.Services) {
		if engine := m.engineSpec(service); engine != nil {
			view := m.view(service, engine, now)
			view.Review = !now.Before(m.reviewAt)
			moves, reviews := allocator.PlanWithReview(view)
			m.logReviews(service, reviews)
			for _, move := range moves {
				m.begin(move, now)
			}
		}
	}
}

// reviewInterval is the time between two plans that are logged.
const reviewInterval = time.Second

// deferReview sets when the next plan is logged.
func (m *Mover) deferReview(now time.Time) {
	if !now.Before(m.reviewAt) {
		m.reviewAt = now.Add(reviewInterval)
	}
}

// logReviews logs what a plan found for overloaded models.
func (m *Mover) logReviews(service string, reviews []allocator.Review) {
	for _, review := range reviews {
		fields := []zap.Field{
			zap.String("service", service), zap.String("model", review.Model), zap.Float64("work", review.Demand),
			zap.Int("held-by", review.Holders), zap.Float64("utilisation", review.Utilisation),
			zap.Int("options", review.Options), zap.Float64("gain", review.BestGain),
		}
		for _, obstacle := range []allocator.Obstacle{allocator.ObstacleBusy, allocator.ObstaclePlanned, allocator.ObstacleStore, allocator.ObstacleFull} {
			fields = append(fields, zap.Int(string(obstacle), review.Blocked[obstacle]))
		}
		m.settings.Log.Info("model overloaded", fields...)
	}
}

// maxPlanShare is the maximum share of time spent on plans.
const maxPlanShare = 0.1

// deferPlan delays the next plan in proportion to the duration of this one.
func (m *Mover) deferPlan(now, start time.Time) {
	elapsed := time.Since(start)
	m.tally.plans++
	m.tally.planTime += elapsed
	m.planAt = now.Add(time.Duration(float64(elapsed) / maxPlanShare))
}

// view returns the state of a service as input of a plan.
func (m *Mover) view(service string, spec *matcher.Engine, now time.Time) *allocator.View {
	view := &allocator.View{
		Now:        now,
		Models:     map[string]*allocator.Model{},
		Engines:    map[string]*allocator.Engine{},
		StoreLoads: m.storeLoadsLeft(spec, now),
	}
	for name, model := range spec.Models {
		view.Models[name] = newModel(model)
		held := surveyor.HeldName(service, name, "")
		view.Models[name].WaitingSince = waitingSince(m.waitingModels, awaitedModel{name: held}, now)
		view.Models[name].AdaptersWaitingSince = waitingSince(m.waitingAdapters, held, now)
	}
	m.addAwaitedSoftware(service, view)
	m.meter.addDemand(service, view.Models)
	for name, e := range m.engines {
		if e.upstream.Service != service {
			continue
		}
		m.refreshAdapterUse(e, service)
		for model, held := range e.copies {
			held.InFlight = m.loads[name].Models[surveyor.HeldName(service, model, "")]
		}
		view.Engines[name] = e.view(spec, now, m.loads[name].Requests, m.capacity(e))
	}
	assumeDemand(view)
	return view
}

// addAwaitedSoftware adds the models that streams of a software version wait for.
func (m *Mover) addAwaitedSoftware(service string, view *allocator.View) {
	for awaited := range m.waitingModels {
		of, model, _, ok := surveyor.ParseHeldName(awaited.name)
		since := waitingSince(m.waitingModels, awaited, view.Now)
		if !ok || of != service || awaited.software == "" || since.IsZero() || view.Models[model] == nil {
			continue
		}
		if view.Models[model].SoftwareWaitingSince == nil {
			view.Models[model].SoftwareWaitingSince = map[string]time.Time{}
		}
		view.Models[model].SoftwareWaitingSince[awaited.software] = since
	}
}

// newModel returns a model as input of a plan, without its demand.
func newModel(model matcher.Model) *allocator.Model {
	return &allocator.Model{
		Name:               model.Name,
		MemoryBytes:        model.MemoryBytes,
		AdapterMemoryBytes: model.AdapterMemoryBytes,
		LoadTime:           model.LoadTime,
		DiskTime:           model.DiskTime,
		WarmTime:           model.WarmTime,
	}
}

// refreshAdapterUse updates the times at which adapters were last requested.
func (m *Mover) refreshAdapterUse(e *engine, service string) {
	for model, held := range e.copies {
		for adapter, usedAt := range held.Adapters {
			if requestedAt := m.meter.adapterRequestedAt(service, model, adapter); requestedAt.After(usedAt) {
				held.Adapters[adapter] = requestedAt
			}
		}
	}
}

// storeReserve is how many loads of the window are never used: windows of
// different clocks may overlap.
const storeReserve = 1

// storeLoadsLeft returns how many loads from the weight store may begin now.
func (m *Mover) storeLoadsLeft(spec *matcher.Engine, now time.Time) int {
	m.storeLoads = slices.DeleteFunc(m.storeLoads, func(at time.Time) bool {
		return now.Sub(at) > m.settings.StoreWindow
	})
	if now.Before(m.storeFrom) {
		return 0
	}
	allowed := int(spec.LoadsPerSecond*m.settings.StoreWindow.Seconds()*m.settings.StoreOverage) - storeReserve
	return max(0, allowed-len(m.storeLoads))
}

// begin carries out the first step of a move.
func (m *Mover) begin(move allocator.Move, now time.Time) {
	switch move := move.(type) {
	case allocator.Load:
		e := m.engines[move.Engine]
		if move.FromStore {
			m.storeLoads = append(m.storeLoads, now)
		}
		e.orderedModel = move.Model
		e.loadedAt = now.Add(e.loadTime(m.engineSpec(e.upstream.Service).Models[move.Model]))
		m.sendOrder(e, Order{Action: ActionLoad, Model: move.Model}, now, m.rationaleFields(move.Rationale, now)...)
	case allocator.Drain:
		e := m.engines[move.Engine]
		held := e.copies[move.Model]
		held.Draining, held.DrainStart = true, now.Add(m.propagationTime())
		e.planned, e.plannedUntil = move.For, now.Add(plannedTimeout)
		m.publish(move.Engine)
		m.settings.Log.Info("copy is drained", append(m.rationaleFields(move.Rationale, now), zap.String("upstream", move.Engine),
			zap.String("model", move.Model), zap.String("for", move.For))...)
	case allocator.Unload:
		m.sendOrder(m.engines[move.Engine], Order{Action: ActionUnload, Model: move.Model}, now, zap.String("reason", "makes way"))
	}
}

// propagationTime returns how long a change may take to reach the entries.
func (m *Mover) propagationTime() time.Duration {
	if m.settings.PropagationTime == nil {
		return basePropagationTime
	}
	return basePropagationTime + m.settings.PropagationTime()
}

// rationaleFields returns the log fields of a move's rationale.
func (m *Mover) rationaleFields(rationale allocator.Rationale, now time.Time) []zap.Field {
	return []zap.Field{
		zap.String("reason", rationale.Reason), zap.Float64("work", rationale.Demand), zap.Int("held-by", rationale.Holders),
		zap.Float64("gain", rationale.Gain), zap.Duration("demand-age", now.Sub(m.meter.observedAt)),
	}
}
