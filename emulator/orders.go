package emulator

import (
	"time"

	"burdocklink/cataloger"
	"burdocklink/estimator"
	"burdocklink/orderer"
)

// execution is an order being executed.
type execution struct{ order orderer.Order }

// Overcommit returns the bytes used beyond the engine's memory, which must stay
// zero.
func (e *Engine) Overcommit() int64 { return max(0, e.UsedBytes()-e.settings.MemoryBytes) }

// UsedBytes returns the memory in use, including that of a load in progress.
func (e *Engine) UsedBytes() int64 {
	var used int64
	for _, bytes := range e.holds {
		used += bytes
	}
	if e.pending == nil {
		return used
	}
	switch work := e.pending.order.Work.(type) {
	case orderer.LoadModel:
		used += work.MemoryBytes
	case orderer.LoadAdapter:
		used += work.MemoryBytes
	}
	return used
}

// Holds reports whether a model or adapter is resident.
func (e *Engine) Holds(name string) bool {
	_, ok := e.holds[name]
	return ok
}

// Put makes a model or adapter resident without an order.
func (e *Engine) Put(name string, bytes int64) { e.holds[name] = bytes }

// Begin starts to execute an order. It returns false while another one is being
// executed.
func (e *Engine) Begin(order orderer.Order) bool {
	if e.pending != nil {
		return false
	}
	e.pending = &execution{order: order}
	return true
}

// Complete ends the order being executed. It returns false if there is none, or
// while jobs still use the model or adapter to be unloaded.
func (e *Engine) Complete() bool {
	if e.pending == nil {
		return false
	}
	switch work := e.pending.order.Work.(type) {
	case orderer.LoadModel:
		e.holds[work.Model] = work.MemoryBytes
	case orderer.LoadAdapter:
		e.holds[work.Adapter] = work.MemoryBytes
	case orderer.UnloadModel:
		if e.JobsUsing(work.Model) > 0 {
			return false
		}
		delete(e.holds, work.Model)
	case orderer.UnloadAdapter:
		if e.JobsUsing(work.Adapter) > 0 {
			return false
		}
		delete(e.holds, work.Adapter)
	}
	e.lastOrder = e.pending.order.ID
	e.pending = nil
	return true
}

// Placement returns the resident models and adapters, told apart by the catalog.
func (e *Engine) Placement(catalog *cataloger.Catalog) cataloger.Placement {
	placement := cataloger.Placement{Upstream: e.settings.Name, Incarnation: e.settings.Incarnation}
	placement.Models, placement.Adapters = e.resident(catalog)
	return placement
}

// Report returns a load report with the next sequence number.
func (e *Engine) Report(now time.Time, catalog *cataloger.Catalog) estimator.Report {
	e.sequence++
	report := estimator.Report{
		Upstream:               e.settings.Name,
		Incarnation:            e.settings.Incarnation,
		Sequence:               e.sequence,
		Taken:                  now,
		Running:                len(e.running),
		Waiting:                len(e.waiting),
		Slots:                  e.settings.Slots,
		PrefillTokensPerSecond: e.settings.PrefillTokensPerSecond,
		MemoryBytes:            e.settings.MemoryBytes,
		UsedBytes:              e.UsedBytes(),
		LastOrder:              e.lastOrder,
	}
	for _, job := range e.waiting {
		report.WaitingTokens += job.PromptTokens
	}
	step := e.settings.StepBase + time.Duration(len(e.running))*e.settings.StepPerRequest
	report.DecodeTokensPerSecond = 1 / step.Seconds()
	report.Models, report.Adapters = e.resident(catalog)
	return report
}
