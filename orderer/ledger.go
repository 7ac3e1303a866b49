package orderer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"burdocklink/cataloger"
)

// Ledger holds all unsettled orders and the possible late effects of earlier
// ones. Apply is deterministic in the catalog, the events, the log indexes and
// the stamps. A Ledger is not safe for concurrent use.
//
// The memory of an upstream is counted over the union of what it is confirmed
// to hold, what its unsettled orders load, and what a late duplicate of an
// earlier load could still load again (Account.Late). Two versions of a name
// count separately, since a new version is loaded beside the old one. An unload
// frees memory only when it is settled as done.
//
// A duplicate of an order counts until it is ruled out in one of two ways. An
// upstream that checks fences refuses duplicates of a done order once it has
// carried out a later one; until then they have no effect there. Otherwise a
// report must rule it out: one taken, by the upstream's own clock, after the
// order's NotAfter, and whose used memory is explained by the names it lists,
// so that no load is still under way.
//
// The ledger relies on upstreams to refuse an order after its NotAfter and an
// order for another incarnation, and to remember an order for longer than
// ClockMargin after its NotAfter.
type Ledger struct {
	limits StoreLimits
	// nextLoad is when the store's rate limit admits the next load.
	nextLoad  time.Time
	upstreams map[string]*Account
	orders    map[uint64]*Pending
	tokens    map[string]*Pending
	// spent are settled orders whose tokens are still remembered.
	spent []*Pending
	// moves counts the orders that were carried out.
	moves uint64
}

// Pending is an order with the token of its Submit.
type Pending struct {
	Order Order
	Token string
}

// Held is a model or adapter that an upstream is confirmed to hold.
type Held struct {
	Name        string
	Version     string
	MemoryBytes int64
	// Adapter is set for an adapter, whose base model is Base.
	Adapter bool
	Base    string
}

// Late is an order that may still be carried out: it is unsettled, or a
// duplicate of it may still arrive or be under way.
type Late struct {
	// ID is the order's.
	ID      uint64
	Name    string
	Version string
	// Loads is set for a load and not for an unload.
	Loads       bool
	MemoryBytes int64
	// NotAfter is the order's: a duplicate that arrives later is not begun.
	NotAfter time.Time
	// Done is set once the order is settled as done.
	Done bool
}

// Account is the state of an upstream in the ledger.
type Account struct {
	Upstream    string
	Incarnation string
	// Observed is set once a report of the incarnation has been recorded;
	// before that its memory is unknown.
	Observed bool
	// Sequence is the number of the last recorded report.
	Sequence uint64
	// LastOrder is the highest order that was settled as done or refused.
	LastOrder uint64
	// Settled is the stamp at which the last order was settled.
	Settled time.Time
	Held    []Held
	Late    []Late
	// Unsettled are order IDs in ascending order.
	Unsettled []uint64
}

// Snapshot is the complete state of a ledger.
type Snapshot struct {
	Limits   StoreLimits
	NextLoad time.Time
	// Accounts are in ascending order of upstream.
	Accounts []Account
	// Unsettled and Spent are in ascending order of ID.
	Unsettled []Pending
	Spent     []Pending
	Moves     uint64
}

// New returns an empty ledger with the default limits.
func New() *Ledger {
	return &Ledger{
		limits:    DefaultLimits(),
		upstreams: map[string]*Account{},
		orders:    map[uint64]*Pending{},
		tokens:    map[string]*Pending{},
	}
}

// Limits returns the limits in force.
func (l *Ledger) Limits() StoreLimits { return l.limits }

// NextLoad returns when the store's rate limit admits the next load.
func (l *Ledger) NextLoad() time.Time { return l.nextLoad }

// Moves returns how many orders were carried out since the group was founded:
// loads, unloads and changes of role.
func (l *Ledger) Moves() uint64 { return l.moves }

// Unsettled returns the unsettled orders in ascending order of ID.
func (l *Ledger) Unsettled() []Order {
	orders := make([]Order, 0, len(l.orders))
	for _, id := range slices.Sorted(maps.Keys(l.orders)) {
		orders = append(orders, l.orders[id].Order)
	}
	return orders
}

// Account returns the account of an upstream, with copies of its lists.
func (l *Ledger) Account(upstream string) (Account, bool) {
	account, known := l.upstreams[upstream]
	if !known {
		return Account{}, false
	}
	return account.clone(), true
}

// Accounts returns the accounts of all upstreams, by name, with copies of their
// lists.
func (l *Ledger) Accounts() map[string]Account {
	accounts := make(map[string]Account, len(l.upstreams))
	for name, account := range l.upstreams {
		accounts[name] = account.clone()
	}
	return accounts
}

func (a *Account) clone() Account {
	cloned := *a
	cloned.Held = slices.Clone(a.Held)
	cloned.Late = slices.Clone(a.Late)
	cloned.Unsettled = slices.Clone(a.Unsettled)
	return cloned
}

// Snapshot returns a copy of the complete state.
func (l *Ledger) Snapshot() Snapshot {
	snapshot := Snapshot{Limits: l.limits, NextLoad: l.nextLoad, Moves: l.moves}
	for _, name := range slices.Sorted(maps.Keys(l.upstreams)) {
		snapshot.Accounts = append(snapshot.Accounts, l.upstreams[name].clone())
	}
	for _, id := range slices.Sorted(maps.Keys(l.orders)) {
		snapshot.Unsettled = append(snapshot.Unsettled, *l.orders[id])
	}
	for _, spent := range l.spent {
		snapshot.Spent = append(snapshot.Spent, *spent)
	}
	slices.SortFunc(snapshot.Spent, func(a, b Pending) int { return cmp.Compare(a.Order.ID, b.Order.ID) })
	return snapshot
}

// Restore returns a ledger with the given state.
func Restore(snapshot Snapshot) *Ledger {
	l := New()
	l.limits, l.nextLoad, l.moves = snapshot.Limits, snapshot.NextLoad, snapshot.Moves
	for _, account := range snapshot.Accounts {
		l.upstreams[account.Upstream] = &account
	}
	for _, pending := range snapshot.Unsettled {
		l.orders[pending.Order.ID] = &pending
		l.tokens[pending.Token] = &pending
	}
	for _, pending := range snapshot.Spent {
		l.spent = append(l.spent, &pending)
		l.tokens[pending.Token] = &pending
	}
	return l
}

// Apply applies an event. Index is the log index, stamp the leader's time,
// which never goes back. The returned changes are those of the catalog's
// placements.
func (l *Ledger) Apply(index uint64, stamp time.Time, catalog *cataloger.Catalog, event Event) (Result, []cataloger.Change) {
	l.dropSpentTokens(stamp)
	switch event := event.(type) {
	case Submit:
		return l.submit(index, stamp, catalog, event), nil
	case Settle:
		return l.settle(stamp, catalog, event)
	case Observe:
		return l.observe(catalog, event)
	case Forget:
		return l.forget(catalog, event), nil
	case Limit:
		return l.limit(event), nil
	default:
		return Unsuitable{Reason: "unknown event"}, nil
	}
}

// dropSpentTokens drops tokens of settled orders whose NotAfter has passed, so
// that a repeated Submit would be refused anyway.
func (l *Ledger) dropSpentTokens(now time.Time) {
	kept := l.spent[:0]
	for _, pending := range l.spent {
		if now.Before(pending.Order.NotAfter) {
			kept = append(kept, pending)
			continue
		}
		delete(l.tokens, pending.Token)
	}
	clear(l.spent[len(kept):])
	l.spent = kept
}

func (l *Ledger) limit(event Limit) Result {
	if reason := event.Limits.invalidReason(); reason != "" {
		return Unsuitable{Reason: reason}
	}
	l.limits = event.Limits
	return Recorded{}
}

// account returns the account of an upstream and creates it if needed.
func (l *Ledger) account(upstream cataloger.Upstream) *Account {
	account, known := l.upstreams[upstream.Name]
	if !known {
		account = &Account{Upstream: upstream.Name, Incarnation: upstream.Incarnation}
		l.upstreams[upstream.Name] = account
	}
	if account.Incarnation != upstream.Incarnation {
		l.restart(account, upstream.Incarnation)
	}
	return account
}

// restart begins a new incarnation. The orders of the old one end with it, but
// may still arrive at the new one until their NotAfter.
func (l *Ledger) restart(account *Account, incarnation string) {
	for _, id := range slices.Clone(account.Unsettled) {
		l.close(account, id)
	}
	account.Incarnation = incarnation
	account.Observed = false
	account.Sequence, account.LastOrder = 0, 0
	account.Settled = time.Time{}
	account.Held = nil
}

// close removes an order from the unsettled ones.
func (l *Ledger) close(account *Account, id uint64) {
	pending := l.orders[id]
	delete(l.orders, id)
	l.spent = append(l.spent, pending)
	account.Unsettled = slices.DeleteFunc(account.Unsettled, func(other uint64) bool { return other == id })
}

// UpstreamsListed updates the ledger after a new list of upstreams in the
// catalog.
func (l *Ledger) UpstreamsListed(catalog *cataloger.Catalog) {
	for _, name := range slices.Sorted(maps.Keys(l.upstreams)) {
		if upstream, listed := catalog.Upstreams[name]; listed {
			l.account(upstream)
			continue
		}
		l.upstreams[name].Observed = false
	}
}

// forget drops the account of an upstream that the catalog no longer lists.
func (l *Ledger) forget(catalog *cataloger.Catalog, event Forget) Result {
	if _, listed := catalog.Upstreams[event.Upstream]; listed {
		return Unsuitable{Reason: "upstream is listed"}
	}
	account, known := l.upstreams[event.Upstream]
	if !known || account.Incarnation != event.Incarnation {
		return Recorded{}
	}
	for _, id := range slices.Clone(account.Unsettled) {
		l.close(account, id)
	}
	delete(l.upstreams, event.Upstream)
	return Recorded{}
}
