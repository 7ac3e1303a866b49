package applier_test

import (
	"fmt"
	"testing"
	"time"

	"burdocklink/applier"
	"burdocklink/cataloger"
	"burdocklink/orderer"
)

// newMachineWithEngines returns a machine whose catalog lists the given number
// of engines and whose ledger has a report of the first two.
func newMachineWithEngines(engines int) *machine {
	m := newMachine()
	m.apply(applier.Watch{Changes: []cataloger.Change{cataloger.PutModel{Model: cataloger.Model{
		Name: "m", Service: "s", MemoryBytes: 1, Version: "1",
	}}}})
	var steps []cataloger.Change
	for index := range engines {
		steps = append(steps, cataloger.PutUpstream{Upstream: cataloger.Upstream{
			Name: fmt.Sprintf("e%05d", index), Incarnation: "i", Address: "127.0.0.1:1", Service: "s",
			Kind: cataloger.EngineUpstream, State: cataloger.UpstreamLive, MemoryBytes: 80, ChecksFence: true,
		}})
	}
	m.apply(applier.Watch{Changes: steps})
	for index, models := range [][]string{nil, {"m"}} {
		m.apply(applier.Order{Event: orderer.Observe{
			Placement: cataloger.Placement{Upstream: fmt.Sprintf("e%05d", index), Incarnation: "i", Models: models},
			Sequence:  1,
			Taken:     m.now,
		}})
	}
	return m
}

// BenchmarkChange measures an operator's change for different fleet sizes.
func BenchmarkChange(b *testing.B) {
	for _, engines := range []int{15, 7400} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			m := newMachineWithEngines(engines)
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				m.apply(change("anna", fmt.Sprint(n), applier.AnyRevision, putClass("chat", time.Duration(n))))
			}
		})
	}
}

// BenchmarkOrder measures a load, an unload and their settlement for different
// fleet sizes.
func BenchmarkOrder(b *testing.B) {
	for _, engines := range []int{15, 7400} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			m := newMachineWithEngines(engines)
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				for _, work := range []orderer.Work{orderer.LoadModel{Model: "m"}, orderer.UnloadModel{Model: "m"}} {
					m.now = m.now.Add(10 * time.Second)
					m.apply(applier.Order{Event: orderer.Submit{Token: fmt.Sprintf("%d%T", n, work), Order: orderer.Order{
						Upstream: "e00000", Incarnation: "i", Work: work, NotAfter: m.now.Add(time.Minute),
					}}})
					m.apply(applier.Order{Event: orderer.Settle{ID: m.next, Outcome: orderer.OutcomeDone}})
				}
			}
		})
	}
}
