package provisioner

import (
	"burdocklink/limiter"
	"burdocklink/platform"
)

const (
	// retryFraction is the part of the fleet's retries that entries use: counts of
	// different VMs don't begin at the same moment.
	retryFraction = 0.7
	// assumedEntries is how many entries there are believed to be before the
	// control group has said so.
	assumedEntries = 16
)

// retryShare is this entry's part of the retries that the platform allows all
// entries together. A part that is not used is not lent to others.
type retryShare struct {
	bounds  platform.Bounds
	entries int
	// setReserve takes in the number of retries that can be saved up.
	setReserve func(reserve float64)
}

func newRetryShare(bounds platform.Bounds) *retryShare {
	return &retryShare{bounds: bounds, entries: assumedEntries}
}

func (s *retryShare) reserve() float64 {
	return max(1, retryFraction*s.bounds.RetrySlack/float64(s.entries))
}

// initial is what can be spent from the start. All entries may be restarted within
// one window after they have spent their parts: what is left of the whole then is
// shared.
func (s *retryShare) initial() float64 {
	return min(s.reserve(), max(1, (1-retryFraction)*s.bounds.RetrySlack/float64(s.entries)))
}

func (s *retryShare) budgetSettings() limiter.BudgetSettings {
	return limiter.BudgetSettings{
		Fraction: retryFraction * s.bounds.RetryRatio,
		Reserve:  s.reserve(),
		Initial:  s.initial(),
	}
}

// setEntries takes in how many entries there are.
func (s *retryShare) setEntries(entries int) {
	if entries != s.entries {
		s.entries = entries
		s.setReserve(s.reserve())
	}
}
