package orderer

import (
	"time"

	"burdocklink/cataloger"
)

// intent is an Intend while it is checked.
type intent struct {
	ledger   *Ledger
	now      time.Time
	catalog  *cataloger.Catalog
	upstream cataloger.Upstream
	account  *Account
	order    Order
}

func (l *Ledger) intend(index uint64, now time.Time, catalog *cataloger.Catalog, event Intend) Result {
	if first, repeated := l.tokens[event.Token]; repeated {
		return Committed{Order: first.Order}
	}
	i, refusal := l.examine(now, catalog, event)
	if refusal != nil {
		return refusal
	}
	i.order.ID, i.order.Fence = index, index
	l.commit(i.account, Pending{Order: i.order, Token: event.Token}, now)
	return Committed{Order: i.order}
}

// Refusal returns what would be answered to a new intent now, or nil where it
// would be committed. It changes nothing, so that an intent without a chance
// need not be proposed.
func (l *Ledger) Refusal(now time.Time, catalog *cataloger.Catalog, event Intend) Result {
	_, refusal := l.examine(now, catalog, event)
	return refusal
}

// examine gives the refusal of an intent, or nil and the intent with its work
// filled in.
func (l *Ledger) examine(now time.Time, catalog *cataloger.Catalog, event Intend) (*intent, Result) {
	if reason := event.fault(now); reason != "" {
		return nil, Unsuitable{Reason: reason}
	}
	upstream, listed := catalog.Upstreams[event.Order.Upstream]
	if !listed || upstream.Incarnation != event.Order.Incarnation {
		return nil, UnknownUpstream{Upstream: event.Order.Upstream}
	}
	account, known := l.upstreams[upstream.Name]
	if !known || account.Incarnation != upstream.Incarnation {
		account = &Account{Upstream: upstream.Name, Incarnation: upstream.Incarnation}
	}
	i := &intent{ledger: l, now: now, catalog: catalog, upstream: upstream, account: account, order: event.Order}
	return i, i.check()
}

// fault says what is wrong with the event itself.
func (e Intend) fault(now time.Time) string {
	switch {
	case e.Token == "":
		return "empty token"
	case len(e.Token) > MaxTokenBytes:
		return "token too long"
	case e.Order.Work == nil:
		return "no work"
	case !now.Before(e.Order.NotAfter):
		return "not-after has passed"
	case e.Order.NotAfter.After(now.Add(LongestOrder)):
		return "not-after too far away"
	default:
		return ""
	}
}

func (l *Ledger) commit(account *Account, pending Pending, now time.Time) {
	l.orders[pending.Order.ID] = &pending
	l.tokens[pending.Token] = &pending
	account.Unsettled = append(account.Unsettled, pending.Order.ID)
	account.remember(pending.Order)
	if _, _, loads := load(pending.Order.Work); loads {
		l.nextLoad = later(l.nextLoad, now).Add(l.limits.interval())
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// check gives the refusal of the order, or nil.
func (i *intent) check() Result {
	if refusal := i.checkUpstream(); refusal != nil {
		return refusal
	}
	switch work := i.order.Work.(type) {
	case LoadModel:
		return i.checkLoadModel(work)
	case LoadAdapter:
		return i.checkLoadAdapter(work)
	case UnloadModel:
		return i.checkUnloadModel(work)
	case UnloadAdapter:
		return i.checkUnload(work.Adapter)
	case SetRole:
		return i.checkRole(work)
	default:
		return Unsuitable{Reason: "unknown work"}
	}
}

func (i *intent) checkUpstream() Result {
	unsettled := i.account.Unsettled
	switch {
	case i.upstream.Kind != cataloger.EngineUpstream:
		return Unsuitable{Reason: "not an engine"}
	case i.upstream.State != cataloger.UpstreamLive:
		return Unsuitable{Reason: "upstream is leaving"}
	case !i.account.Observed:
		return Unsuitable{Reason: "upstream has not been observed"}
	case len(unsettled) > 0 && !i.upstream.ChecksFence:
		return Busy{Unsettled: unsettled[0]}
	case len(unsettled) >= MaxUnsettled:
		return Busy{Unsettled: unsettled[0]}
	case len(i.account.Late) >= MaxLate:
		return Unsuitable{Reason: "too many orders may still arrive late"}
	}
	name := subject(i.order.Work)
	for _, id := range unsettled {
		if subject(i.ledger.orders[id].Order.Work) == name {
			return Busy{Unsettled: id}
		}
	}
	return nil
}

func (i *intent) checkLoadModel(work LoadModel) Result {
	model, known := i.catalog.Models[work.Model]
	switch {
	case !known:
		return Unsuitable{Reason: "unknown model"}
	case model.Service != i.upstream.Service:
		return Unsuitable{Reason: "model belongs to another service"}
	case i.holdsVersion(model.Name, model.Version):
		return Unsuitable{Reason: "model is held already"}
	}
	i.order.Work = LoadModel{Model: model.Name, Version: model.Version, MemoryBytes: model.MemoryBytes}
	return i.checkLoad(weights{model.Name, model.Version}, model.MemoryBytes, false)
}

func (i *intent) checkLoadAdapter(work LoadAdapter) Result {
	adapter, known := i.catalog.Adapters[work.Adapter]
	switch {
	case !known:
		return Unsuitable{Reason: "unknown adapter"}
	case i.holdsVersion(adapter.Name, adapter.Version):
		return Unsuitable{Reason: "adapter is held already"}
	case !i.account.holds(adapter.Model):
		return Unsuitable{Reason: "base model is not held"}
	}
	if id, unsettled := i.ledger.unsettledUnload(i.account, adapter.Model); unsettled {
		return Busy{Unsettled: id}
	}
	i.order.Work = LoadAdapter{
		Adapter:     adapter.Name,
		Model:       adapter.Model,
		Version:     adapter.Version,
		MemoryBytes: adapter.MemoryBytes,
	}
	return i.checkLoad(weights{adapter.Name, adapter.Version}, adapter.MemoryBytes, true)
}

// holdsVersion reports whether the upstream holds just these weights.
func (i *intent) holdsVersion(name, version string) bool {
	held, found := i.account.find(name)
	return found && held.Version == version
}

// unsettledUnload finds an unsettled unload of the name on the upstream.
func (l *Ledger) unsettledUnload(account *Account, name string) (uint64, bool) {
	for _, id := range account.Unsettled {
		if gone, unloads := unload(l.orders[id].Order.Work); unloads && gone == name {
			return id, true
		}
	}
	return 0, false
}

// checkLoad compares a load with the memory and with the store's limits.
func (i *intent) checkLoad(what weights, bytes int64, adapter bool) Result {
	possible := possible(i.account)
	free := i.upstream.MemoryBytes - possible.total()
	need := bytes - min(bytes, possible[what])
	if need > free {
		return NoMemory{FreeBytes: free, NeedBytes: need}
	}
	return i.ledger.checkStore(i.now, i.catalog, adapter)
}

func (i *intent) checkUnloadModel(work UnloadModel) Result {
	for _, held := range i.account.Held {
		if held.Adapter && held.Base == work.Model {
			return Unsuitable{Reason: "an adapter of the model is held"}
		}
	}
	for _, id := range i.account.Unsettled {
		loading, loads := i.ledger.orders[id].Order.Work.(LoadAdapter)
		if loads && loading.Model == work.Model {
			return Busy{Unsettled: id}
		}
	}
	return i.checkUnload(work.Model)
}

// checkUnload makes sure that the copy is there and is not the last one.
func (i *intent) checkUnload(name string) Result {
	if !i.account.holds(name) {
		return Unsuitable{Reason: "not held"}
	}
	_, isModel := i.catalog.Models[name]
	_, isAdapter := i.catalog.Adapters[name]
	if !isModel && !isAdapter {
		return nil
	}
	for _, holder := range i.catalog.Holders[name] {
		if holder != i.upstream.Name && i.ledger.keeps(i.catalog, holder, name) {
			return nil
		}
	}
	return LastCopy{Name: name}
}

// keeps reports whether an upstream holds a name for sure and will go on
// holding it, whatever becomes of the orders given so far.
func (l *Ledger) keeps(catalog *cataloger.Catalog, holder, name string) bool {
	upstream := catalog.Upstreams[holder]
	account, known := l.upstreams[holder]
	if !known || !account.Observed || upstream.State != cataloger.UpstreamLive {
		return false
	}
	if account.mayLose(name) {
		return false
	}
	return account.Incarnation == upstream.Incarnation && account.holds(name)
}

func (i *intent) checkRole(work SetRole) Result {
	if work.Role < cataloger.RoleMixed || work.Role > cataloger.RoleDecode {
		return Unsuitable{Reason: "unknown role"}
	}
	return nil
}

// checkStore compares a load with what the store allows.
func (l *Ledger) checkStore(now time.Time, catalog *cataloger.Catalog, adapter bool) Result {
	if now.Before(l.nextLoad) {
		return StoreFull{Retry: l.nextLoad}
	}
	loads, adapters := l.inTransit(now, catalog)
	if loads >= l.limits.LoadsAtOnce {
		return StoreFull{Retry: now.Add(l.limits.interval())}
	}
	if adapter && adapters >= l.limits.AdaptersInTransit {
		return StoreFull{Retry: now.Add(l.limits.interval())}
	}
	return nil
}

// inTransit counts the unsettled loads of upstreams that are still listed.
func (l *Ledger) inTransit(now time.Time, catalog *cataloger.Catalog) (loads, adapters int) {
	for _, pending := range l.orders {
		order := pending.Order
		if catalog.Upstreams[order.Upstream].Incarnation != order.Incarnation {
			continue
		}
		if now.After(order.NotAfter.Add(LongestLoad)) {
			continue
		}
		switch order.Work.(type) {
		case LoadModel:
			loads++
		case LoadAdapter:
			loads++
			adapters++
		}
	}
	return loads, adapters
}
