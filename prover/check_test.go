package prover_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/prover"
)

// at returns a time so many seconds after a fixed one.
func at(seconds int) time.Time {
	return time.Unix(1_700_000_000, 0).Add(time.Duration(seconds) * time.Second)
}

// testLimits are the times that the made records are judged by.
var testLimits = prover.Limits{Leave: 5 * time.Second, InForce: 5 * time.Second, Restore: 30 * time.Second}

// answer is a complete answer that ran.
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
		"nothing": {nil, nil},
		"all well": {[]prover.Record{
			run, answer(unchanged), lost,
			prover.Memory{UsedBytes: 5, MemoryBytes: 5},
			prover.Shutdown{At: at(5), Entry: "entry-1"},
		}, nil},

		"memory over": {[]prover.Record{prover.Memory{UsedBytes: 6, MemoryBytes: 5}},
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
		"copy of another lost": {[]prover.Record{
			prover.Copies{At: at(1), Name: "krem", Count: 1}, lost,
			prover.Copies{At: at(3), Name: "krem"},
		}, []string{"Unreachable"}},
		"not loaded yet": {[]prover.Record{prover.Copies{At: at(1), Name: "torta"}}, nil},

		"short answer that claims to be whole": {[]prover.Record{run,
			answer(func(a *prover.Answer) { a.Text = "two" })}, []string{"WrongAnswer"}},
		"short answer that does not": {[]prover.Record{run,
			answer(func(a *prover.Answer) { a.Text, a.Complete = "two", false })}, nil},
		"answer with a gap": {[]prover.Record{run,
			answer(func(a *prover.Answer) { a.Text, a.Complete = "words", false })}, []string{"WrongAnswer"}},
		"another caller's answer": {[]prover.Record{run,
			answer(func(a *prover.Answer) { a.Text = "other text" })}, []string{"WrongAnswer"}},

		"not run but ran":           {[]prover.Record{bookingRun("r1", 1), keyed("not-run", "r1", 0)}, []string{"FalseOutcome"}},
		"not run but ran earlier":   {[]prover.Record{bookingRun("r0", 1), keyed("not-run", "r1", 10)}, []string{"FalseOutcome"}},
		"not run, resent and ran":   {[]prover.Record{bookingRun("r2", 20), keyed("not-run", "r1", 10)}, nil},
		"ran but never ran":         {[]prover.Record{keyed("ran", "r1", 10)}, []string{"FalseOutcome"}},
		"stored answer of a resend": {[]prover.Record{bookingRun("r1", 1), keyed("ran", "r2", 10)}, nil},
		"unknown and ran":           {[]prover.Record{bookingRun("r1", 1), keyed("unknown", "r1", 10)}, nil},

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
		"new work within seconds, and at the next incarnation": {[]prover.Record{
			prover.Leaving{At: at(1), Upstream: "engine-1", Incarnation: "a"},
			prover.Run{Upstream: "engine-1", Incarnation: "a", At: at(6)},
			prover.Run{Upstream: "engine-1", Incarnation: "b", At: at(60)},
		}, nil},

		"cut by shutdown": {[]prover.Record{run,
			prover.Shutdown{At: at(5), Entry: "entry-1"},
			answer(func(a *prover.Answer) { a.Text, a.Complete = "two", false }),
		}, []string{"CutByShutdown"}},
		"cut before the shutdown, or elsewhere": {[]prover.Record{run,
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
		"reverted over a restart": {[]prover.Record{
			prover.Revision{At: at(2), Entry: "entry-1", Revision: 7},
			prover.Revision{At: at(3), Entry: "entry-1", Revision: 6, Lacks: 7},
		}, []string{"Reverted"}},
		"lower bound sank": {[]prover.Record{
			prover.Revision{At: at(2), Entry: "entry-1", Revision: 7},
			prover.Revision{At: at(3), Entry: "entry-1", Revision: 6, Lacks: 8},
		}, nil},

		"two winners on one revision": {[]prover.Record{
			prover.Accepted{At: at(1), Operator: "a", Request: "1", Based: 6, Revision: 7},
			prover.Accepted{At: at(1), Operator: "b", Request: "1", Based: 6, Revision: 8},
		}, []string{"DoublyAccepted"}},
		"resend accepted as new": {[]prover.Record{
			prover.Accepted{At: at(1), Operator: "a", Request: "1", Based: prover.Unbased, Revision: 7},
			prover.Accepted{At: at(2), Operator: "a", Request: "1", Based: prover.Unbased, Revision: 8},
		}, []string{"DoublyAccepted"}},
		"resend with the first answer": {[]prover.Record{
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
