package supervisor

import (
	"context"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"burdocklink/applier"
	"burdocklink/estimator"
	"burdocklink/orderer"
	"burdocklink/placer"
)

// submitMoves plans on the current state and commits the moves in order. It
// reports whether any was committed.
func (s *Supervisor) submitMoves(now time.Time, reports map[string]estimator.Report) bool {
	v, ok := s.readState(true)
	if !ok {
		return false
	}
	output := s.config.Planner.Plan(placer.Input{
		Now:       now,
		Catalog:   v.catalog,
		Unsettled: v.unsettled,
		Reserved:  v.reserved,
		Reports:   reports,
		Demands:   s.config.Demands(),
		Limits:    v.limits,
		NextLoad:  v.nextLoad,
		State:     s.planState,
	})
	s.planState = output.State
	submitted := false
	for _, move := range output.Moves {
		committed, proceed := s.submitMove(move)
		submitted = submitted || committed
		if !proceed {
			break
		}
	}
	return submitted
}

// planBy brings the next plan forward, as to when the weight store admits loads
// again.
func (s *Supervisor) planBy(at time.Time) {
	if at.Before(s.nextPlan) {
		s.nextPlan = at
	}
}

// submitMove commits a move and reports whether it was committed and whether
// the next one may follow. A refused move is dropped, since the next plan
// decides again. Loads beyond the store's limits wait, as do all moves after
// them.
func (s *Supervisor) submitMove(move placer.Move) (committed, proceed bool) {
	event := orderer.Submit{
		Token: uuid.NewString(),
		Order: orderer.Order{
			Upstream:    move.Upstream,
			Incarnation: move.Incarnation,
			Work:        move.Work,
			NotAfter:    time.Now().Add(s.config.Settings.OrderLifetime),
		},
	}
	result, known := s.submit(event)
	if !known {
		return false, false
	}
	switch result := result.(type) {
	case orderer.Committed:
		s.log.Info("order committed",
			zap.Uint64("order", result.Order.ID), zap.String("upstream", move.Upstream),
			zap.Any("work", move.Work), zap.Int("reason", int(move.Reason)))
		return true, true
	case orderer.StoreFull:
		s.planBy(result.Retry)
		return false, false
	default:
		s.log.Debug("move refused", zap.String("upstream", move.Upstream), zap.Any("refusal", result))
		return false, true
	}
}

// submit proposes an order unless the current state already refuses it.
// Otherwise a move that has to wait would be written to the log with every
// plan.
func (s *Supervisor) submit(event orderer.Submit) (orderer.Result, bool) {
	ctx, cancel := context.WithTimeout(s.ctx, s.config.Settings.ProposeTimeout)
	defer cancel()
	var refusal orderer.Result
	err := s.config.Proposer.Read(ctx, func(state *applier.State) {
		refusal = state.Orders().Refusal(time.Now(), state.Catalog(), event)
	})
	if err != nil || refusal != nil {
		return refusal, err == nil
	}
	result, known := s.propose(applier.Order{Event: event})
	return orderResult(result), known
}
