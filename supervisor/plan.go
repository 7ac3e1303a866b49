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

// intend plans on the state as it is now and commits the moves in their order.
// It reports whether any was committed.
func (s *Supervisor) intend(now time.Time, reports map[string]estimator.Report) bool {
	seen, ok := s.look(true)
	if !ok {
		return false
	}
	output := s.config.Planner.Plan(placer.Input{
		Now:       now,
		Catalog:   seen.catalog,
		Unsettled: seen.unsettled,
		Reserved:  seen.reserved,
		Reports:   reports,
		Demands:   s.config.Demands(),
		Limits:    seen.limits,
		NextLoad:  seen.nextLoad,
		State:     s.plan,
	})
	s.plan = output.State
	sent := false
	for _, move := range output.Moves {
		committed, next := s.intendOne(move)
		sent = sent || committed
		if !next {
			break
		}
	}
	return sent
}

// planAt brings the next plan forward, as to when the store has room again.
func (s *Supervisor) planAt(at time.Time) {
	if at.Before(s.nextPlan) {
		s.nextPlan = at
	}
}

// intendOne commits one move and reports whether it is committed and whether
// the next one may follow. A refused move is dropped: the next plan decides
// anew. Loads that the store has no room for wait, and so does all that comes
// after them.
func (s *Supervisor) intendOne(move placer.Move) (committed, next bool) {
	event := orderer.Intend{
		Token: uuid.NewString(),
		Order: orderer.Order{
			Upstream:    move.Upstream,
			Incarnation: move.Incarnation,
			Work:        move.Work,
			NotAfter:    time.Now().Add(s.config.Settings.OrderLife),
		},
	}
	result, known := s.tryIntend(event)
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
		s.planAt(result.Retry)
		return false, false
	default:
		s.log.Debug("move refused", zap.String("upstream", move.Upstream), zap.Any("refusal", result))
		return false, true
	}
}

// tryIntend proposes an intent unless the state at hand refuses it already: a
// move that has to wait would otherwise be written to the log at every plan.
func (s *Supervisor) tryIntend(event orderer.Intend) (orderer.Result, bool) {
	ctx, cancel := context.WithTimeout(s.ctx, s.config.Settings.Propose)
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
