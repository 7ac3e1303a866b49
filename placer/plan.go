// Package placer turns demand into moves: which engine loads or unloads which
// model or adapter. Models and adapters share one namespace; a name is that of
// either. Plan is pure and returns the State for the next plan.
package placer

import (
	"time"

	"burdocklink/cataloger"
	"burdocklink/estimator"
	"burdocklink/orderer"
)

// Input is the input of a plan.
type Input struct {
	Now     time.Time
	Catalog *cataloger.Catalog
	// Unsettled are the committed orders that are not settled.
	Unsettled []orderer.Order
	// Reserved is memory by upstream that neither the placement nor an
	// unsettled order accounts for and that must not be used yet, such as that
	// of loads whose late duplicates may still arrive.
	Reserved map[string]int64
	// Reports are the last load reports by upstream. Some may be missing.
	Reports map[string]estimator.Report
	// Demands are the last reported demand by entry.
	Demands map[string]Demand
	Limits  orderer.StoreLimits
	// NextLoad is when the store's rate limit admits the next load.
	NextLoad time.Time
	// State is from the previous plan; empty for a new leader.
	State State
}

// Reason is why a move is planned.
type Reason int

const (
	// ReasonRestore restores a model or adapter whose last copy was lost.
	ReasonRestore Reason = iota + 1
	// ReasonFirst places a model or adapter that has never been held.
	ReasonFirst
	// ReasonDemand adds a copy for demand.
	ReasonDemand
	// ReasonSpare adds a second copy where memory is free.
	ReasonSpare
	// ReasonRoom evicts a copy to free memory for another load.
	ReasonRoom
)

// Move is an order to give.
type Move struct {
	Upstream    string
	Incarnation string
	Work        orderer.Work
	Reason      Reason
}

// Output is a plan. Moves are in the order in which they should be given; a
// move that can't be given now may be dropped, since the next plan decides
// again.
type Output struct {
	Moves []Move
	State State
}

// Plan returns the moves to make now: it continues evictions in progress,
// restores lost copies, places names that were never held, and adds at most one
// copy for demand. An engine with an unsettled order gets no move, the last copy
// of a model or adapter is never unloaded, and no move overcommits memory or
// exceeds the store's limits.
func Plan(input Input) Output {
	state := input.State
	if state.Start.IsZero() {
		state.Start = input.Now
	}
	state.measureOrders(&input)
	state.readDemand(&input)
	f := newFleet(&input, &state)
	f.continueEvictions()
	f.restore()
	f.addForDemand()
	state.update(&input)
	state.PlannedAt = input.Now
	return Output{Moves: f.moves, State: state}
}
