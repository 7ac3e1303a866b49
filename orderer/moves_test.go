package orderer_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"burdocklink/orderer"
)

func TestMovesCountsOnlyDoneOrders(t *testing.T) {
	h := newHarness(t, true)
	h.carryOut("e", orderer.LoadModel{Model: "m"})
	refused := h.order("e", orderer.LoadModel{Model: "n"})
	h.settle(refused, orderer.OutcomeRefused)
	h.settle(refused, orderer.OutcomeDone)

	assert.Equal(t, h.ledger.Moves(), uint64(1))
	assert.Equal(t, orderer.Restore(h.ledger.Snapshot()).Moves(), uint64(1))
}
