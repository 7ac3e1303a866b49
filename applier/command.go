// Package applier implements the replicated state machine: the catalog, the
// claims, the orders and the operators' changes. Apply is deterministic: the
// same commands with the same stamps give the same state on every member.
package applier

import (
	"time"

	"burdocklink/cataloger"
	"burdocklink/claimer"
	"burdocklink/orderer"
)

// Command is one entry of the replicated log: Claim, Order, Change, Watch,
// Configure or Noop.
type Command interface{ command() }

// Claim applies an event to the claim table.
type Claim struct{ Event claimer.Event }

// Order applies an event to the order ledger.
type Order struct{ Event orderer.Event }

// Change is an operator's change of the catalog.
type Change struct {
	// Operator is the authenticated name of the operator.
	Operator string
	// RequestID is chosen by the operator; a resend carries the same one.
	RequestID string
	// BaseRevision is the catalog revision that the operator read before making
	// the change, or AnyRevision.
	BaseRevision uint64
	Changes      []cataloger.Change
}

// AnyRevision is the value of Change.BaseRevision that never conflicts.
const AnyRevision = ^uint64(0)

// Watch records changes in the platform's list of upstreams and in the weight
// store.
type Watch struct {
	// Term is the leader's term when it read the list, and Sequence increases
	// with each reading within the term. A Watch that is not later than the
	// last one applied has no effect. If both are zero, the Watch is unordered
	// and always applied.
	Term     uint64
	Sequence uint64
	Changes  []cataloger.Change
}

// Configure replaces the routing configuration if its version is higher than
// the stored one. Otherwise it has no effect, which makes a resend safe.
type Configure struct{ Configuration cataloger.Configuration }

// Noop has no effect; a new leader commits one.
type Noop struct{}

func (Claim) command()     {}
func (Order) command()     {}
func (Change) command()    {}
func (Watch) command()     {}
func (Configure) command() {}
func (Noop) command()      {}

// Result is the outcome of a command: ClaimResult, OrderResult, Accepted,
// Conflict, Invalid or Nothing.
type Result interface{ result() }

// ClaimResult is the claim table's result.
type ClaimResult struct{ Result claimer.Result }

// OrderResult is the order ledger's result.
type OrderResult struct{ Result orderer.Result }

// Accepted means that a change took effect at the given revision.
type Accepted struct{ Revision uint64 }

// Conflict means that another operator's change was accepted after the base
// revision.
type Conflict struct {
	// Current is the catalog's revision, to be read before a retry.
	Current uint64
}

// Invalid means that a change contradicts the catalog or itself.
type Invalid struct{ Reason string }

// Nothing is the result of Noop, and of a Watch or Configure without effect.
type Nothing struct{}

func (ClaimResult) result() {}
func (OrderResult) result() {}
func (Accepted) result()    {}
func (Conflict) result()    {}
func (Invalid) result()     {}
func (Nothing) result()     {}

// Applied is the result of a command and the catalog change that it made.
type Applied struct {
	Result Result
	// Delta has no changes if the catalog is unchanged.
	Delta cataloger.Delta
}

// AcceptedChange is an operator's change that took effect at Revision.
type AcceptedChange struct {
	Operator  string
	RequestID string
	At        time.Time
	Revision  uint64
	Changes   []cataloger.Change
}
