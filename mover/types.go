// Package mover carries out the moves of models and adapters between engines.
// It runs on every control member and is idle while another one leads: one
// holder gives orders, under a fencing number that rises with each leader, and
// each order names the state of the engine that it was decided on.
package mover

import (
	"context"
	"time"

	"burdocklink/router"
	"burdocklink/surveyor"
)

// Want asks for an engine that holds a model, or an adapter of it.
type Want struct {
	Service string
	Model   string
	// Adapter is empty where the model itself is wanted.
	Adapter string
}

// Wanted answers a Want.
type Wanted struct {
	// Holders are the engines that hold what is wanted; none where it has to be
	// loaded first.
	Holders []surveyor.EngineHoldings
	// ReadyIn is how long it takes until one does, where Known is true.
	ReadyIn time.Duration
	Known   bool
}

// Report is what an engine says of itself. It lags.
type Report struct {
	// Incarnation is new for each start of the engine.
	Incarnation string
	// Sequence counts the orders that the engine has accepted.
	Sequence uint64
	// Busy is true while a load or unload of a model is under way.
	Busy  bool
	Holds []surveyor.HeldModel
	// Pending are the adapters on their way.
	Pending []PendingAdapter
	// InMemory and OnDisk are models that the engine keeps copies of.
	InMemory []string
	OnDisk   []string
	Running  int
	Queued   int
	// Notice is what the engine says of itself beside the report.
	Notice router.Notice
	// Limit is the limit of requests that it names beside the report. LimitTold is
	// false where there was no answer or it can't be read.
	Limit     router.RateLimit
	LimitTold bool
}

// PendingAdapter is an adapter on its way to an engine.
type PendingAdapter struct{ Model, Adapter string }

// Action is what an order does.
type Action int

const (
	// ActionLoad loads a model, or an adapter beside its model.
	ActionLoad Action = iota + 1
	// ActionUnload drops a model with its adapters, or one adapter.
	ActionUnload
)

// Order is one order to an engine.
type Order struct {
	Action Action
	Model  string
	// Adapter is empty where the order is about the model itself.
	Adapter string
	// Expected is the number of orders that the engine must have accepted.
	Expected uint64
	// Holder and Fence name who gives the order.
	Holder string
	Fence  uint64
}

// Outcome is how an engine took an order.
type Outcome int

const (
	// Accepted orders are being carried out.
	Accepted Outcome = iota + 1
	// Done orders hold already, or were carried out at once.
	Done
	// Conflicting orders came while another one was under way, or expected
	// another state.
	Conflicting
	// Fenced orders came after those of a later holder.
	Fenced
	// Invalid orders can't be carried out.
	Invalid
	// Misdirected orders reached another engine.
	Misdirected
	// Unknown is an order without an answer: it may be carried out later.
	Unknown
)

// String returns the outcome's word in logs.
func (o Outcome) String() string {
	words := map[Outcome]string{
		Accepted: "accepted", Done: "done", Conflicting: "conflicting", Fenced: "fenced",
		Invalid: "invalid", Misdirected: "misdirected", Unknown: "unknown",
	}
	return words[o]
}

// Engines are the calls to engines.
type Engines interface {
	// Report asks an engine for its state.
	Report(ctx context.Context, engine surveyor.Upstream) (Report, error)
	// Order gives an order. The error says why the outcome is Unknown.
	Order(ctx context.Context, engine surveyor.Upstream, order Order) (Outcome, error)
}
