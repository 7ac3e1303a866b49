package broadcaster_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"burdocklink/router"
)

// cpuTime returns the CPU time used by this process.
func cpuTime(t testing.TB) time.Duration {
	t.Helper()
	var used unix.Rusage
	assert.NilError(t, unix.Getrusage(unix.RUSAGE_SELF, &used))
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// BenchmarkNotes measures the CPU time of notes on a large site, both ends together:
// each entry receives 13 requests per second and exchanges notes with 24 others.
func BenchmarkNotes(b *testing.B) {
	const entries, peers, perSecond = 25, 24, 13
	var all []*entry
	var received atomic.Int64
	for i := range entries {
		all = append(all, newEntryWithWake(b, fmt.Sprint(i), func() { received.Add(1) }))
	}
	for _, e := range all {
		var others []string
		for _, other := range all {
			if other != e {
				others = append(others, other.address)
			}
		}
		e.sender.SetPeers(others)
	}
	for received.Load() < entries*peers {
		time.Sleep(time.Millisecond)
	}
	request := router.Request{Service: "s", PromptTokens: 100}
	choice := router.Choice{Upstream: "e1", Incarnation: "e1@1"}
	cpuBefore, receivedBefore, startedAt := cpuTime(b), received.Load(), time.Now()
	for b.Loop() {
		for _, e := range all {
			e.router.Started(choice, &request, time.Now())
			time.AfterFunc(300*time.Millisecond, func() {
				e.router.Finished(choice, router.Sample{Ended: time.Now(), Size: request.Size(), Outcome: router.OutcomeFinished})
			})
			time.Sleep(time.Second / perSecond / entries)
		}
	}
	used := cpuTime(b) - cpuBefore
	seconds := time.Since(startedAt).Seconds()
	b.ReportMetric(float64(received.Load()-receivedBefore)/seconds/entries, "notes/entry/s")
	b.ReportMetric(float64(used.Microseconds())/float64(received.Load()-receivedBefore), "us/note")
	b.ReportMetric(1000*used.Seconds()/seconds/entries, "mcores/entry")
}
