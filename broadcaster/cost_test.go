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

// processorTime is what this process has used.
func processorTime(t testing.TB) time.Duration {
	t.Helper()
	var used unix.Rusage
	assert.NilError(t, unix.Getrusage(unix.RUSAGE_SELF, &used))
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// BenchmarkNotes gives the processor time that a grown site's notes take, both
// ends together: an entry has 13 requests a second and tells 24 others, and is
// told by as many.
func BenchmarkNotes(b *testing.B) {
	const entries, told, perSecond = 25, 24, 13
	var all []*entry
	var heard atomic.Int64
	for at := range entries {
		all = append(all, newEntryThat(b, fmt.Sprint(at), func() { heard.Add(1) }))
	}
	for _, one := range all {
		var others []string
		for _, other := range all {
			if other != one {
				others = append(others, other.address)
			}
		}
		one.notes.Meet(others)
	}
	for heard.Load() < entries*told {
		time.Sleep(time.Millisecond)
	}
	request := router.Request{Service: "s", PromptTokens: 100}
	choice := router.Choice{Upstream: "e1", Incarnation: "e1@1"}
	before, notes, began := processorTime(b), heard.Load(), time.Now()
	for b.Loop() {
		for _, one := range all {
			one.router.Started(choice, &request, time.Now())
			time.AfterFunc(300*time.Millisecond, func() {
				one.router.Finished(choice, router.Sample{Ended: time.Now(), Work: request.Work(), Outcome: router.OutcomeFinished})
			})
			time.Sleep(time.Second / perSecond / entries)
		}
	}
	used := processorTime(b) - before
	seconds := time.Since(began).Seconds()
	b.ReportMetric(float64(heard.Load()-notes)/seconds/entries, "notes/entry/s")
	b.ReportMetric(float64(used.Microseconds())/float64(heard.Load()-notes), "us/note")
	b.ReportMetric(1000*used.Seconds()/seconds/entries, "mcores/entry")
}
