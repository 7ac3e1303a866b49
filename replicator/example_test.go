package replicator_test

import (
	"fmt"
	"time"

	"burdocklink/replicator"
)

// A driver passes events to Step and carries out the returned output. This group
// has one member, whose writes are synced immediately.
func Example() {
	id := replicator.Identity{Name: "a", Disk: "1"}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	members := []replicator.Member{{ID: id, Role: replicator.Voter}}
	hardState, entries := replicator.Bootstrap("group", members, now)
	core := replicator.New(replicator.Settings{
		ID:        id,
		Timing:    replicator.Timing{Heartbeat: 100e6, ElectionMin: 600e6, ElectionMax: 1200e6, Lease: 500e6},
		HardState: hardState,
		Entries:   entries,
	}, now)
	events := []replicator.Event{replicator.Tick{}, replicator.Propose{Data: [][]byte{[]byte("hello")}}}
	for _, event := range events {
		out := core.Step(event, now)
		for out.Write != nil {
			out = core.Step(replicator.Synced{Sequence: out.Write.Sequence}, now)
			for _, entry := range out.Apply {
				fmt.Printf("%d %T\n", entry.Index, entry.Payload)
			}
		}
	}
	// Output:
	// 1 replicator.Reconfigured
	// 2 replicator.NoOp
	// 3 replicator.Opaque
}
