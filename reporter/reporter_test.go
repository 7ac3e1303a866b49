package reporter_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"burdocklink/classifier"
	"burdocklink/reporter"
)

var arrived = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// sample returns a request with 11 tokens that are 20 ms apart.
func sample(firstToken time.Duration) reporter.Sample {
	first := arrived.Add(firstToken)
	return reporter.Sample{
		Class: classifier.Class{Name: "interactive", Target: classifier.Target{
			FirstToken:    time.Second,
			BetweenTokens: 25 * time.Millisecond,
			Whole:         2 * time.Second,
		}},
		Subscriber: "cukorvirag",
		Arrived:    arrived,
		FirstToken: first,
		Ended:      first.Add(200 * time.Millisecond),
		Tokens:     11,
		Result:     reporter.ResultWhole,
	}
}

func text(t *testing.T, r *reporter.Reporter) string {
	t.Helper()
	var out strings.Builder
	assert.NilError(t, r.WriteText(&out))
	return out.String()
}

func TestMetComparesWithEachTarget(t *testing.T) {
	cases := map[string]struct {
		change func(*reporter.Sample)
		met    bool
	}{
		"all met":           {change: func(*reporter.Sample) {}, met: true},
		"late first token":  {change: func(s *reporter.Sample) { s.FirstToken = arrived.Add(1100 * time.Millisecond) }},
		"late whole answer": {change: func(s *reporter.Sample) { s.Ended = arrived.Add(3 * time.Second) }},
		"slow tokens":       {change: func(s *reporter.Sample) { s.Tokens = 5 }},
		"refused":           {change: func(s *reporter.Sample) { s.Result = reporter.ResultRefused }},
		"no targets":        {change: func(s *reporter.Sample) { s.Class.Target = classifier.Target{} }, met: true},
		"late, no tokens":   {change: func(s *reporter.Sample) { s.FirstToken, s.Ended = time.Time{}, arrived.Add(1500*time.Millisecond) }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := sample(100 * time.Millisecond)
			c.change(&s)
			assert.Equal(t, s.Met(), c.met)
		})
	}
}

func TestTextHoldsCountsPerClassAndSubscriber(t *testing.T) {
	r := reporter.New(reporter.Settings{})
	r.Record(sample(100 * time.Millisecond))
	r.Record(sample(1500 * time.Millisecond))
	abandoned := sample(time.Millisecond)
	abandoned.Result = reporter.ResultAbandoned
	r.Record(abandoned)
	metrics.GetOrRegisterCounter("polls-failed", r.Registry()).Inc(3)

	got := text(t, r)

	for _, line := range []string{
		"# TYPE burdocklink_class_first_token_seconds summary",
		`burdocklink_class_first_token_seconds{class="interactive",quantile="0.99"} 1.5`,
		`burdocklink_class_first_token_seconds_sum{class="interactive"} 1.6`,
		`burdocklink_class_first_token_seconds_count{class="interactive"} 2`,
		`burdocklink_class_target_met_total{class="interactive"} 1`,
		`burdocklink_class_target_counted_total{class="interactive"} 2`,
		`burdocklink_subscriber_requests_total{subscriber="cukorvirag",result="abandoned"} 1`,
		`burdocklink_subscriber_tokens_total{subscriber="cukorvirag"} 33`,
		"burdocklink_polls_failed 3",
	} {
		assert.Assert(t, strings.Contains(got, line+"\n"), "%s\nis missing in\n%s", line, got)
	}
	assert.DeepEqual(t, r.Attainment(), map[string]reporter.Attainment{"interactive": {Met: 1, Total: 2}})
}

func TestSubscribersBeyondTheLimitAreSummed(t *testing.T) {
	r := reporter.New(reporter.Settings{Subscribers: 3})
	for n := range 10 {
		s := sample(0)
		s.Subscriber = "s" + strconv.Itoa(n)
		r.Record(s)
	}

	got := text(t, r)

	assert.Equal(t, strings.Count(got, "burdocklink_subscriber_tokens_total{"), 4)
	assert.Assert(t, strings.Contains(got, `burdocklink_subscriber_tokens_total{subscriber="other"} 77`), got)
}

func TestLabelsAreEscaped(t *testing.T) {
	r := reporter.New(reporter.Settings{})
	s := sample(0)
	s.Subscriber = "a\"b\\c\nd"
	r.Record(s)

	assert.Assert(t, strings.Contains(text(t, r), `{subscriber="a\"b\\c\nd"}`))
}
