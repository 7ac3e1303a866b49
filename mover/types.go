// Package mover carries out moves of models and adapters between engines. It
// runs on every control member and is idle while another one leads: only one
// leader gives orders, under a fencing token that rises with each leader, and
// each order names the engine state that it was decided on.
package mover

import (
	"context"
	"time"

	"burdocklink/router"
	"burdocklink/surveyor"
)

// Want requests an engine that holds a model, or an adapter of it.
type Want struct {
	Service string
	Model   string
	// Adapter is empty if the model itself is wanted.
	Adapter string
	// Software is the version that the holder must run; empty for any.
	Software string
}

// WantResult is the answer to a Want.
type WantResult struct {
	// Holders are the engines that hold the model or adapter; none if it must
	// be loaded first.
	Holders []surveyor.EngineHoldings
	// ReadyIn is the estimated time until an engine holds it, if Known is set.
	ReadyIn time.Duration
	Known   bool
}

// Report is the state of an engine as it reports it, with a lag.
type Report struct {
	// Incarnation is new for each start of the engine.
	Incarnation string
	// Sequence counts the orders that the engine has accepted.
	Sequence uint64
	// Busy is set while a model is being loaded or unloaded.
	Busy  bool
	Holds []surveyor.HeldModel
	// Pending are the adapters being loaded.
	Pending []PendingAdapter
	// InMemory and OnDisk are the models that the engine has cached.
	InMemory []string
	OnDisk   []string
	Running  int
	Queued   int
	// Notice is what the engine announces beside the report.
	Notice router.Notice
	// Limit is the rate limit that the engine names beside the report.
	// LimitKnown is false if there was no answer or the limit can't be read.
	Limit      router.RateLimit
	LimitKnown bool
}

// PendingAdapter is an adapter being loaded on an engine.
type PendingAdapter struct{ Model, Adapter string }

// Action is the kind of an order.
type Action int

const (
	// ActionLoad loads a model, or an adapter beside its model.
	ActionLoad Action = iota + 1
	// ActionUnload unloads a model with its adapters, or one adapter.
	ActionUnload
)

// Order is an order to an engine.
type Order struct {
	Action Action
	Model  string
	// Adapter is empty if the order is about the model itself.
	Adapter string
	// Expected is the number of orders that the engine must have accepted.
	Expected uint64
	// Holder and Fence identify the sender of the order.
	Holder string
	Fence  uint64
}

// Outcome is how an engine answered an order.
type Outcome int

const (
	// Accepted orders are being carried out.
	Accepted Outcome = iota + 1
	// Done orders were carried out already or at once.
	Done
	// Conflicting orders arrived while another one was under way, or expected
	// another state.
	Conflicting
	// Fenced orders arrived after those of a later leader.
	Fenced
	// Invalid orders can't be carried out.
	Invalid
	// Misdirected orders reached another engine.
	Misdirected
	// Unknown orders were not answered and may still be carried out.
	Unknown
)

// String returns the outcome as logged.
func (o Outcome) String() string {
	names := map[Outcome]string{
		Accepted: "accepted", Done: "done", Conflicting: "conflicting", Fenced: "fenced",
		Invalid: "invalid", Misdirected: "misdirected", Unknown: "unknown",
	}
	return names[o]
}

// Engines are the calls to engines.
type Engines interface {
	// Report requests an engine's state.
	Report(ctx context.Context, engine surveyor.Upstream) (Report, error)
	// Order sends an order. The error says why the outcome is Unknown.
	Order(ctx context.Context, engine surveyor.Upstream, order Order) (Outcome, error)
}
