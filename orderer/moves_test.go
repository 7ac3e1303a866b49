package orderer_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"burdocklink/orderer"
)

func TestMovesCountsOnlyDoneOrders(t *testing.T) {
	s := newHarness(t, true)
	s.carryOut("e", orderer.LoadModel{Model: "m"})
	refused := s.order("e", orderer.LoadModel{Model: "n"})
	s.settle(refused, orderer.OutcomeRefused)
	s.settle(refused, orderer.OutcomeDone)

	assert.Equal(t, s.ledger.Moves(), uint64(1))
	assert.Equal(t, orderer.Restore(s.ledger.Snapshot()).Moves(), uint64(1))
}
