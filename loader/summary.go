package loader

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms, in microseconds, and their precision.
const (
	minMicros         = 1
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Summary aggregates the samples of a result.
type Summary struct {
	Requests  int
	Completed int
	Refused   int
	Failed    int
	Truncated int
	Tokens    int
	// FirstToken50, FirstToken95, Gap50 and Gap95 are percentiles over completed
	// answers.
	FirstToken50 time.Duration
	FirstToken95 time.Duration
	Gap50        time.Duration
	Gap95        time.Duration
	// TokensPerSecond is the mean over the duration of the run.
	TokensPerSecond float64
}

// Summarize aggregates the samples of a result.
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

// record adds a duration, clamped to the bounds, to a histogram.
func record(histogram *hdrhistogram.Histogram, length time.Duration) {
	micros := min(max(int64(length/time.Microsecond), minMicros), maxMicros)
	// RecordValue fails only for values out of bounds.
	_ = histogram.RecordValue(micros)
}

func quantile(histogram *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(histogram.ValueAtQuantile(percent)) * time.Microsecond
}
