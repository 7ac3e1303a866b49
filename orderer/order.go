// Package orderer keeps the ledger of orders to upstreams. An order is
// committed before it is sent, and memory is counted at the most that all
// unsettled orders could still take. The ledger is pure.
package orderer

import (
	"time"

	"burdocklink/cataloger"
)

// Work is what an upstream is ordered to do, one of the types below.
type Work interface{ work() }

// LoadModel loads a base model.
type LoadModel struct {
	Model       string
	Version     string
	MemoryBytes int64
}

// UnloadModel unloads a base model.
type UnloadModel struct{ Model string }

// LoadAdapter loads an adapter beside its base model.
type LoadAdapter struct {
	Adapter     string
	Model       string
	Version     string
	MemoryBytes int64
}

// UnloadAdapter unloads an adapter.
type UnloadAdapter struct{ Adapter string }

// SetRole sets whether an engine does prefill, decode or both.
type SetRole struct{ Role cataloger.Role }

func (LoadModel) work()     {}
func (UnloadModel) work()   {}
func (LoadAdapter) work()   {}
func (UnloadAdapter) work() {}
func (SetRole) work()       {}

// Order is a committed order.
type Order struct {
	// ID is unique and ascending.
	ID          uint64
	Upstream    string
	Incarnation string
	Work        Work
	// Fence is the fencing token; a higher one replaces a lower one.
	Fence uint64
	// NotAfter is when the upstream must no longer begin the order.
	NotAfter time.Time
}

// Event is an input of the ledger, one of the types below.
type Event interface{ event() }

// Submit requests the commit of an order. The ledger sets ID and Fence to the
// log index of the Submit, so that both ascend across leaders.
type Submit struct {
	// Token is unique for each order; repeating the token of a committed order
	// returns that order. A refused Submit may be retried with its token.
	Token string
	Order Order
}

// Settle records the outcome of an order.
type Settle struct {
	ID      uint64
	Outcome Outcome
}

// Observe records what an upstream reports to hold. A report that lags behind
// the last settled order or an earlier Observe changes nothing.
type Observe struct {
	Placement cataloger.Placement
	// LastOrder is the highest order ID that the upstream had settled.
	LastOrder uint64
	// Sequence is the report's number within the incarnation.
	Sequence uint64
	// Taken is the upstream's time of the report.
	Taken time.Time
	// UsedBytes is the accelerator memory of all weights that the upstream
	// holds or is loading. It must not include caches, since loads under way
	// are detected by it.
	UsedBytes int64
}

// Forget drops all state of an upstream incarnation that is gone.
type Forget struct{ Upstream, Incarnation string }

// Limit sets the limits of the weight store.
type Limit struct{ Limits StoreLimits }

func (Submit) event()  {}
func (Settle) event()  {}
func (Observe) event() {}
func (Forget) event()  {}
func (Limit) event()   {}

// Outcome is how an order ended.
type Outcome int

const (
	// OutcomeDone means that the upstream has carried it out.
	OutcomeDone Outcome = iota + 1
	// OutcomeRefused means that the upstream refused it and will not carry it
	// out.
	OutcomeRefused
	// OutcomeExpired means that it can no longer begin and was not carried out.
	OutcomeExpired
)

// Result is the ledger's answer, one of the types below.
type Result interface{ result() }

// Committed returns the order as the ledger holds it.
type Committed struct{ Order Order }

// Recorded acknowledges an event and returns the placement after it.
type Recorded struct{ Placement cataloger.Placement }

// NoMemory refuses an order that might overcommit accelerator memory.
type NoMemory struct{ FreeBytes, NeedBytes int64 }

// Busy refuses an order while another one for the upstream is unsettled.
type Busy struct{ Unsettled uint64 }

// LastCopy refuses to unload the only confirmed copy.
type LastCopy struct{ Name string }

// StoreFull refuses a load beyond the store's limits, until Retry.
type StoreFull struct{ Retry time.Time }

// UnknownUpstream refuses an order to an upstream incarnation not in the
// catalog.
type UnknownUpstream struct{ Upstream string }

// UnknownOrder refuses to settle an order the ledger does not hold.
type UnknownOrder struct{ ID uint64 }

// Unsuitable refuses an invalid order, with the reason.
type Unsuitable struct{ Reason string }

func (Committed) result()       {}
func (Recorded) result()        {}
func (NoMemory) result()        {}
func (Busy) result()            {}
func (LastCopy) result()        {}
func (StoreFull) result()       {}
func (UnknownUpstream) result() {}
func (UnknownOrder) result()    {}
func (Unsuitable) result()      {}

// StoreLimits are the limits of the weight store and the network.
type StoreLimits struct {
	// LoadsPerSecond is how many loads may begin each second.
	LoadsPerSecond float64
	// LoadsAtOnce is how many loads run at full speed.
	LoadsAtOnce int
	// AdaptersInTransit is how many adapters load quickly at once.
	AdaptersInTransit int
}
