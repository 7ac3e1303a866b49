package claimer_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/claimer"
)

var start = time.Date(2030, 1, 2, 12, 0, 0, 0, time.UTC)

func key(name string) claimer.Key { return claimer.Key{Subscriber: "carbono", Name: name} }

func open(name, attempt string, at time.Time) claimer.Open {
	return claimer.Open{Key: key(name), Attempt: attempt, Entry: "entry", Deadline: at.Add(time.Minute), Issued: start}
}

// timedEvent is an event at an offset from the start.
type timedEvent struct {
	offset time.Duration
	event  claimer.Event
}

func TestResults(t *testing.T) {
	a, b := open("k", "a", start), open("k", "b", start.Add(time.Second))
	answer := claimer.Answer{Status: 201, Body: []byte("certificate 7")}
	finish := claimer.Finish{Key: a.Key, Attempt: "a", Answer: answer}
	release := claimer.Release{Key: a.Key, Attempt: "a"}
	otherDigest := b
	otherDigest.Digest = [32]byte{9}
	late, undated := open("k", "c", start.Add(30*time.Hour)), open("k", "d", start.Add(30*time.Hour))
	undated.Issued = time.Time{}
	future := open("k", "a", start)
	future.Issued = start.Add(time.Hour)
	big := claimer.Finish{Key: a.Key, Attempt: "a", Answer: claimer.Answer{Body: make([]byte, claimer.MaxAnswerBytes+1)}}
	horizon := start.Add(30*time.Hour + claimer.ClockMargin - claimer.ClaimRetention)
	tests := map[string]struct {
		events []timedEvent
		want   claimer.Result
	}{
		"granted":                        {[]timedEvent{{0, a}}, claimer.Granted{Deadline: a.Deadline}},
		"repeat is granted again":        {[]timedEvent{{0, a}, {1, a}}, claimer.Granted{Deadline: a.Deadline}},
		"another attempt is pending":     {[]timedEvent{{0, a}, {1, b}}, claimer.Pending{Deadline: a.Deadline}},
		"another digest is a mismatch":   {[]timedEvent{{0, a}, {1, otherDigest}}, claimer.Mismatch{}},
		"answer is repeated":             {[]timedEvent{{0, a}, {1, finish}, {2, b}}, claimer.Answered{Answer: answer}},
		"answer is repeated to self":     {[]timedEvent{{0, a}, {1, finish}, {2, a}}, claimer.Answered{Answer: answer}},
		"large answer is not stored":     {[]timedEvent{{0, a}, {1, big}, {2, b}}, claimer.AnswerDropped{}},
		"answer expires":                 {[]timedEvent{{0, a}, {1, finish}, {claimer.AnswerRetention + 1, b}}, claimer.AnswerDropped{}},
		"released goes to another":       {[]timedEvent{{0, a}, {1, release}, {2, b}}, claimer.Granted{Deadline: b.Deadline}},
		"released attempt is stale":      {[]timedEvent{{0, a}, {1, release}, {2, a}}, claimer.Stale{}},
		"release is repeated":            {[]timedEvent{{0, a}, {1, release}, {2, b}, {3, release}}, claimer.Recorded{}},
		"release of another is stale":    {[]timedEvent{{0, a}, {1, claimer.Release{Key: a.Key, Attempt: "b"}}}, claimer.Stale{}},
		"late open after record expired": {[]timedEvent{{0, a}, {1, release}, {time.Minute, a}}, claimer.Overdue{}},
		"unknown after deadline":         {[]timedEvent{{0, a}, {time.Minute, b}}, claimer.Unknown{}},
		"release after deadline":         {[]timedEvent{{0, a}, {time.Minute, release}}, claimer.Stale{}},
		"marked unknown":                 {[]timedEvent{{0, a}, {1, claimer.MarkUnknown{Key: a.Key, Attempt: "a"}}, {2, b}}, claimer.Unknown{}},
		"late finish replaces unknown":   {[]timedEvent{{0, a}, {time.Minute, claimer.Expire{}}, {2 * time.Minute, finish}, {3 * time.Minute, b}}, claimer.Answered{Answer: answer}},
		"finish of another is stale":     {[]timedEvent{{0, a}, {1, claimer.Finish{Key: a.Key, Attempt: "b"}}}, claimer.Stale{}},
		"expired, issue time known":      {[]timedEvent{{0, a}, {1, finish}, {30 * time.Hour, late}}, claimer.TooOld{Horizon: horizon}},
		"expired, issue time unknown":    {[]timedEvent{{0, a}, {1, finish}, {30 * time.Hour, undated}}, claimer.Granted{Deadline: undated.Deadline}},
		"issued in the future":           {[]timedEvent{{0, future}}, claimer.Invalid{Reason: "issued in the future"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := claimer.New()
			var last claimer.Result
			for _, step := range test.events {
				last = table.Apply(start.Add(step.offset), step.event)
				table = claimer.Restore(table.Records(), table.Serial())
			}
			assert.DeepEqual(t, last, test.want)
		})
	}
}

func TestTableIsBounded(t *testing.T) {
	table := claimer.New()
	for n := range claimer.MaxClaims {
		result := table.Apply(start, open(fmt.Sprint(n), "a", start))
		assert.Assert(t, result == claimer.Granted{Deadline: start.Add(time.Minute)})
	}
	assert.DeepEqual(t, table.Apply(start, open("more", "a", start)), claimer.Full{Retry: start.Add(time.Minute)})
	later := start.Add(25 * time.Hour)
	table.Apply(later, claimer.Expire{})
	assert.Equal(t, table.Len(), 0)
}

func TestStoredAnswersAreBounded(t *testing.T) {
	table := claimer.New()
	body := make([]byte, claimer.MaxAnswerBytes)
	count := claimer.MaxStoredBytes/claimer.MaxAnswerBytes + 3
	for n := range count {
		table.Apply(start, open(fmt.Sprint(n), "a", start))
		table.Apply(start, claimer.Finish{Key: key(fmt.Sprint(n)), Attempt: "a", Answer: claimer.Answer{Body: body}})
		assert.Assert(t, table.StoredBytes() <= claimer.MaxStoredBytes)
	}
	assert.DeepEqual(t, table.Apply(start, open("0", "b", start)), claimer.AnswerDropped{})
	_, stored := table.Apply(start, open(fmt.Sprint(count-1), "b", start)).(claimer.Answered)
	assert.Assert(t, stored)
}

func TestGroupsShareKeysEvenly(t *testing.T) {
	const groups, keys = 5, 10_000
	counts := [groups]int{}
	moved := 0
	for n := range keys {
		group := claimer.GroupOf(key(fmt.Sprint(n)), groups)
		counts[group]++
		if claimer.GroupOf(key(fmt.Sprint(n)), groups+1) != group {
			moved++
		}
	}
	for _, count := range counts {
		assert.Assert(t, count > keys/groups*9/10 && count < keys/groups*11/10, "%v", counts)
	}
	assert.Assert(t, moved < keys/groups, "%d keys moved", moved)
	assert.Equal(t, claimer.GroupOf(key("k"), 0), 0)
}

// ExampleTable shows a claim from the grant to the answered resend.
func ExampleTable() {
	table := claimer.New()
	fmt.Printf("%T\n", table.Apply(start, open("k", "a", start)))
	table.Apply(start, claimer.Finish{Key: key("k"), Attempt: "a", Answer: claimer.Answer{Status: 201}})
	fmt.Println(table.Apply(start, open("k", "b", start)).(claimer.Answered).Answer.Status)
	// Output:
	// claimer.Granted
	// 201
}

func BenchmarkOpenAndFinish(b *testing.B) {
	table := claimer.New()
	now := start
	answer := claimer.Answer{Status: 200, Body: make([]byte, 512)}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		now = now.Add(time.Second)
		claim := open(fmt.Sprint(n), "a", now)
		claim.Issued = now
		table.Apply(now, claim)
		table.Apply(now, claimer.Finish{Key: claim.Key, Attempt: "a", Answer: answer})
	}
}

// BenchmarkMemory measures the memory of one claim with and without an answer.
func BenchmarkMemory(b *testing.B) {
	const claims = 50_000
	for name, body := range map[string]int{"without answer": 0, "answer of 512": 512} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				table := claimer.New()
				for n := range claims {
					claim := open(fmt.Sprintf("booking-%030d", n), fmt.Sprintf("entry-1/%d", n), start)
					table.Apply(start, claim)
					if body > 0 {
						answer := claimer.Answer{Body: make([]byte, body)}
						table.Apply(start, claimer.Finish{Key: claim.Key, Attempt: claim.Attempt, Answer: answer})
					}
				}
				b.ReportMetric(float64(heapBytes()-before)/claims, "bytes/claim")
				runtime.KeepAlive(table)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
