package provisioner

import (
	"burdocklink/limiter"
	"burdocklink/platform"
)

const (
	// retryFraction is the fraction of the fleet's retry budget that entries use,
	// since the windows of different VMs don't start at the same time.
	retryFraction = 0.7
	// assumedEntries is the number of entries assumed until the control group has
	// reported it.
	assumedEntries = 16
)

// retryShare is this entry's share of the retry budget that the platform allows all
// entries together. Unused shares are not passed on to other entries.
type retryShare struct {
	bounds  platform.Bounds
	entries int
	// setReserve sets the maximum number of retries that can be saved up.
	setReserve func(reserve float64)
}

func newRetryShare(bounds platform.Bounds) *retryShare {
	return &retryShare{bounds: bounds, entries: assumedEntries}
}

func (s *retryShare) reserve() float64 {
	return max(1, retryFraction*s.bounds.RetrySlack/float64(s.entries))
}

// initial returns the number of retries available at the start. All entries may be
// restarted within one window after they have spent their shares; initial divides
// the remaining part of the fleet's budget among them.
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

// setEntries sets the number of entries and updates the reserve if it changed.
func (s *retryShare) setEntries(entries int) {
	if entries != s.entries {
		s.entries = entries
		s.setReserve(s.reserve())
	}
}
