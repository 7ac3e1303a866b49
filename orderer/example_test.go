package orderer_test

import (
	"fmt"
	"testing"

	"burdocklink/orderer"
)

// ExampleLedger shows an order from its Submit to the resulting placement, and
// the refusal to unload the only copy.
func ExampleLedger() {
	s := newHarness(&testing.T{}, true)
	id := s.order("e", orderer.LoadModel{Model: "n"})
	fmt.Println(s.settle(id, orderer.OutcomeDone).(orderer.Recorded).Placement.Models)
	fmt.Printf("%T\n", s.submit("e", orderer.UnloadModel{Model: "n"}))
	// Output:
	// [n]
	// orderer.LastCopy
}
