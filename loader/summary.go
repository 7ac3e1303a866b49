package loader

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// bounds of the histograms, in microseconds.
const (
	minMicros         = 1
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Summary is a result in a few figures.
type Summary struct {
	Requests  int
	Completed int
	Refused   int
	Failed    int
	Truncated int
	Tokens    int
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
	first := hdrhistogram.New(minMicros, maxMicros, significantDigits)
	gaps := hdrhistogram.New(minMicros, maxMicros, significantDigits)
	summary := Summary{Requests: len(result.Samples)}
	for _, sample := range result.Samples {
		summary.count(sample)
		if sample.Outcome != Completed {
			continue
		}
		record(first, sample.FirstToken)
		record(gaps, sample.Gap())
	}
	summary.FirstToken50 = quantile(first, 50)
	summary.FirstToken95 = quantile(first, 95)
	summary.Gap50 = quantile(gaps, 50)
	summary.Gap95 = quantile(gaps, 95)
	summary.TokensPerSecond = float64(summary.Tokens) / result.Duration.Seconds()
	return summary
}

func (s *Summary) count(sample Sample) {
	s.Tokens += sample.Tokens
	switch sample.Outcome {
	case Completed:
		s.Completed++
	case Refused:
		s.Refused++
	case Truncated:
		s.Truncated++
	default:
		s.Failed++
	}
}

// record keeps a time; one beyond the bounds counts as the bound.
func record(histogram *hdrhistogram.Histogram, length time.Duration) {
	micros := min(max(int64(length/time.Microsecond), minMicros), maxMicros)
	// A value within the bounds is always taken.
	_ = histogram.RecordValue(micros)
}

func quantile(histogram *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(histogram.ValueAtQuantile(percent)) * time.Microsecond
}
