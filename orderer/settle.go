package orderer

import (
	"slices"
	"time"

	"burdocklink/cataloger"
)

func (l *Ledger) settle(now time.Time, catalog *cataloger.Catalog, event Settle) (Result, []cataloger.Change) {
	pending, known := l.orders[event.ID]
	if !known {
		return UnknownOrder{ID: event.ID}, nil
	}
	order := pending.Order
	account := l.upstreams[order.Upstream]
	switch event.Outcome {
	case OutcomeDone:
		l.close(account, order.ID)
		account.Settled = now
		l.moves++
		return l.applyDone(catalog, account, order)
	case OutcomeRefused:
		l.close(account, order.ID)
		account.Settled = now
		account.LastOrder = max(account.LastOrder, order.ID)
	case OutcomeExpired:
		if now.Before(order.NotAfter.Add(ClockMargin)) {
			return Unsuitable{Reason: "order may still begin"}, nil
		}
		l.close(account, order.ID)
		account.dropExpired(order.ID)
	default:
		return Unsuitable{Reason: "unknown outcome"}, nil
	}
	return Recorded{Placement: catalog.Placements[order.Upstream]}, nil
}

// applyDone updates what the upstream holds after an order was carried out.
func (l *Ledger) applyDone(catalog *cataloger.Catalog, account *Account, order Order) (Result, []cataloger.Change) {
	account.LastOrder = max(account.LastOrder, order.ID)
	account.markDone(order.ID)
	if catalog.Upstreams[order.Upstream].ChecksFence {
		account.supersede(order.ID)
	}
	role := catalog.Placements[order.Upstream].Role
	switch work := order.Work.(type) {
	case LoadModel:
		account.addHeld(Held{Name: work.Model, Version: work.Version, MemoryBytes: work.MemoryBytes})
	case LoadAdapter:
		account.addHeld(Held{
			Name:        work.Adapter,
			Version:     work.Version,
			MemoryBytes: work.MemoryBytes,
			Adapter:     true,
			Base:        work.Model,
		})
	case UnloadModel:
		account.removeHeld(work.Model)
	case UnloadAdapter:
		account.removeHeld(work.Adapter)
	case SetRole:
		role = work.Role
	}
	return l.updatePlacement(catalog, account, role)
}

func (a *Account) addHeld(held Held) {
	a.removeHeld(held.Name)
	a.Held = append(a.Held, held)
}

func (a *Account) removeHeld(name string) {
	a.Held = slices.DeleteFunc(a.Held, func(held Held) bool { return held.Name == name })
}

// updatePlacement returns the placement after an event and the change that
// leads to it.
func (l *Ledger) updatePlacement(catalog *cataloger.Catalog, account *Account, role cataloger.Role) (Result, []cataloger.Change) {
	placement := account.placement(role)
	current, placed := catalog.Placements[account.Upstream]
	if placed && SamePlacement(current, placement) {
		return Recorded{Placement: current}, nil
	}
	if _, listed := catalog.Upstreams[account.Upstream]; !listed {
		return Recorded{Placement: placement}, nil
	}
	return Recorded{Placement: placement}, []cataloger.Change{cataloger.PutPlacement{Placement: placement}}
}

func (a *Account) placement(role cataloger.Role) cataloger.Placement {
	placement := cataloger.Placement{Upstream: a.Upstream, Incarnation: a.Incarnation, Role: role}
	for _, held := range a.Held {
		if held.Adapter {
			placement.Adapters = append(placement.Adapters, held.Name)
			continue
		}
		placement.Models = append(placement.Models, held.Name)
	}
	slices.Sort(placement.Models)
	slices.Sort(placement.Adapters)
	return placement
}

// SamePlacement reports whether two placements of an incarnation are equal.
func SamePlacement(a, b cataloger.Placement) bool {
	return a.Upstream == b.Upstream && a.Incarnation == b.Incarnation && a.Role == b.Role &&
		slices.Equal(a.Models, b.Models) && slices.Equal(a.Adapters, b.Adapters)
}

// observe applies a report, unless it lags.
func (l *Ledger) observe(catalog *cataloger.Catalog, event Observe) (Result, []cataloger.Change) {
	placement := event.Placement
	upstream, listed := catalog.Upstreams[placement.Upstream]
	if !listed || upstream.Incarnation != placement.Incarnation {
		return UnknownUpstream{Upstream: placement.Upstream}, nil
	}
	if upstream.Kind != cataloger.EngineUpstream {
		return Unsuitable{Reason: "not an engine"}, nil
	}
	account := l.account(upstream)
	if len(account.Unsettled) > 0 {
		return Busy{Unsettled: account.Unsettled[0]}, nil
	}
	if account.Lags(event) {
		return Recorded{Placement: catalog.Placements[placement.Upstream]}, nil
	}
	account.Observed = true
	account.Sequence = event.Sequence
	account.Held = reportedHoldings(catalog, account, placement)
	account.dropRuledOut(event)
	return l.updatePlacement(catalog, account, placement.Role)
}

// Lags reports whether a known event may have happened after the report was
// taken. Such a report changes nothing.
func (a *Account) Lags(report Observe) bool {
	if a.Observed && report.Sequence <= a.Sequence {
		return true
	}
	settled := !a.Settled.IsZero() && !report.Taken.After(a.Settled.Add(ClockMargin))
	return settled || report.LastOrder < a.LastOrder
}

// reportedHoldings returns what a report lists as held. Reports contain no
// versions or sizes: these are taken from the ledger, or else from the catalog.
// Names unknown to both count as all memory of the upstream.
func reportedHoldings(catalog *cataloger.Catalog, account *Account, placement cataloger.Placement) []Held {
	var held []Held
	for _, name := range unique(placement.Models) {
		model, listed := catalog.Models[name]
		held = append(held, account.resolve(catalog, listed, Held{
			Name:        name,
			Version:     model.Version,
			MemoryBytes: model.MemoryBytes,
		}))
	}
	for _, name := range unique(placement.Adapters) {
		adapter, listed := catalog.Adapters[name]
		held = append(held, account.resolve(catalog, listed, Held{
			Name:        name,
			Version:     adapter.Version,
			MemoryBytes: adapter.MemoryBytes,
			Adapter:     true,
			Base:        adapter.Model,
		}))
	}
	return held
}

// resolve returns the version and size to assume for a reported name.
func (a *Account) resolve(catalog *cataloger.Catalog, listed bool, reported Held) Held {
	if held, known := a.find(reported.Name); known {
		return held
	}
	if !listed {
		reported.MemoryBytes = catalog.Upstreams[a.Upstream].MemoryBytes
	}
	return reported
}

func unique(names []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(names)))
}
