package orderer

import (
	"time"

	"burdocklink/cataloger"
)

// submission is a Submit being checked.
type submission struct {
	ledger   *Ledger
	now      time.Time
	catalog  *cataloger.Catalog
	upstream cataloger.Upstream
	account  *Account
	order    Order
}

func (l *Ledger) submit(index uint64, now time.Time, catalog *cataloger.Catalog, event Submit) Result {
	if committed, repeated := l.tokens[event.Token]; repeated {
		return Committed{Order: committed.Order}
	}
	s, refusal := l.prepare(now, catalog, event)
	if refusal != nil {
		return refusal
	}
	s.order.ID, s.order.Fence = index, index
	l.add(s.account, Pending{Order: s.order, Token: event.Token}, now)
	return Committed{Order: s.order}
}

// Refusal returns the refusal of a new Submit, or nil if it would be committed.
// It changes nothing, so that an order without a chance need not be proposed.
func (l *Ledger) Refusal(now time.Time, catalog *cataloger.Catalog, event Submit) Result {
	_, refusal := l.prepare(now, catalog, event)
	return refusal
}

// prepare returns the refusal of a Submit, or nil and the submission with its
// work completed.
func (l *Ledger) prepare(now time.Time, catalog *cataloger.Catalog, event Submit) (*submission, Result) {
	if reason := event.invalidReason(now); reason != "" {
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
	s := &submission{ledger: l, now: now, catalog: catalog, upstream: upstream, account: account, order: event.Order}
	return s, s.check()
}

// invalidReason returns why the event is invalid in itself, or an empty string.
func (e Submit) invalidReason(now time.Time) string {
	switch {
	case e.Token == "":
		return "empty token"
	case len(e.Token) > MaxTokenBytes:
		return "token too long"
	case e.Order.Work == nil:
		return "no work"
	case !now.Before(e.Order.NotAfter):
		return "not-after has passed"
	case e.Order.NotAfter.After(now.Add(MaxOrderLifetime)):
		return "not-after too far away"
	default:
		return ""
	}
}

func (l *Ledger) add(account *Account, pending Pending, now time.Time) {
	l.orders[pending.Order.ID] = &pending
	l.tokens[pending.Token] = &pending
	account.Unsettled = append(account.Unsettled, pending.Order.ID)
	account.addLate(pending.Order)
	if _, _, loads := loadedWeights(pending.Order.Work); loads {
		l.nextLoad = later(l.nextLoad, now).Add(l.limits.interval())
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// check returns the refusal of the order, or nil.
func (s *submission) check() Result {
	if refusal := s.checkUpstream(); refusal != nil {
		return refusal
	}
	switch work := s.order.Work.(type) {
	case LoadModel:
		return s.checkLoadModel(work)
	case LoadAdapter:
		return s.checkLoadAdapter(work)
	case UnloadModel:
		return s.checkUnloadModel(work)
	case UnloadAdapter:
		return s.checkUnload(work.Adapter)
	case SetRole:
		return s.checkRole(work)
	default:
		return Unsuitable{Reason: "unknown work"}
	}
}

func (s *submission) checkUpstream() Result {
	unsettled := s.account.Unsettled
	switch {
	case s.upstream.Kind != cataloger.EngineUpstream:
		return Unsuitable{Reason: "not an engine"}
	case s.upstream.State != cataloger.UpstreamLive:
		return Unsuitable{Reason: "upstream is leaving"}
	case !s.account.Observed:
		return Unsuitable{Reason: "upstream has not been observed"}
	case len(unsettled) > 0 && !s.upstream.ChecksFence:
		return Busy{Unsettled: unsettled[0]}
	case len(unsettled) >= MaxUnsettled:
		return Busy{Unsettled: unsettled[0]}
	case len(s.account.Late) >= MaxLate:
		return Unsuitable{Reason: "too many orders may still arrive late"}
	}
	name := subject(s.order.Work)
	for _, id := range unsettled {
		if subject(s.ledger.orders[id].Order.Work) == name {
			return Busy{Unsettled: id}
		}
	}
	return nil
}

func (s *submission) checkLoadModel(work LoadModel) Result {
	model, known := s.catalog.Models[work.Model]
	switch {
	case !known:
		return Unsuitable{Reason: "unknown model"}
	case model.Service != s.upstream.Service:
		return Unsuitable{Reason: "model belongs to another service"}
	case s.holdsVersion(model.Name, model.Version):
		return Unsuitable{Reason: "model is held already"}
	}
	s.order.Work = LoadModel{Model: model.Name, Version: model.Version, MemoryBytes: model.MemoryBytes}
	return s.checkLoad(weights{model.Name, model.Version}, model.MemoryBytes, false)
}

func (s *submission) checkLoadAdapter(work LoadAdapter) Result {
	adapter, known := s.catalog.Adapters[work.Adapter]
	switch {
	case !known:
		return Unsuitable{Reason: "unknown adapter"}
	case s.holdsVersion(adapter.Name, adapter.Version):
		return Unsuitable{Reason: "adapter is held already"}
	case !s.account.holds(adapter.Model):
		return Unsuitable{Reason: "base model is not held"}
	}
	if id, unsettled := s.ledger.unsettledUnload(s.account, adapter.Model); unsettled {
		return Busy{Unsettled: id}
	}
	s.order.Work = LoadAdapter{
		Adapter:     adapter.Name,
		Model:       adapter.Model,
		Version:     adapter.Version,
		MemoryBytes: adapter.MemoryBytes,
	}
	return s.checkLoad(weights{adapter.Name, adapter.Version}, adapter.MemoryBytes, true)
}

// holdsVersion reports whether the upstream holds this version.
func (s *submission) holdsVersion(name, version string) bool {
	held, found := s.account.find(name)
	return found && held.Version == version
}

// unsettledUnload returns the unsettled order that unloads the name from the
// upstream.
func (l *Ledger) unsettledUnload(account *Account, name string) (uint64, bool) {
	for _, id := range account.Unsettled {
		if unloading, unloads := unloadedName(l.orders[id].Order.Work); unloads && unloading == name {
			return id, true
		}
	}
	return 0, false
}

// checkLoad checks a load against the memory and the store's limits.
func (s *submission) checkLoad(w weights, bytes int64, adapter bool) Result {
	possible := maxFootprint(s.account)
	free := s.upstream.MemoryBytes - possible.total()
	need := bytes - min(bytes, possible[w])
	if need > free {
		return NoMemory{FreeBytes: free, NeedBytes: need}
	}
	return s.ledger.checkStore(s.now, s.catalog, adapter)
}

func (s *submission) checkUnloadModel(work UnloadModel) Result {
	for _, held := range s.account.Held {
		if held.Adapter && held.Base == work.Model {
			return Unsuitable{Reason: "an adapter of the model is held"}
		}
	}
	for _, id := range s.account.Unsettled {
		loading, loads := s.ledger.orders[id].Order.Work.(LoadAdapter)
		if loads && loading.Model == work.Model {
			return Busy{Unsettled: id}
		}
	}
	return s.checkUnload(work.Model)
}

// checkUnload checks that the copy is held and is not the last one.
func (s *submission) checkUnload(name string) Result {
	if !s.account.holds(name) {
		return Unsuitable{Reason: "not held"}
	}
	_, isModel := s.catalog.Models[name]
	_, isAdapter := s.catalog.Adapters[name]
	if !isModel && !isAdapter {
		return nil
	}
	for _, holder := range s.catalog.Holders[name] {
		if holder != s.upstream.Name && s.ledger.retains(s.catalog, holder, name) {
			return nil
		}
	}
	return LastCopy{Name: name}
}

// retains reports whether an upstream holds a name and will go on holding it,
// whatever the outcome of the orders given so far.
func (l *Ledger) retains(catalog *cataloger.Catalog, holder, name string) bool {
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

func (s *submission) checkRole(work SetRole) Result {
	if work.Role < cataloger.RoleMixed || work.Role > cataloger.RoleDecode {
		return Unsuitable{Reason: "unknown role"}
	}
	return nil
}

// checkStore checks a load against the store's limits.
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

// inTransit counts the unsettled loads of listed upstreams.
func (l *Ledger) inTransit(now time.Time, catalog *cataloger.Catalog) (loads, adapters int) {
	for _, pending := range l.orders {
		order := pending.Order
		if catalog.Upstreams[order.Upstream].Incarnation != order.Incarnation {
			continue
		}
		if now.After(order.NotAfter.Add(MaxLoadTime)) {
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
