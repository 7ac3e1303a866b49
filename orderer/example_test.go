package orderer_test

import (
	"fmt"
	"testing"

	"burdocklink/orderer"
)

// ExampleLedger shows an order from its Submit to the resulting placement, and
// the refusal to unload the only copy.
func ExampleLedger() {
	h := newHarness(&testing.T{}, true)
	id := h.order("e", orderer.LoadModel{Model: "n"})
	fmt.Println(h.settle(id, orderer.OutcomeDone).(orderer.Recorded).Placement.Models)
	fmt.Printf("%T\n", h.submit("e", orderer.UnloadModel{Model: "n"}))
	// Output:
	// [n]
	// orderer.LastCopy
}
