package prover_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/prover"
)

// at returns a fixed time plus the given seconds.
func at(seconds int) time.Time {
	return time.Unix(1_700_000_000, 0).Add(time.Duration(seconds) * time.Second)
}

// testLimits are the limits for the records in this file.
var testLimits = prover.Limits{Leave: 5 * time.Second, InForce: 5 * time.Second, Restore: 30 * time.Second}

// answer returns a complete answer of a request that ran, modified by change.
func answer(change func(*prover.Answer)) prover.Answer {
	made := prover.Answer{
		Request:  "r1",
		Entry:    "entry-1",
		Sent:     at(0),
		Ended:    at(10),
		Outcome:  "ran",
		Complete: true,
		Text:     "two words",
		Want:     "two words",
	}
	change(&made)
	return made
}

func unchanged(*prover.Answer) {}

func bookingRun(request string, second int) prover.Run {
	return prover.Run{
		Upstream:        "naptar-1",
		Request:         request,
		Subscriber:      "couple",
		Key:             "k1",
		RepeatForbidden: true,
		At:              at(second),
	}
}

func TestCheckReportsViolations(t *testing.T) {
	run := prover.Run{Upstream: "engine-1", Incarnation: "a", Request: "r1", At: at(1)}
	lost := prover.Loss{At: at(2), Upstream: "engine-1", Held: []string{"torta"}}
	keyed := func(outcome, request string, ended int) prover.Answer {
		return answer(func(a *prover.Answer) {
			a.Request, a.Outcome, a.Ended = request, outcome, at(ended)
			a.Subscriber, a.Key = "couple", "k1"
			a.Refused = outcome != "ran"
		})
	}
	tests := map[string]struct {
		records []prover.Record
		want    []string
	}{
		"no records": {nil, nil},
		"no violations": {[]prover.Record{
			run, answer(unchanged), lost,
			prover.Memory{UsedBytes: 5, MemoryBytes: 5},
			prover.Shutdown{At: at(5), Entry: "entry-1"},
		}, nil},

		"memory overcommitted": {[]prover.Record{prover.Memory{UsedBytes: 6, MemoryBytes: 5}},
			[]string{"MemoryOvercommitted"}},

		"copy gone without loss": {[]prover.Record{
			prover.Copies{At: at(1), Name: "torta", Count: 1},
			prover.Copies{At: at(3), Name: "torta"},
		}, []string{"Unreachable"}},
		"copy lost and restored": {[]prover.Record{
			prover.Copies{At: at(1), Name: "torta", Count: 1}, lost,
			prover.Copies{At: at(30), Name: "torta"},
			prover.Copies{At: at(31), Name: "torta", Count: 1},
		}, nil},
		"copy lost and not restored": {[]prover.Record{
			prover.Copies{At: at(1), Name: "torta", Count: 1}, lost,
			prover.Copies{At: at(33), Name: "torta"},
		}, []string{"Unreachable"}},
		"copy gone after loss of another model": {[]prover.Record{
			prover.Copies{At: at(1), Name: "krem", Count: 1}, lost,
			prover.Copies{At: at(3), Name: "krem"},
		}, []string{"Unreachable"}},
		"not loaded yet": {[]prover.Record{prover.Copies{At: at(1), Name: "torta"}}, nil},

		"truncated answer marked complete": {[]prover.Record{run,
			answer(func(a *prover.Answer) { a.Text = "two" })}, []string{"WrongAnswer"}},
		"truncated answer not marked complete": {[]prover.Record{run,
			answer(func(a *prover.Answer) { a.Text, a.Complete = "two", false })}, nil},
		"answer with a gap": {[]prover.Record{run,
			answer(func(a *prover.Answer) { a.Text, a.Complete = "words", false })}, []string{"WrongAnswer"}},
		"another caller's answer": {[]prover.Record{run,
			answer(func(a *prover.Answer) { a.Text = "other text" })}, []string{"WrongAnswer"}},

		"not run, but ran":          {[]prover.Record{bookingRun("r1", 1), keyed("not-run", "r1", 0)}, []string{"FalseOutcome"}},
		"not run, but ran earlier":  {[]prover.Record{bookingRun("r0", 1), keyed("not-run", "r1", 10)}, []string{"FalseOutcome"}},
		"not run, resent and ran":   {[]prover.Record{bookingRun("r2", 20), keyed("not-run", "r1", 10)}, nil},
		"ran, but without a run":    {[]prover.Record{keyed("ran", "r1", 10)}, []string{"FalseOutcome"}},
		"stored answer of a resend": {[]prover.Record{bookingRun("r1", 1), keyed("ran", "r2", 10)}, nil},
		"unknown, and ran":          {[]prover.Record{bookingRun("r1", 1), keyed("unknown", "r1", 10)}, nil},

		"key ran twice": {[]prover.Record{bookingRun("r1", 1), bookingRun("r2", 2)}, []string{"RepeatedRun"}},
		"run twice without key": {[]prover.Record{
			prover.Run{Request: "r1", RepeatForbidden: true, At: at(1)},
			prover.Run{Request: "r1", RepeatForbidden: true, At: at(2)},
		}, []string{"RepeatedRun"}},
		"same key of two subscribers": {[]prover.Record{bookingRun("r1", 1),
			prover.Run{Request: "r2", Subscriber: "clerk", Key: "k1", RepeatForbidden: true}}, nil},
		"repeatable ran twice": {[]prover.Record{run, run}, nil},

		"new work after leaving": {[]prover.Record{
			prover.Leaving{At: at(1), Upstream: "engine-1", Incarnation: "a"},
			prover.Run{Upstream: "engine-1", Incarnation: "a", At: at(7)},
		}, []string{"LateDispatch"}},
		"new work within the limit, and at the next incarnation": {[]prover.Record{
			prover.Leaving{At: at(1), Upstream: "engine-1", Incarnation: "a"},
			prover.Run{Upstream: "engine-1", Incarnation: "a", At: at(6)},
			prover.Run{Upstream: "engine-1", Incarnation: "b", At: at(60)},
		}, nil},

		"cut by shutdown": {[]prover.Record{run,
			prover.Shutdown{At: at(5), Entry: "entry-1"},
			answer(func(a *prover.Answer) { a.Text, a.Complete = "two", false }),
		}, []string{"CutByShutdown"}},
		"cut before the shutdown, or at another entry": {[]prover.Record{run,
			prover.Shutdown{At: at(11), Entry: "entry-1"},
			prover.Shutdown{At: at(5), Entry: "entry-2"},
			answer(func(a *prover.Answer) { a.Text, a.Complete = "two", false }),
		}, nil},

		"not in force in time": {[]prover.Record{
			prover.Accepted{At: at(1), Request: "1", Revision: 7, Based: 6},
			prover.Revision{At: at(7), Entry: "entry-1", Revision: 6, Lacks: 7},
		}, []string{"NotInForce"}},
		"in force in time": {[]prover.Record{
			prover.Accepted{At: at(1), Request: "1", Revision: 7, Based: 6},
			prover.Revision{At: at(5), Entry: "entry-1", Revision: 6, Lacks: 7},
			prover.Revision{At: at(7), Entry: "entry-1", Revision: 7},
		}, nil},
		"reverted after a restart": {[]prover.Record{
			prover.Revision{At: at(2), Entry: "entry-1", Revision: 7},
			prover.Revision{At: at(3), Entry: "entry-1", Revision: 6, Lacks: 7},
		}, []string{"Reverted"}},
		"lower revision without a missing one": {[]prover.Record{
			prover.Revision{At: at(2), Entry: "entry-1", Revision: 7},
			prover.Revision{At: at(3), Entry: "entry-1", Revision: 6, Lacks: 8},
		}, nil},

		"two changes on one base revision": {[]prover.Record{
			prover.Accepted{At: at(1), Operator: "a", Request: "1", Based: 6, Revision: 7},
			prover.Accepted{At: at(1), Operator: "b", Request: "1", Based: 6, Revision: 8},
		}, []string{"DoublyAccepted"}},
		"resent change accepted as new": {[]prover.Record{
			prover.Accepted{At: at(1), Operator: "a", Request: "1", Based: prover.Unbased, Revision: 7},
			prover.Accepted{At: at(2), Operator: "a", Request: "1", Based: prover.Unbased, Revision: 8},
		}, []string{"DoublyAccepted"}},
		"resent change with the first reply": {[]prover.Record{
			prover.Accepted{At: at(1), Operator: "a", Request: "1", Based: 6, Revision: 7},
			prover.Accepted{At: at(2), Operator: "a", Request: "1", Based: 6, Revision: 7},
		}, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var kinds []string
			for _, violation := range prover.Check(test.records, testLimits) {
				kinds = append(kinds, fmt.Sprintf("%T", violation)[len("prover."):])
			}
			assert.DeepEqual(t, kinds, test.want)
		})
	}
}

func ExampleCheck() {
	records := []prover.Record{
		prover.Memory{Upstream: "engine-1", Incarnation: "a", UsedBytes: 90, MemoryBytes: 80},
	}
	for _, violation := range prover.Check(records, prover.Limits{}) {
		fmt.Println(violation)
	}
	// Output: memory overcommitted: {Upstream:engine-1 Incarnation:a UsedBytes:90 MemoryBytes:80}
}
