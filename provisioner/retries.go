package provisioner

import (
	"burdocklink/limiter"
	"burdocklink/platform"
)

const (
	// retryPart is the part of the fleet's retries that entries use: counts of
	// different VMs don't begin at the same moment.
	retryPart = 0.7
	// assumedEntries is how many entries there are believed to be before the
	// control group has said so.
	assumedEntries = 16
)

// retryShare is this entry's part of the retries that the platform allows all
// entries together. A part that is not used is not lent to others.
type retryShare struct {
	bounds  platform.Bounds
	entries int
	// apply takes in the number of retries that can be saved up.
	apply func(reserve float64)
}

func newRetryShare(bounds platform.Bounds) *retryShare {
	return &retryShare{bounds: bounds, entries: assumedEntries}
}

func (s *retryShare) reserve() float64 {
	return max(1, retryPart*s.bounds.RetrySlack/float64(s.entries))
}

// first is what can be spent from the start. All entries may be restarted within
// one window after they have spent their parts: what is left of the whole then is
// shared.
func (s *retryShare) first() float64 {
	return min(s.reserve(), max(1, (1-retryPart)*s.bounds.RetrySlack/float64(s.entries)))
}

func (s *retryShare) budget() limiter.BudgetSettings {
	return limiter.BudgetSettings{
		Fraction: retryPart * s.bounds.RetryRatio,
		Reserve:  s.reserve(),
		Initial:  s.first(),
	}
}

// share takes in how many entries there are.
func (s *retryShare) share(entries int) {
	if entries != s.entries {
		s.entries = entries
		s.apply(s.reserve())
	}
}
