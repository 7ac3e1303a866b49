package supervisor

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"burdocklink/applier"
	"burdocklink/cataloger"
	"burdocklink/claimer"
	"burdocklink/estimator"
	"burdocklink/orderer"
	"burdocklink/placer"
	"burdocklink/sender"
)

// view is what a round knows of the state.
type view struct {
	catalog   *cataloger.Catalog
	unsettled []orderer.Order
	limits    orderer.StoreLimits
	nextLoad  time.Time
	// expires is when a claim next changes by itself; zero for none.
	expires time.Time
	// accounts and reserved are filled for a plan only.
	accounts map[string]orderer.Account
	reserved map[string]int64
}

// round does all duties once, if this member leads. It reports whether orders
// were committed, which another round sends off.
func (s *Supervisor) round(now time.Time) bool {
	if !s.config.Proposer.Status().Leading {
		s.rest()
		return false
	}
	plans := !now.Before(s.nextPlan)
	seen, ok := s.look(plans)
	if !ok {
		return false
	}
	s.leading = true
	s.sender.Drive(tasks(seen))
	s.settle(seen)
	s.expire(now, seen)
	if !plans {
		return false
	}
	s.nextPlan = now.Add(s.config.Settings.Plan)
	s.limit(seen)
	reports := s.config.Reports()
	s.observe(seen, reports)
	s.forget(now, seen)
	return s.intend(now, reports)
}

// rest stops driving orders once another member leads. What the planner
// remembered is of no use to a later term.
func (s *Supervisor) rest() {
	if !s.leading {
		return
	}
	s.leading = false
	s.plan = placer.State{}
	s.nextPlan = time.Time{}
	clear(s.gone)
	s.sender.Drive(nil)
}

// look reads the state.
func (s *Supervisor) look(plans bool) (*view, bool) {
	ctx, cancel := context.WithTimeout(s.ctx, s.config.Settings.Propose)
	defer cancel()
	seen := &view{}
	err := s.config.Proposer.Read(ctx, func(state *applier.State) { seen.fill(state, plans) })
	return seen, err == nil
}

func (v *view) fill(state *applier.State, plans bool) {
	orders := state.Orders()
	v.catalog = state.Catalog()
	v.unsettled = orders.Unsettled()
	v.limits = orders.Limits()
	v.nextLoad = orders.NextLoad()
	v.expires, _ = state.Claims().NextExpiry()
	if !plans {
		return
	}
	v.accounts = orders.Accounts()
	v.reserved = orders.Reserved(v.catalog)
}

// tasks are the orders to upstreams that are listed. The others wait until
// their upstream comes back or is forgotten.
func tasks(seen *view) []sender.Task {
	var all []sender.Task
	for _, order := range seen.unsettled {
		upstream := seen.catalog.Upstreams[order.Upstream]
		if upstream.Incarnation == order.Incarnation {
			all = append(all, sender.Task{Order: order, Address: upstream.Address})
		}
	}
	return all
}

// propose commits a command and reports whether it is known to be committed.
func (s *Supervisor) propose(command applier.Command) (applier.Result, bool) {
	ctx, cancel := context.WithTimeout(s.ctx, s.config.Settings.Propose)
	defer cancel()
	applied, err := s.config.Proposer.Propose(ctx, command)
	if err != nil {
		s.log.Debug("proposal failed", zap.Error(err))
		return nil, false
	}
	return applied.Result, true
}

// settle commits the outcomes of unsettled orders and forgets those that are
// committed.
func (s *Supervisor) settle(seen *view) {
	unsettled := map[uint64]bool{}
	for _, order := range seen.unsettled {
		unsettled[order.ID] = true
	}
	for id, outcome := range s.outcomes {
		if !unsettled[id] {
			delete(s.outcomes, id)
			continue
		}
		if !s.settleOne(id, outcome) {
			return
		}
	}
}

func (s *Supervisor) settleOne(id uint64, outcome orderer.Outcome) bool {
	result, committed := s.propose(applier.Order{Event: orderer.Settle{ID: id, Outcome: outcome}})
	if !committed {
		return false
	}
	if refusal, refused := orderResult(result).(orderer.Unsuitable); refused {
		s.log.Debug("settlement refused", zap.Uint64("order", id), zap.String("reason", refusal.Reason))
		return true
	}
	delete(s.outcomes, id)
	s.planAt(time.Now().Add(s.config.Settings.Tick))
	return true
}

func orderResult(result applier.Result) orderer.Result {
	of, _ := result.(applier.OrderResult)
	return of.Result
}

// expire lets claims expire when one can. Claims that are asked for expire by
// themselves, so that this is only for the memory of the others.
func (s *Supervisor) expire(now time.Time, seen *view) {
	if seen.expires.IsZero() || now.Before(seen.expires) || now.Before(s.nextExpire) {
		return
	}
	s.nextExpire = now.Add(expireEvery)
	s.propose(applier.Claim{Event: claimer.Expire{}})
}

// limit sets the store's limits where others are in force.
func (s *Supervisor) limit(seen *view) {
	if seen.limits == s.config.Limits {
		return
	}
	result, committed := s.propose(applier.Order{Event: orderer.Limit{Limits: s.config.Limits}})
	if refusal, refused := orderResult(result).(orderer.Unsuitable); committed && refused {
		s.log.Error("store limits refused", zap.String("reason", refusal.Reason))
	}
}

// observe records what upstreams report where it differs from the placement.
// Upstreams with unsettled orders are left until those are settled.
func (s *Supervisor) observe(seen *view, reports map[string]estimator.Report) {
	recorded := 0
	for name, report := range reports {
		upstream, listed := seen.catalog.Upstreams[name]
		if !listed || upstream.Incarnation != report.Incarnation || upstream.Kind != cataloger.EngineUpstream {
			continue
		}
		event, news := observation(seen, report)
		if !news {
			continue
		}
		_, committed := s.propose(applier.Order{Event: event})
		if recorded++; !committed || recorded >= observeAtOnce {
			return
		}
	}
}

// observation gives the event for a report that says something new, or that
// rules out late duplicates.
func observation(seen *view, report estimator.Report) (orderer.Observe, bool) {
	event := orderer.Observe{
		Placement: cataloger.Placement{
			Upstream:    report.Upstream,
			Incarnation: report.Incarnation,
			Models:      slices.Sorted(slices.Values(report.Models)),
			Adapters:    slices.Sorted(slices.Values(report.Adapters)),
			Role:        report.Role,
		},
		LastOrder: report.LastOrder,
		Sequence:  report.Sequence,
		Taken:     report.Taken,
		UsedBytes: report.UsedBytes,
	}
	account := seen.accounts[report.Upstream]
	if account.Incarnation != report.Incarnation {
		return event, true
	}
	if len(account.Unsettled) > 0 || account.Lags(event) {
		return event, false
	}
	differs := !orderer.SamePlacement(event.Placement, seen.catalog.Placements[report.Upstream])
	return event, !account.Observed || differs || account.RulesOut(event)
}

// forget drops upstreams that have not been listed for long. Until then an
// upstream that comes back finds its orders and its memory as they were.
func (s *Supervisor) forget(now time.Time, seen *view) {
	for name, account := range seen.accounts {
		if _, listed := seen.catalog.Upstreams[name]; listed {
			delete(s.gone, name)
			continue
		}
		since, noted := s.gone[name]
		if !noted {
			s.gone[name] = now
			continue
		}
		if now.Before(since.Add(s.config.Settings.Grace)) {
			continue
		}
		s.propose(applier.Order{Event: orderer.Forget{Upstream: name, Incarnation: account.Incarnation}})
		delete(s.gone, name)
	}
}
