package reporter

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// series holds the metrics of one class or subscriber.
type series struct {
	firstToken    *durationSummary
	betweenTokens *durationSummary
	whole         *durationSummary
	results       map[Result]metrics.Counter
	tokens        metrics.Counter
	met           metrics.Counter
	counted       metrics.Counter
}

func newSeries() *series {
	s := &series{
		firstToken:    newDurationSummary(),
		betweenTokens: newDurationSummary(),
		whole:         newDurationSummary(),
		results:       map[Result]metrics.Counter{},
		tokens:        metrics.NewCounter(),
		met:           metrics.NewCounter(),
		counted:       metrics.NewCounter(),
	}
	for _, result := range allResults {
		s.results[result] = metrics.NewCounter()
	}
	return s
}

func (s *series) record(sample Sample) {
	if counter, ok := s.results[sample.Result]; ok {
		counter.Inc(1)
	}
	s.tokens.Inc(int64(sample.Tokens))
	if sample.Result != ResultAbandoned {
		s.counted.Inc(1)
	}
	if sample.Met() {
		s.met.Inc(1)
	}
	if sample.Result != ResultWhole {
		return
	}
	s.whole.add(sample.Ended.Sub(sample.Arrived))
	if sample.FirstToken.IsZero() {
		return
	}
	s.firstToken.add(sample.firstToken())
	if sample.Tokens > 1 {
		s.betweenTokens.add(sample.betweenTokens())
	}
}

// durationSummary is a sampled histogram of durations in microseconds with their exact
// sum and count.
type durationSummary struct {
	histogram metrics.Histogram
	sum       metrics.Counter
	count     metrics.Counter
}

func newDurationSummary() *durationSummary {
	return &durationSummary{
		histogram: metrics.NewHistogram(metrics.NewUniformSample(sampleSize)),
		sum:       metrics.NewCounter(),
		count:     metrics.NewCounter(),
	}
}

func (t *durationSummary) add(duration time.Duration) {
	micros := duration.Microseconds()
	t.histogram.Update(micros)
	t.sum.Inc(micros)
	t.count.Inc(1)
}
