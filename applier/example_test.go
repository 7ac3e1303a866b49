package applier_test

import (
	"fmt"
	"time"
)

// ExampleState shows two operators who send changes with the same request ID,
// based on the same revision, and the first one resending its change.
func ExampleState() {
	m := newMachine()
	fmt.Printf("%T\n", m.apply(change("anna", "1", 0, putClass("chat", time.Second))).Result)
	fmt.Printf("%T\n", m.apply(change("bea", "1", 0, putClass("chat", time.Minute))).Result)
	fmt.Printf("%T\n", m.apply(change("anna", "1", 0, putClass("chat", time.Second))).Result)
	// Output:
	// applier.Accepted
	// applier.Conflict
	// applier.Accepted
}
