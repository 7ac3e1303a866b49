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

// view is the part of the state that a round needs.
type view struct {
	catalog   *cataloger.Catalog
	unsettled []orderer.Order
	limits    orderer.StoreLimits
	nextLoad  time.Time
	// claimExpiry is when the next claim expires; zero if there is none.
	claimExpiry time.Time
	// accounts and reserved are set for plans only.
	accounts map[string]orderer.Account
	reserved map[string]int64
}

// round performs all duties once if this member leads. It reports whether
// orders were committed, which another round sends.
func (s *Supervisor) round(now time.Time) bool {
	if !s.config.Proposer.Status().Leading {
		s.stepDown()
		return false
	}
	planning := !now.Before(s.nextPlan)
	v, ok := s.readState(planning)
	if !ok {
		return false
	}
	s.leading = true
	s.sender.Drive(tasks(v))
	s.settleOrders(v)
	s.expireClaims(now, v)
	if !planning {
		return false
	}
	s.nextPlan = now.Add(s.config.Settings.PlanInterval)
	s.applyLimits(v)
	reports := s.config.Reports()
	s.recordReports(v, reports)
	s.forgetUnlisted(now, v)
	return s.submitMoves(now, reports)
}

// stepDown stops sending orders once another member leads. The planner's state
// is of no use in a later term.
func (s *Supervisor) stepDown() {
	if !s.leading {
		return
	}
	s.leading = false
	s.planState = placer.State{}
	s.nextPlan = time.Time{}
	clear(s.unlistedSince)
	s.sender.Drive(nil)
}

// readState reads the replicated state.
func (s *Supervisor) readState(planning bool) (*view, bool) {
	ctx, cancel := context.WithTimeout(s.ctx, s.config.Settings.ProposeTimeout)
	defer cancel()
	v := &view{}
	err := s.config.Proposer.Read(ctx, func(state *applier.State) { v.fill(state, planning) })
	return v, err == nil
}

func (v *view) fill(state *applier.State, planning bool) {
	orders := state.Orders()
	v.catalog = state.Catalog()
	v.unsettled = orders.Unsettled()
	v.limits = orders.Limits()
	v.nextLoad = orders.NextLoad()
	v.claimExpiry, _ = state.Claims().NextExpiry()
	if !planning {
		return
	}
	v.accounts = orders.Accounts()
	v.reserved = orders.Reserved(v.catalog)
}

// tasks are the orders to listed upstreams. Other orders wait until their
// upstream is listed again or forgotten.
func tasks(v *view) []sender.Task {
	var all []sender.Task
	for _, order := range v.unsettled {
		upstream := v.catalog.Upstreams[order.Upstream]
		if upstream.Incarnation == order.Incarnation {
			all = append(all, sender.Task{Order: order, Address: upstream.Address})
		}
	}
	return all
}

// propose commits a command and reports whether it is known to be committed.
func (s *Supervisor) propose(command applier.Command) (applier.Result, bool) {
	ctx, cancel := context.WithTimeout(s.ctx, s.config.Settings.ProposeTimeout)
	defer cancel()
	applied, err := s.config.Proposer.Propose(ctx, command)
	if err != nil {
		s.log.Debug("proposal failed", zap.Error(err))
		return nil, false
	}
	return applied.Result, true
}

// settleOrders commits the outcomes of unsettled orders and forgets those that
// are committed.
func (s *Supervisor) settleOrders(v *view) {
	unsettled := map[uint64]bool{}
	for _, order := range v.unsettled {
		unsettled[order.ID] = true
	}
	for id, outcome := range s.outcomes {
		if !unsettled[id] {
			delete(s.outcomes, id)
			continue
		}
		if !s.settleOrder(id, outcome) {
			return
		}
	}
}

func (s *Supervisor) settleOrder(id uint64, outcome orderer.Outcome) bool {
	result, committed := s.propose(applier.Order{Event: orderer.Settle{ID: id, Outcome: outcome}})
	if !committed {
		return false
	}
	if refusal, refused := orderResult(result).(orderer.Unsuitable); refused {
		s.log.Debug("settlement refused", zap.Uint64("order", id), zap.String("reason", refusal.Reason))
		return true
	}
	delete(s.outcomes, id)
	s.planBy(time.Now().Add(s.config.Settings.RoundInterval))
	return true
}

func orderResult(result applier.Result) orderer.Result {
	ordered, _ := result.(applier.OrderResult)
	return ordered.Result
}

// expireClaims commits the expiry of claims once one is due. Claims expire on
// access anyway, so that this only frees the memory of the others.
func (s *Supervisor) expireClaims(now time.Time, v *view) {
	if v.claimExpiry.IsZero() || now.Before(v.claimExpiry) || now.Before(s.nextClaimExpiry) {
		return
	}
	s.nextClaimExpiry = now.Add(minExpireInterval)
	s.propose(applier.Claim{Event: claimer.Expire{}})
}

// applyLimits sets the store's limits if others are in force.
func (s *Supervisor) applyLimits(v *view) {
	if v.limits == s.config.Limits {
		return
	}
	result, committed := s.propose(applier.Order{Event: orderer.Limit{Limits: s.config.Limits}})
	if refusal, refused := orderResult(result).(orderer.Unsuitable); committed && refused {
		s.log.Error("store limits refused", zap.String("reason", refusal.Reason))
	}
}

// recordReports records reports that differ from the placement. Upstreams with
// unsettled orders are skipped until those are settled.
func (s *Supervisor) recordReports(v *view, reports map[string]estimator.Report) {
	recorded := 0
	for name, report := range reports {
		upstream, listed := v.catalog.Upstreams[name]
		if !listed || upstream.Incarnation != report.Incarnation || upstream.Kind != cataloger.EngineUpstream {
			continue
		}
		event, changed := observation(v, report)
		if !changed {
			continue
		}
		_, committed := s.propose(applier.Order{Event: event})
		if recorded++; !committed || recorded >= maxObservations {
			return
		}
	}
}

// observation returns the event for a report, and whether it says anything new
// or rules out late duplicates.
func observation(v *view, report estimator.Report) (orderer.Observe, bool) {
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
	account := v.accounts[report.Upstream]
	if account.Incarnation != report.Incarnation {
		return event, true
	}
	if len(account.Unsettled) > 0 || account.Lags(event) {
		return event, false
	}
	differs := !orderer.SamePlacement(event.Placement, v.catalog.Placements[report.Upstream])
	return event, !account.Observed || differs || account.RulesOut(event)
}

// forgetUnlisted forgets upstreams that have been unlisted for ForgetDelay. An
// upstream that returns before keeps its orders and its memory account.
func (s *Supervisor) forgetUnlisted(now time.Time, v *view) {
	for name, account := range v.accounts {
		if _, listed := v.catalog.Upstreams[name]; listed {
			delete(s.unlistedSince, name)
			continue
		}
		since, known := s.unlistedSince[name]
		if !known {
			s.unlistedSince[name] = now
			continue
		}
		if now.Before(since.Add(s.config.Settings.ForgetDelay)) {
			continue
		}
		s.propose(applier.Order{Event: orderer.Forget{Upstream: name, Incarnation: account.Incarnation}})
		delete(s.unlistedSince, name)
	}
}
