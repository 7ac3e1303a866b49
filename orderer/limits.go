package orderer

import "time"

// Limits of the ledger. They are part of the replicated state machine: all
// members of a group must run with the same values.
const (
	// MaxOrderLifetime is the longest time from Submit to NotAfter.
	MaxOrderLifetime = 10 * time.Minute
	// MaxLoadTime is how long after its NotAfter an unsettled load still counts
	// against the store's limits. A dead upstream that stays listed must not
	// block the loads that restore what it held.
	MaxLoadTime = 2 * time.Minute
	// ClockMargin is the greatest difference between an upstream's clock and
	// the stamps.
	ClockMargin = 5 * time.Second
	// MaxUnsettled is the number of unsettled orders of an upstream that checks
	// fences. Other upstreams have at most one.
	MaxUnsettled = 8
	// MaxLate is the number of orders of an upstream whose duplicates are not
	// ruled out.
	MaxLate = 256
	// MaxTokenBytes is the length of the longest token.
	MaxTokenBytes = 128
)

// DefaultLimits returns the limits in force until a Limit sets others.
func DefaultLimits() StoreLimits {
	return StoreLimits{LoadsPerSecond: 1, LoadsAtOnce: 4, AdaptersInTransit: 32}
}

// interval returns the minimum time between two loads.
func (l StoreLimits) interval() time.Duration {
	return time.Duration(float64(time.Second) / l.LoadsPerSecond)
}

// invalidReason returns why the limits are invalid, or an empty string.
func (l StoreLimits) invalidReason() string {
	switch {
	case !(l.LoadsPerSecond >= minLoadsPerSecond && l.LoadsPerSecond <= maxLoadsPerSecond):
		return "loads per second out of range"
	case l.LoadsAtOnce < 1:
		return "loads at once below one"
	case l.AdaptersInTransit < 1:
		return "adapters in transit below one"
	default:
		return ""
	}
}

// Bounds of StoreLimits.LoadsPerSecond.
const (
	minLoadsPerSecond = 0.001
	maxLoadsPerSecond = 1e6
)
