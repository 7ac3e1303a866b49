package router

import (
	"fmt"
	"testing"
	"time"

	"burdocklink/estimator"
)

// BenchmarkLoadChanges measures the search for own dispatches to share.
func BenchmarkLoadChanges(b *testing.B) {
	for _, size := range []int{140, 1400, 7400} {
		r := New(Settings{})
		r.Update(fleetCatalog(b, size))
		request := newRequest(1)
		choice, err := r.Choose(epoch, request)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("none/servers-%d", size), func(b *testing.B) {
			r.LoadChanges()
			b.ReportAllocs()
			for b.Loop() {
				r.LoadChanges()
			}
		})
		b.Run(fmt.Sprintf("one dispatch/servers-%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.Started(choice, request, epoch)
				r.LoadChanges()
				r.Finished(choice, Sample{Ended: epoch, Size: request.Size(), Outcome: OutcomeFinished})
			}
		})
		b.Run(fmt.Sprintf("loads/servers-%d", size), func(b *testing.B) {
			r.Started(choice, request, epoch)
			b.ReportAllocs()
			for b.Loop() {
				r.Loads()
			}
		})
	}
}

// BenchmarkMergeLoads measures merging the load of one of 24 other entries.
func BenchmarkMergeLoads(b *testing.B) {
	const peers, busy = 24, 10
	for _, size := range []int{140, 1400, 7400} {
		for name, complete := range map[string]bool{"one": false, "complete": true} {
			b.Run(fmt.Sprintf("%s/servers-%d", name, size), func(b *testing.B) {
				r := New(Settings{})
				r.Update(fleetCatalog(b, size))
				var loads []Load
				for at := range busy {
					loads = append(loads, Load{Upstream: fmt.Sprintf("e%d", at), Incarnation: "1", EntryLoad: estimator.EntryLoad{Requests: 1, KVCacheTokens: 100}})
				}
				if !complete {
					loads = loads[:1]
				}
				now := time.Now()
				round := 0
				b.ReportAllocs()
				for b.Loop() {
					round++
					r.MergeLoads(now, fmt.Sprintf("entry-%d", round%peers), loads, complete)
				}
			})
		}
	}
}
