// Package placer turns demand into moves: which engine loads or unloads which
// model or adapter. Plan is pure: what it has to remember it returns as State.
package placer

import (
	"time"

	"burdocklink/cataloger"
	"burdocklink/estimator"
	"burdocklink/orderer"
)

// Input is what a plan depends on.
type Input struct {
	Now     time.Time
	Catalog *cataloger.Catalog
	// Unsettled are the orders that are committed and not settled.
	Unsettled []orderer.Order
	// Reserved is, by upstream, memory that neither the placement nor an
	// unsettled order accounts for and that must not be used yet, such as
	// that of loads whose late duplicates may still arrive.
	Reserved map[string]int64
	// Reports are the last load reports by upstream. One may be missing.
	Reports map[string]estimator.Report
	// Demands are the last readings by entry.
	Demands map[string]Demand
	Limits  orderer.StoreLimits
	// NextLoad is when the store's rate allows the next load to begin.
	NextLoad time.Time
	// State is what the plan before returned; empty for a new leader.
	State State
}

// Reason is why a move is planned.
type Reason int

const (
	// ReasonRestore brings back a model or adapter whose last copy was lost.
	ReasonRestore Reason = iota + 1
	// ReasonFirst places a model or adapter that has never been held.
	ReasonFirst
	// ReasonDemand adds a copy for demand.
	ReasonDemand
	// ReasonSpare adds a second copy where memory is free.
	ReasonSpare
	// ReasonRoom unloads a copy that another load needs the memory of.
	ReasonRoom
)

// Move is one order to give.
type Move struct {
	Upstream    string
	Incarnation string
	Work        orderer.Work
	Reason      Reason
}

// Output is a plan. Moves are in the order in which they should be given; a
// move that can't be given now may be dropped, the next plan decides anew.
type Output struct {
	Moves []Move
	State State
}

// Plan returns the moves to make now: lost copies are restored first, then
// what was never held is placed, then memory being freed is freed further, and
// then at most one copy is added for demand. An engine with an unsettled order
// gets no move, the last copy of a model or adapter is never unloaded, and no
// move overcommits memory or goes beyond the store's limits.
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
