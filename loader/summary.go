package loader

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// bounds of the histograms, in microseconds.
const (
	leastMicros = 1
	mostMicros  = int64(time.Hour / time.Microsecond)
	digits      = 3
)

// Summary is a result in a few figures.
type Summary struct {
	Requests int
	Whole    int
	Refused  int
	Failed   int
	Cut      int
	Tokens   int
	// FirstToken50 and FirstToken95 are over whole answers; so are the gaps.
	FirstToken50 time.Duration
	FirstToken95 time.Duration
	Gap50        time.Duration
	Gap95        time.Duration
	// TokensPerSecond is over the run's length.
	TokensPerSecond float64
}

// Summarize counts the samples of a result.
func Summarize(result Result) Summary {
	first := hdrhistogram.New(leastMicros, mostMicros, digits)
	gaps := hdrhistogram.New(leastMicros, mostMicros, digits)
	summary := Summary{Requests: len(result.Samples)}
	for _, sample := range result.Samples {
		summary.count(sample)
		if sample.Outcome != Whole {
			continue
		}
		record(first, sample.FirstToken)
		record(gaps, sample.Gap())
	}
	summary.FirstToken50 = quantile(first, 50)
	summary.FirstToken95 = quantile(first, 95)
	summary.Gap50 = quantile(gaps, 50)
	summary.Gap95 = quantile(gaps, 95)
	summary.TokensPerSecond = float64(summary.Tokens) / result.Length.Seconds()
	return summary
}

func (s *Summary) count(sample Sample) {
	s.Tokens += sample.Tokens
	switch sample.Outcome {
	case Whole:
		s.Whole++
	case Refused:
		s.Refused++
	case Cut:
		s.Cut++
	default:
		s.Failed++
	}
}

// record keeps a time; one beyond the bounds counts as the bound.
func record(histogram *hdrhistogram.Histogram, length time.Duration) {
	micros := min(max(int64(length/time.Microsecond), leastMicros), mostMicros)
	// A value within the bounds is always taken.
	_ = histogram.RecordValue(micros)
}

func quantile(histogram *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(histogram.ValueAtQuantile(percent)) * time.Microsecond
}
