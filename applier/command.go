// Package applier is the replicated state machine: the catalog, the claims,
// the orders, the operators' changes and the members. Apply is deterministic:
// the same commands with the same stamps give the same state everywhere.
package applier

import (
	"time"

	"burdocklink/cataloger"
	"burdocklink/claimer"
	"burdocklink/orderer"
)

// Command is one entry of the replicated log. It is one of the types below.
type Command interface{ command() }

// Claim passes an event to the claim table.
type Claim struct{ Event claimer.Event }

// Order passes an event to the order ledger.
type Order struct{ Event orderer.Event }

// Change is an operator's change of the catalog.
type Change struct {
	// Operator is the authenticated name of the operator.
	Operator string
	// RequestID is the operator's own number for the change; a resend carries
	// the same one.
	RequestID string
	// BaseRevision is the catalog revision that the operator looked at, or
	// AnyRevision.
	BaseRevision uint64
	Changes      []cataloger.Change
}

// AnyRevision is the value of Change.Based that conflicts with nothing.
const AnyRevision = ^uint64(0)

// Watch records what the platform's list and the weight store say.
type Watch struct {
	// Term and Sequence order the readings: Term is the leader's when it read
	// the list and Sequence counts up within the term. A Watch that is not
	// later than one applied before does nothing. Zero for both leaves it
	// unordered.
	Term     uint64
	Sequence uint64
	Changes  []cataloger.Change
}

// Configure replaces the routing configuration by one with a higher version.
// One that is not higher changes nothing, so that a resend does no harm.
type Configure struct{ Configuration cataloger.Configuration }

// Noop does nothing; a new leader commits one.
type Noop struct{}

func (Claim) command()     {}
func (Order) command()     {}
func (Change) command()    {}
func (Watch) command()     {}
func (Configure) command() {}
func (Noop) command()      {}

// Result is what Apply answers. It is one of the types below.
type Result interface{ result() }

// ClaimResult is the claim table's answer.
type ClaimResult struct{ Result claimer.Result }

// OrderResult is the order ledger's answer.
type OrderResult struct{ Result orderer.Result }

// Accepted says that a change is accepted at a revision.
type Accepted struct{ Revision uint64 }

// Conflict says that another change came first.
type Conflict struct {
	// Current is the revision to look at before a new try.
	Current uint64
}

// Invalid says that a change contradicts the catalog or itself.
type Invalid struct{ Reason string }

// Nothing is the answer to Noop and to a Watch that changed nothing.
type Nothing struct{}

func (ClaimResult) result() {}
func (OrderResult) result() {}
func (Accepted) result()    {}
func (Conflict) result()    {}
func (Invalid) result()     {}
func (Nothing) result()     {}

// Applied is the result of a command with the catalog change it made.
type Applied struct {
	Result Result
	// Delta has no changes where the catalog stayed as it was.
	Delta cataloger.Delta
}

// AcceptedChange is one accepted change of the operators' history.
type AcceptedChange struct {
	Operator  string
	RequestID string
	At        time.Time
	Revision  uint64
	Changes   []cataloger.Change
}
